package storage

import (
	"bytes"
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
	"github.com/tamarindring/tamarindring/internal/statepart"
)

// The state of a snapshot is stored in files beside the data file. In the data file it would be copied into a record
// and again into the pages of the transaction, each copy as large as the state, and the data file would keep that size.
//
// Each large part of a state has a file of its own, and small parts share files. Parts that are unchanged since the
// previous snapshot keep their file, so that a snapshot writes, and needs free space for, only what has changed.
//
// The durable steps have this order: the new files and their directory entries are synced, then the transaction that
// refers to them commits, then the files that no record refers to any more are removed. An unreferenced file is left by
// a write that did not commit, or by a removal that was lost in a power failure. Open removes such files.

// snapshotPrefix is the prefix of the names of snapshot files.
const snapshotPrefix = "snapshot-"

// snapshotFile is the reference in a snapshot's record to a file that holds one or more parts of its state.
type snapshotFile struct {
	folder   string
	name     string
	size     uint64 // bytes
	checksum uint64 // xxhash of the content
}

// The data field of a record refers to the only file of a state by size, checksum and name. Builds that do not support
// states in parts know only this reference.
const (
	referenceHeaderBytes = 16 // size and checksum
	// multiFileReference is the file name in the data field of a state in several files. Builds that do not support
	// states in parts report the record as damaged and stop.
	multiFileReference = "in-parts"
)

// encode returns the reference to the only file of a state.
func (f *snapshotFile) encode() []byte {
	reference := make([]byte, referenceHeaderBytes, referenceHeaderBytes+len(f.name))
	binary.BigEndian.PutUint64(reference, f.size)
	binary.BigEndian.PutUint64(reference[8:], f.checksum)
	return append(reference, f.name...)
}

func decodeSnapshotFile(folder, record string, reference []byte) (*snapshotFile, error) {
	if len(reference) <= referenceHeaderBytes {
		return nil, &DamageError{Record: record, Reason: "it names no file"}
	}
	file := &snapshotFile{folder: folder, name: string(reference[referenceHeaderBytes:]), size: binary.BigEndian.Uint64(reference),
		checksum: binary.BigEndian.Uint64(reference[8:])}
	return file, file.check(record)
}

// check returns a *DamageError if the name is not that of a snapshot file in the data folder.
func (f *snapshotFile) check(record string) error {
	if filepath.Base(f.name) != f.name || !strings.HasPrefix(f.name, snapshotPrefix) {
		return &DamageError{Record: record, Reason: fmt.Sprintf("it names the file %q", f.name)}
	}
	return nil
}

// whole returns the section that is the whole content of the file.
func (f *snapshotFile) whole() *fileSection {
	return &fileSection{file: f, size: int(f.size), checksum: f.checksum}
}

// part returns the content of the file as a part. The content of a large file stays there.
func (f *snapshotFile) part() (*statepart.Part, error) {
	if f.size >= minOwnFileBytes {
		return statepart.NewStored(int(f.size), f.checksum, f.whole()), nil
	}
	content, err := f.whole().Content()
	return statepart.New(content), err
}

// writeSnapshotFile writes parts of a state to a new file and syncs it. The caller must sync the folder.
func writeSnapshotFile(folder string, group uint32, index uint64, parts statepart.Parts) (*snapshotFile, error) {
	file, err := os.CreateTemp(folder, fmt.Sprintf("%s%d-%d-*", snapshotPrefix, group, index))
	if err != nil {
		return nil, err
	}
	digest := xxhash.New()
	for _, part := range parts {
		if err == nil {
			err = writePart(io.MultiWriter(file, digest), part)
		}
	}
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, errors.Join(err, os.Remove(file.Name()))
	}
	return &snapshotFile{folder: folder, name: filepath.Base(file.Name()), size: uint64(parts.Size()), checksum: digest.Sum64()}, nil
}

func writePart(to io.Writer, part *statepart.Part) error {
	content, err := part.Content()
	if err != nil {
		return err
	}
	_, err = to.Write(content)
	return err
}

// snapshotFiles lists the files of one snapshot in the order of its parts.
type snapshotFiles []*snapshotFile

// snapshotWrite holds the snapshot files of one write.
type snapshotWrite struct {
	byGroup  map[uint32]snapshotFiles // all files of each group's new snapshot, including files that it keeps
	created  snapshotFiles            // files that this write created
	received map[uint32]bool          // groups whose state is replaced by that of the leader
	stored   []storedPart             // parts that leave the memory
}

// storedPart is a part with the section of the file that holds it.
type storedPart struct {
	part    *statepart.Part
	section *fileSection
}

// writeSnapshotFiles writes the states of the snapshots in a batch. On an error it removes the files that it created.
func (s *Store) writeSnapshotFiles(batch []GroupWrite) (*snapshotWrite, error) {
	files := &snapshotWrite{byGroup: map[uint32]snapshotFiles{}, received: map[uint32]bool{}}
	for i := range batch {
		if batch[i].newestSnapshot() == nil {
			continue
		}
		if err := s.writeStateFiles(&batch[i], files); err != nil {
			files.created.remove()
			return nil, err
		}
	}
	if len(files.created) == 0 {
		return files, nil
	}
	if err := syncFolder(s.options.Folder); err != nil {
		files.created.remove()
		return nil, err
	}
	return files, nil
}

