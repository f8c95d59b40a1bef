package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// The state of a snapshot is in a file of its own beside the data file. In the data file it would be copied into a
// record and again into the transaction's pages, each as large as the state, and would leave the file that large.
//
// Order of durable steps: the state's file and its name are synced, then the transaction that names it commits, then
// the file that it replaces is removed. A file that no record names is left over from a write that did not commit, or
// from a removal that a loss of power undid; Open removes it.

// snapshotPrefix begins the names of these files.
const snapshotPrefix = "snapshot-"

// snapshotFile is how a snapshot's record names the file with its state.
type snapshotFile struct {
	name     string
	size     uint64 // bytes
	checksum uint64 // xxhash of the state
}

// snapshotFileHeader is the size of a reference without the name, in bytes.
const snapshotFileHeader = 16

// encode returns the reference as it stands in a record, in place of the state.
func (f *snapshotFile) encode() []byte {
	reference := make([]byte, snapshotFileHeader, snapshotFileHeader+len(f.name))
	binary.BigEndian.PutUint64(reference, f.size)
	binary.BigEndian.PutUint64(reference[8:], f.checksum)
	return append(reference, f.name...)
}

func decodeSnapshotFile(record string, reference []byte) (*snapshotFile, error) {
	if len(reference) <= snapshotFileHeader {
		return nil, &DamageError{Record: record, Reason: "it names no file"}
	}
	file := &snapshotFile{name: string(reference[snapshotFileHeader:]), size: binary.BigEndian.Uint64(reference),
		checksum: binary.BigEndian.Uint64(reference[8:])}
	if filepath.Base(file.name) != file.name || !strings.HasPrefix(file.name, snapshotPrefix) {
		return nil, &DamageError{Record: record, Reason: fmt.Sprintf("it names the file %q", file.name)}
	}
	return file, nil
}

// writeSnapshotFile writes a snapshot's state to a new file and syncs it; the caller syncs the folder. An empty state
// needs no file.
func writeSnapshotFile(folder string, group uint32, snapshot *raft.Snapshot) (*snapshotFile, error) {
	if len(snapshot.Data) == 0 {
		return nil, nil
	}
	file, err := os.CreateTemp(folder, fmt.Sprintf("%s%d-%d-*", snapshotPrefix, group, snapshot.Index))
	if err != nil {
		return nil, err
	}
	_, err = file.Write(snapshot.Data)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, errors.Join(err, os.Remove(file.Name()))
	}
	return &snapshotFile{name: filepath.Base(file.Name()), size: uint64(len(snapshot.Data)), checksum: xxhash.Sum64(snapshot.Data)}, nil
}

// read returns the state in the file.
func (f *snapshotFile) read(folder, record string) ([]byte, error) {
	state, err := os.ReadFile(filepath.Join(folder, f.name))
	switch {
	case err != nil:
		return nil, &DamageError{Record: record, Reason: err.Error()}
	case uint64(len(state)) != f.size || xxhash.Sum64(state) != f.checksum:
		return nil, &DamageError{Record: record, Reason: "the file " + f.name + " does not hold what was written"}
	}
	return state, nil
}

// snapshotFiles are the files of one write's snapshots, by group.
type snapshotFiles map[uint32]*snapshotFile

// writeSnapshotFiles writes the states of a batch's snapshots. After an error nothing of it is left.
func (s *Store) writeSnapshotFiles(batch []GroupWrite) (snapshotFiles, error) {
	files := snapshotFiles{}
	for i := range batch {
		snapshot := batch[i].newest()
		if snapshot == nil {
			continue
		}
		file, err := writeSnapshotFile(s.options.Folder, batch[i].Group, snapshot)
		if err != nil {
			files.remove(s.options.Folder)
			return nil, err
		}
		if file != nil {
			files[batch[i].Group] = file
			s.fileBytes.Add(file.size)
		}
	}
	if len(files) == 0 {
		return files, nil
	}
	if err := syncFolder(s.options.Folder); err != nil {
		files.remove(s.options.Folder)
		return nil, err
	}
	return files, nil
}

// newest is the snapshot that the group has after the write; nil if the write has none.
func (w *GroupWrite) newest() *raft.Snapshot {
	if w.Compaction != nil {
		return w.Compaction
	}
	return w.Snapshot
}

// remove removes the files, which no record names. One that stays is removed by the next Open.
func (f snapshotFiles) remove(folder string) {
	for _, file := range f {
		_ = os.Remove(filepath.Join(folder, file.name))
	}
}

// snapshotFilesOf returns the files that the records name.
func snapshotFilesOf(tx *bbolt.Tx) (snapshotFiles, error) {
	files := snapshotFiles{}
	cursor := tx.Bucket(bucketSnapshots).Cursor()
	for key, record := cursor.First(); key != nil; key, record = cursor.Next() {
		name := snapshotName(groupOf(key))
		payload, err := unseal(name, key, record)
		if err != nil {
			return nil, err
		}
		snapshot, err := decodeSnapshot(name, payload)
		if err != nil {
			return nil, err
		}
		if len(snapshot.Data) == 0 {
			continue
		}
		if files[groupOf(key)], err = decodeSnapshotFile(name, snapshot.Data); err != nil {
			return nil, err
		}
	}
	return files, nil
}

// removeStraySnapshots removes the files that no record names, if all records can be read.
func (s *Store) removeStraySnapshots() error {
	var named snapshotFiles
	err := s.database.View(func(tx *bbolt.Tx) (err error) {
		named, err = snapshotFilesOf(tx)
		return err
	})
	if err != nil {
		return nil // a damaged record is told when its group is loaded; until then its file is wanted
	}
	known := map[string]bool{}
	for _, file := range named {
		known[file.name] = true
	}
	entries, err := os.ReadDir(s.options.Folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), snapshotPrefix) && !known[entry.Name()] {
			if err := os.Remove(filepath.Join(s.options.Folder, entry.Name())); err != nil {
				return trace.ConvertSystemError(err)
			}
		}
	}
	return nil
}

// moveSnapshots puts the states that format 2 held in their records into files.
func (s *Store) moveSnapshots(tx *bbolt.Tx) error {
	bucket := tx.Bucket(bucketSnapshots)
	cursor := bucket.Cursor()
	moved := map[uint32]*raft.Snapshot{}
	for key, record := cursor.First(); key != nil; key, record = cursor.Next() {
		name := snapshotName(groupOf(key))
		payload, err := unseal(name, key, record)
		if err != nil {
			return err
		}
		snapshot, err := decodeSnapshot(name, payload)
		if err != nil {
			return err
		}
		moved[groupOf(key)] = &snapshot
	}
	for group, snapshot := range moved {
		file, err := writeSnapshotFile(s.options.Folder, group, snapshot)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		if err := putSnapshot(tx, group, snapshot, file); err != nil {
			return err
		}
	}
	return trace.ConvertSystemError(syncFolder(s.options.Folder))
}

// noSpace tells whether a file could not be written because the disk is full.
func noSpace(err error) bool { return errors.Is(err, unix.ENOSPC) }
