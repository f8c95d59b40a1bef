package storage

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Format is the newest format of the data folder, the one that this program writes.
//
// Format 1 kept snapshots without a checksum; format 2 has one on every record; format 3 keeps the states of snapshots
// in files of their own.
const Format = 3

// Names of the files in a data folder.
const (
	lockFile     = "lock"
	identityFile = "identity.json"
	dataFile     = "data.db"
)

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// Identity binds a data folder to one node of one cluster. A folder that was lost or replaced has
// another Folder value, by which peers know that the node may have forgotten its votes.
type Identity struct {
	Format    uint32 `json:"format"`
	ClusterID string `json:"cluster_id"`
	NodeID    uint64 `json:"node_id"`
	NodeName  string `json:"node_name"`
	Folder    uint64 `json:"folder_identity,string"` // random, drawn when the folder is made
}

// lockFolder takes the folder's lock; the file descriptor holds it until it is closed.
func lockFolder(folder string) (*os.File, error) {
	path := filepath.Join(folder, lockFile)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, &FolderError{File: path, Field: "lock", Found: "held by another process", Wanted: "free",
			Remedy: "stop the other process or use another data folder"}
	}
	return file, nil
}

// ReadIdentity returns whose data folder a folder is, nil if it has no identity yet.
func ReadIdentity(folder string) (*Identity, error) { return readIdentity(folder) }

// readIdentity returns nil without an error if the folder has no identity yet.
func readIdentity(folder string) (*Identity, error) {
	path := filepath.Join(folder, identityFile)
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	identity := &Identity{}
	if err := json.Unmarshal(content, identity); err != nil {
		return nil, &FolderError{File: path, Field: "content", Found: "not an identity (" + err.Error() + ")",
			Wanted: "JSON", Remedy: "restore the file from a backup or replace the node under a new node ID"}
	}
	if identity.Format == 0 || identity.Folder == 0 {
		return nil, &FolderError{File: path, Field: "format or folder_identity", Found: "missing", Wanted: "a positive number",
			Remedy: "restore the file from a backup or replace the node under a new node ID"}
	}
	return identity, nil
}

// match checks that the folder belongs to the node and cluster of the options.
func (i *Identity) match(folder string, options Options) error {
	path := filepath.Join(folder, identityFile)
	if i.Format > Format {
		return &FolderError{File: path, Field: "format", Found: strconv.Itoa(int(i.Format)),
			Wanted: fmt.Sprintf("at most %d", Format), Remedy: "run a newer program"}
	}
	if i.ClusterID != options.ClusterID {
		return &FolderError{File: path, Field: "cluster_id", Found: strconv.Quote(i.ClusterID),
			Wanted: strconv.Quote(options.ClusterID), Remedy: "use the data folder of this cluster or mend the setting"}
	}
	if i.NodeID != options.NodeID {
		return &FolderError{File: path, Field: "node_id", Found: strconv.FormatUint(i.NodeID, 10),
			Wanted: strconv.FormatUint(options.NodeID, 10), Remedy: "use the data folder of this node or mend the setting"}
	}
	if i.NodeName != options.NodeName {
		return &FolderError{File: path, Field: "node_name", Found: strconv.Quote(i.NodeName),
			Wanted: strconv.Quote(options.NodeName), Remedy: "use the data folder of this node or mend the setting"}
	}
	return nil
}

// writeIdentity replaces the identity file so that after a crash either the old or the new one stands.
func writeIdentity(folder string, identity Identity) error {
	content, err := json.MarshalIndent(identity, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	path := filepath.Join(folder, identityFile)
	if err := writeSynced(path+".new", append(content, '\n')); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return trace.ConvertSystemError(err)
	}
	return syncFolder(folder)
}

func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return trace.ConvertSystemError(err)
}

// syncFolder makes renames and new files in the folder durable.
func syncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return trace.ConvertSystemError(file.Sync())
}

// randomIdentity draws a positive random number.
func randomIdentity() (uint64, error) {
	var buffer [8]byte
	for {
		if _, err := rand.Read(buffer[:]); err != nil {
			return 0, trace.Wrap(err)
		}
		if value := binary.BigEndian.Uint64(buffer[:]); value != 0 {
			return value, nil
		}
	}
}