// writeStateFiles writes the files of one group's new snapshot, except those that it shares with the stored snapshot.
// An empty state needs no file. A group whose stored snapshot is in several files keeps that form.
func (s *Store) writeStateFiles(write *GroupWrite, files *snapshotWrite) error {
	snapshot := write.newestSnapshot()
	files.byGroup[write.Group] = nil
	files.received[write.Group] = write.Snapshot != nil
	inParts := write.AllowMultipleFiles || s.files.hasSeveralFiles(write.Group)
	for _, parts := range assignPartsToFiles(snapshot.Data, inParts) {
		file := s.files.find(write.Group, parts)
		if file == nil || !file.holds(parts) {
			created, err := writeSnapshotFile(s.options.Folder, write.Group, snapshot.Index, parts)
			if err != nil {
				return err
			}
			s.fileBytes.Add(created.size)
			file, files.created = created, append(files.created, created)
		}
		files.byGroup[write.Group] = append(files.byGroup[write.Group], file)
		files.addStored(file, parts, inParts || len(parts) == 1)
	}
	return nil
}

// addStored adds those parts of a file that are held by a file already, which may be removed with the snapshot that it
// belongs to. If leaveMemory is set, it also adds those that leave the memory: large ones, and recurring ones, which are
// many. The other small parts would be read again soon, for messages.
func (w *snapshotWrite) addStored(file *snapshotFile, parts statepart.Parts, leaveMemory bool) {
	for position, section := range sectionsOf(file, parts) {
		part := parts[position]
		if !part.InMemory() || leaveMemory && (part.Size() >= minOwnFileBytes || part.IsRecurring()) {
			w.stored = append(w.stored, storedPart{part: part, section: section})
		}
	}
}

// newestSnapshot returns the snapshot that the group has after the write, or nil if the write contains none.
func (w *GroupWrite) newestSnapshot() *raft.Snapshot {
	if w.Compaction != nil {
		return w.Compaction
	}
	return w.Snapshot
}

// remove removes the files, which no record may refer to. If a removal fails, the next Open removes the file.
func (f snapshotFiles) remove() {
	for _, file := range f {
		_ = os.Remove(filepath.Join(file.folder, file.name))
	}
}

// holds reports whether the content of the file is that of parts. Parts that refer to the file need no look.
func (f *snapshotFile) holds(parts statepart.Parts) bool {
	if areInOrderIn(f.name, parts) {
		return true
	}
	stored, err := f.whole().Content()
	if err != nil {
		return false
	}
	for _, part := range parts {
		content, err := part.Content()
		if err != nil || !bytes.HasPrefix(stored, content) {
			return false
		}
		stored = stored[len(content):]
	}
	return len(stored) == 0
}

// snapshotFolder returns the folder of the snapshot files that the records of a data file refer to.
func snapshotFolder(tx *bbolt.Tx) string { return filepath.Dir(tx.DB().Path()) }

// loadSnapshotFiles returns, by group, the files that the snapshot records refer to.
func loadSnapshotFiles(tx *bbolt.Tx) (map[uint32]snapshotFiles, error) {
	files := map[uint32]snapshotFiles{}
	cursor := tx.Bucket(bucketSnapshots).Cursor()
	for key, record := cursor.First(); key != nil; key, record = cursor.Next() {
		name := snapshotRecordName(groupOf(key))
		payload, err := decodeRecord(name, key, record)
		if err != nil {
			return nil, err
		}
		snapshot, err := decodeSnapshot(snapshotFolder(tx), name, payload)
		if err != nil {
			return nil, err
		}
		files[groupOf(key)] = snapshot.files
	}
	return files, nil
}

// removeUnreferencedSnapshots removes the snapshot files that no record refers to, provided that all records are
// intact.
func (s *Store) removeUnreferencedSnapshots() error {
	var named map[uint32]snapshotFiles
	err := s.database.View(func(tx *bbolt.Tx) (err error) {
		named, err = loadSnapshotFiles(tx)
		return err
	})
	if err != nil {
		return nil // Load reports the damaged record of a group; its files must not be removed
	}
	s.files.set(named)
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

// moveSnapshotsToFiles upgrades format 2, which stored the states of snapshots in their records, by writing the states
// to files.
func (s *Store) moveSnapshotsToFiles(tx *bbolt.Tx) error {
	bucket := tx.Bucket(bucketSnapshots)
	cursor := bucket.Cursor()
	moved := map[uint32]*raft.Snapshot{}
	for key, record := cursor.First(); key != nil; key, record = cursor.Next() {
		name := snapshotRecordName(groupOf(key))
		payload, err := decodeRecord(name, key, record)
		if err != nil {
			return err
		}
		message, err := decodeSnapshotMessage(name, payload)
		if err != nil {
			return err
		}
		snapshot := snapshotMetadata(message)
		if len(message.Data) > 0 {
			snapshot.Data = statepart.NewParts(message.Data)
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

// isNoSpace reports whether a file could not be written because the disk is full.
func isNoSpace(err error) bool { return errors.Is(err, unix.ENOSPC) }
