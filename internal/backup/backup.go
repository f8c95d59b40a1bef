// Package backup writes the state of a cluster's groups to one checksummed file, and creates from it the data folder of
// the first node of a new cluster.
//
// The file is an encoded wire.Backup followed by the xxhash64 of its bytes, big endian. A restored cluster lacks
// everything that was committed after the backup: see docs/operations/backup.md before restoring one.
package backup

import (
	"encoding/binary"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Format is the format of the files that this program writes.
const Format = 1

const (
	checksumBytes = 8
	fileMode      = 0o640
	restoredTerm  = 1 // term of the restored state; the first election of the new cluster has a higher term
)

// Write writes a backup to a new file and syncs it. It returns an error if the file exists already. It sets the backup's
// format.
func Write(path string, backup *wire.Backup) error {
	backup.Format = Format
	content, err := proto.Marshal(backup)
	if err != nil {
		return trace.Wrap(err)
	}
	content = binary.BigEndian.AppendUint64(content, xxhash.Sum64(content))
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	return trace.NewAggregate(err, file.Close(), syncFolder(filepath.Dir(path)))
}

// syncFolder makes the creation of a file in the folder durable.
func syncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.NewAggregate(file.Sync(), file.Close())
}

// Read returns the backup in a file. It returns an error if the checksum is wrong, the format is another one, a group is
// missing, or this program can't read the state of a group.
func Read(path string) (*wire.Backup, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if len(content) < checksumBytes {
		return nil, trace.BadParameter("%s is no backup: it has %d bytes", path, len(content))
	}
	body, sum := content[:len(content)-checksumBytes], content[len(content)-checksumBytes:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return nil, trace.BadParameter("%s is damaged or no backup: the checksum does not fit", path)
	}
	backup := &wire.Backup{}
	if err := proto.Unmarshal(body, backup); err != nil {
		return nil, trace.BadParameter("%s is no backup: %v", path, err)
	}
	if backup.Format != Format {
		return nil, trace.BadParameter("%s has format %d, this program reads %d", path, backup.Format, Format)
	}
	if len(backup.Groups) == 0 {
		return nil, trace.BadParameter("%s holds no group", path)
	}
	for position, group := range backup.Groups {
		if int(group.Group) != position {
			return nil, trace.BadParameter("%s lacks group %d", path, position)
		}
		if err := state.New().Restore(group.Data); err != nil {
			return nil, trace.BadParameter("%s: the state of group %d can't be read: %v", path, position, err)
		}
	}
	return backup, nil
}

// Restore creates the data folder of the first node of a new cluster, which is its only voter. The folder must be empty
// or not exist, and the cluster ID of the options must not be that of the backup, whose nodes may still run.
func Restore(backup *wire.Backup, options storage.Options) error {
	if entries, err := os.ReadDir(options.Folder); err == nil && len(entries) > 0 {
		return trace.AlreadyExists("%s is not empty; restore into a new folder", options.Folder)
	}
	if options.ClusterID == backup.ClusterId {
		return trace.BadParameter("the restored cluster needs another cluster id than %q: the old one's nodes may still run", backup.ClusterId)
	}
	store, err := storage.Open(options)
	if err != nil {
		return err
	}
	batch := make([]storage.GroupWrite, 0, len(backup.Groups))
	for _, group := range backup.Groups {
		batch = append(batch, storage.GroupWrite{
			Group: group.Group,
			Snapshot: &raft.Snapshot{Index: group.Index, Term: restoredTerm, Data: statepart.NewParts(group.Data),
				Configuration: raft.Configuration{Voters: []uint64{options.NodeID}}},
			HardState: &raft.HardState{Term: restoredTerm, Commit: group.Index},
		})
	}
	return trace.NewAggregate(store.Write(batch), store.Close())
}
