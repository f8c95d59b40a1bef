package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// The state of a snapshot is in files of its own beside the data file. In the data file it would be copied into a
// record and again into the transaction's pages, each as large as the state, and would leave the file that large.
//
// Large parts of a state have a file each. A part that the snapshot before had as well keeps its file, so that a snapshot
// writes, and needs room for, what has changed.
//
// Order of durable steps: the state's new files and their names are synced, then the transaction that names them commits, then
// the files that it no longer names are removed. A file that no record names is left over from a write that did not commit, or
// from a removal that a loss of power undid; Open removes it.

// snapshotPrefix begins the names of these files.
const snapshotPrefix = "snapshot-"

// ownFileBytes is the size from which a part has a file of its own. Smaller neighbours share one, which is written anew each
// time: a file costs a sync.
const ownFileBytes = 256 << 10

// snapshotFile is how a snapshot's record names a file with a part of its state.
type snapshotFile struct {
	name     string
	size     uint64 // bytes
	checksum uint64 // xxhash of the content
}

// Before states were in parts, a record's data was a reference to the only file: size, checksum and name.
const (
	snapshotFileHeader = 16 // bytes of size and checksum
	// inParts is the name in the reference of a state in parts. Builds that know no parts find it damaged and stop.
	inParts = "in-parts"
)

// encode returns the reference to the only file of a state.
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
	return file, file.check(record)
}

// check refuses a name that is none of these files'.
func (f *snapshotFile) check(record string) error {
	if filepath.Base(f.name) != f.name || !strings.HasPrefix(f.name, snapshotPrefix) {
		return &DamageError{Record: record, Reason: fmt.Sprintf("it names the file %q", f.name)}
	}
	return nil
}

// read returns what the file holds.
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

// writeSnapshotFile writes a part of a state to a new file and syncs it; the caller syncs the folder.
func writeSnapshotFile(folder string, group uint32, index uint64, parts raft.Parts) (*snapshotFile, error) {
	file, err := os.CreateTemp(folder, fmt.Sprintf("%s%d-%d-*", snapshotPrefix, group, index))
	if err != nil {
		return nil, err
	}
	digest := xxhash.New()
	for _, part := range parts {
		if err == nil {
			_, err = io.MultiWriter(file, digest).Write(part)
		}
	}
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, errors.Join(err, os.Remove(file.Name()))
	}
	return &snapshotFile{name: filepath.Base(file.Name()), size: uint64(parts.Size()), checksum: digest.Sum64()}, nil
}

// snapshotFiles are the files of one snapshot, in the order of its parts.
type snapshotFiles []*snapshotFile

// writtenFiles are the files of one write's snapshots.
type writtenFiles struct {
	byGroup map[uint32]snapshotFiles
	made    snapshotFiles       // by this write
	parts   map[string]heldPart // large parts by the name of their file
}

// writeSnapshotFiles writes the states of a batch's snapshots. After an error nothing of it is left.
func (s *Store) writeSnapshotFiles(batch []GroupWrite) (*writtenFiles, error) {
	files := &writtenFiles{byGroup: map[uint32]snapshotFiles{}, parts: map[string]heldPart{}}
	for i := range batch {
		if batch[i].newest() == nil {
			continue
		}
		if err := s.writeState(&batch[i], files); err != nil {
			files.made.remove(s.options.Folder)
			return nil, err
		}
	}
	if len(files.made) == 0 {
		return files, nil
	}
	if err := syncFolder(s.options.Folder); err != nil {
		files.made.remove(s.options.Folder)
		return nil, err
	}
	return files, nil
}

// writeState writes the files of one group's new snapshot, but for those that it has in common with the one before. An empty
// state needs no file.
func (s *Store) writeState(write *GroupWrite, files *writtenFiles) error {
	snapshot := write.newest()
	files.byGroup[write.Group] = nil
	inParts := write.InParts || s.held.inParts(write.Group)
	for _, parts := range arrange(snapshot.Data, inParts) {
		file := s.held.fileOf(write.Group, parts)
		if file == nil {
			made, err := writeSnapshotFile(s.options.Folder, write.Group, snapshot.Index, parts)
			if err != nil {
				return err
			}
			s.fileBytes.Add(made.size)
			file, files.made = made, append(files.made, made)
		}
		files.byGroup[write.Group] = append(files.byGroup[write.Group], file)
		if len(parts) == 1 && len(parts[0]) >= ownFileBytes {
			files.parts[file.name] = newHeldPart(parts[0])
		}
	}
	return nil
}

// arrange returns which parts of a state have a file in common: all of them where builds read it that know no parts.
func arrange(state raft.Parts, inParts bool) []raft.Parts {
	if len(state) == 0 {
		return nil
	}
	if !inParts {
		return []raft.Parts{state}
	}
	var arranged []raft.Parts
	var small raft.Parts
	for _, part := range state {
		if len(part) < ownFileBytes {
			small = append(small, part)
			continue
		}
		if len(small) > 0 {
			arranged, small = append(arranged, small), nil
		}
		arranged = append(arranged, raft.Parts{part})
	}
	if len(small) > 0 {
		arranged = append(arranged, small)
	}
	return arranged
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

// snapshotFilesOf returns the files that the records name, by group.
func snapshotFilesOf(tx *bbolt.Tx) (map[uint32]snapshotFiles, error) {
	files := map[uint32]snapshotFiles{}
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
		files[groupOf(key)] = snapshot.files
	}
	return files, nil
}

// removeStraySnapshots removes the files that no record names, if all records can be read.
func (s *Store) removeStraySnapshots() error {
	var named map[uint32]snapshotFiles
	err := s.database.View(func(tx *bbolt.Tx) (err error) {
		named, err = snapshotFilesOf(tx)
		return err
	})
	if err != nil {
		return nil // a damaged record is told when its group is loaded; until then its files are wanted
	}
	s.held.set(named)
	known := map[string]bool{}
	for _, files := range named {
		for _, file := range files {
			known[file.name] = true
		}
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
		message, err := decodeSnapshotMessage(name, payload)
		if err != nil {
			return err
		}
		snapshot := snapshotOf(message)
		if len(message.Data) > 0 {
			snapshot.Data = raft.Parts{message.Data}
		}
		moved[groupOf(key)] = &snapshot
	}
	for group, snapshot := range moved {
		var files snapshotFiles
		if len(snapshot.Data) > 0 {
			file, err := writeSnapshotFile(s.options.Folder, group, snapshot.Index, snapshot.Data)
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			files = snapshotFiles{file}
		}
		if err := putSnapshot(tx, group, snapshot, files); err != nil {
			return err
		}
	}
	return trace.ConvertSystemError(syncFolder(s.options.Folder))
}

// noSpace tells whether a file could not be written because the disk is full.
func noSpace(err error) bool { return errors.Is(err, unix.ENOSPC) }
