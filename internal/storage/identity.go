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

// Format is the newest format of the data folder, which this program writes.
//
// In format 1 snapshot records had no checksum. In format 2 every record has one. In format 3 the states of snapshots
// are in files of their own.
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

// Identity binds a data folder to one node of one cluster. A folder that replaces a lost one has another Folder value,
// by which peers detect that the node may have lost its votes.
type Identity struct {
	Format    uint32 `json:"format"`
	ClusterID string `json:"cluster_id"`
	NodeID    uint64 `json:"node_id"`
	NodeName  string `json:"node_name"`
	Folder    uint64 `json:"folder_identity,string"` // positive random number, generated when the folder is created
}

// lockFolder acquires the folder's lock, which is held until the returned file is closed. It returns a *FolderError if
// another process holds the lock.
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

// ReadIdentity returns the identity of a data folder, or nil if the folder has none yet. It returns a *FolderError for
// an invalid identity file.
func ReadIdentity(folder string) (*Identity, error) { return readIdentity(folder) }

// readIdentity returns nil without an error if the folder has no identity file yet.
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

// checkOptions returns a *FolderError if the folder belongs to another node or cluster than the options name, or has a
// newer format than this program supports.
func (i *Identity) checkOptions(folder string, options Options) error {
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

// writeIdentity replaces the identity file atomically: after a crash the folder has either the old or the new one.
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

// writeSynced writes a file and syncs it.
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

// syncFolder makes the creation and renaming of files in the folder durable.
func syncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return trace.ConvertSystemError(file.Sync())
}

// randomIdentity returns a positive random number.
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
