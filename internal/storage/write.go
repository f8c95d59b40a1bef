package storage

import (
	"errors"
	"io/fs"

	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// GroupWrite is one group's part of a write. The fields are applied in their order.
type GroupWrite struct {
	Group uint32
	// Snapshot was received from the leader and replaces the group's log and snapshot. Nil if there is none.
	Snapshot *raft.Snapshot
	// Entries are appended to the log; stored entries at or after the first index are deleted.
	Entries []raft.Entry
	// HardState replaces the stored hard state unless it is nil.
	HardState *raft.HardState
	// Compaction is a snapshot that the node made itself; log entries up to its index are deleted. Nil if there is
	// none.
	Compaction *raft.Snapshot
	// AllowMultipleFiles is set if all builds that may read the folder support states in several files. If it is not
	// set, a state is written as one file, unless the group's stored snapshot is in several files already.
	AllowMultipleFiles bool
}

// maxCompactedPerWrite bounds how many compacted entries one write deletes, so that a compaction does not delay
// the writes behind it. The next compaction deletes the rest.
const maxCompactedPerWrite = 20_000

// Write makes the writes of all groups durable in one synced transaction: all of them or none. It returns ErrNoSpace
// if the disk is full. After any other failed write or sync every later write returns ErrPoisoned.
func (s *Store) Write(batch []GroupWrite) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.checkWritable(); err != nil {
		return err
	}
	files, err := s.writeSnapshotFiles(batch)
	if err != nil {
		return s.recordFailure(err, isNoSpace(err))
	}
	err = s.commit(func(tx *bbolt.Tx) error {
		for i := range batch {
			if err := writeGroup(tx, &batch[i], files.byGroup[batch[i].Group]); err != nil {
				return err
			}
		}
		return nil
	})
	switch {
	case err == nil:
		s.files.commit(files)
	case errors.Is(err, ErrNoSpace):
		// After any other error the transaction may have become durable and refer to the files.
		files.created.remove()
	}
	return err
}

// checkWritable returns ErrClosed or ErrPoisoned if the store accepts no writes. The caller holds the mutex.
func (s *Store) checkWritable() error {
	if s.closed {
		return ErrClosed
	}
	if s.poisoned != nil {
		return ErrPoisoned
	}
	return nil
}

// recordFailure returns the error of a failed write. It poisons the store unless full is set, which means that the disk
// was full and the old state is intact. The caller holds the mutex.
func (s *Store) recordFailure(err error, full bool) error {
	if full {
		return ErrNoSpace
	}
	s.poisoned = err
	return trace.Wrap(err, "storage: write failed")
}

// update runs one synced transaction. A failure other than a full disk poisons the store.
func (s *Store) update(change func(*bbolt.Tx) error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.checkWritable(); err != nil {
		return err
	}
	return s.commit(change)
}

// commit is update for a caller that holds the mutex.
func (s *Store) commit(change func(*bbolt.Tx) error) error {
	err := s.database.Update(func(tx *bbolt.Tx) error {
		if s.options.Hooks.BeforeCommit != nil {
			if err := s.options.Hooks.BeforeCommit(); err != nil {
				return err
			}
		}
		return change(tx)
	})
	if err == nil && s.options.Hooks.Sync != nil {
		err = s.options.Hooks.Sync()
	}
	if err == nil {
		s.commits.Add(1)
		return nil
	}
	return s.recordFailure(err, isFullBeforeCommit(err))
}

// isFullBeforeCommit reports whether the disk was full when the data pages were written. They are written before the
// meta page that makes them valid, so the old state is intact. It returns false for a sync that fails for lack of
// space: the error of a sync is not a fs.PathError.
func isFullBeforeCommit(err error) bool {
	var pathError *fs.PathError
	return errors.Is(err, unix.ENOSPC) && errors.As(err, &pathError) && pathError.Op == "write"
}

// writeGroup applies the fields of a group's write in their order. files are the files of its new snapshot.
func writeGroup(tx *bbolt.Tx, write *GroupWrite, files snapshotFiles) error {
	if write.Snapshot != nil {
		if err := deleteEntriesFrom(tx, write.Group, 0); err != nil {
			return err
		}
		if err := putSnapshot(tx, write.Group, write.Snapshot, files); err != nil {
			return err
		}
	}
	if err := putEntries(tx, write.Group, write.Entries); err != nil {
		return err
	}
	if write.HardState != nil {
		if err := putHardState(tx, write.Group, *write.HardState); err != nil {
			return err
		}
	}
	if write.Compaction == nil {
		return nil
	}
	if err := putSnapshot(tx, write.Group, write.Compaction, files); err != nil {
		return err
	}
	return deleteCompactedEntries(tx, write.Group, write.Compaction.Index)
}

func putHardState(tx *bbolt.Tx, group uint32, state raft.HardState) error {
	key := groupKey(group)
	return tx.Bucket(bucketHardStates).Put(key, encodeRecord(key, encodeHardState(state)))
}

// putSnapshot writes the record of a snapshot whose state is in files. An empty state has no files.
func putSnapshot(tx *bbolt.Tx, group uint32, snapshot *raft.Snapshot, files snapshotFiles) error {
	key := groupKey(group)
	record, err := encodeSnapshot(key, snapshot, files)
	if err != nil {
		return trace.Wrap(err)
	}
	return tx.Bucket(bucketSnapshots).Put(key, record)
}

// putEntries appends entries and deletes stored ones at or after the first index.
func putEntries(tx *bbolt.Tx, group uint32, entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntriesFrom(tx, group, entries[0].Index); err != nil {
		return err
	}
	bucket := tx.Bucket(bucketEntries)
	bucket.FillPercent = entryFillPercent
	for _, entry := range entries {
		key := entryKey(group, entry.Index)
		if err := bucket.Put(key, encodeEntry(key, entry)); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntriesFrom deletes a group's entries at or after index.
func deleteEntriesFrom(tx *bbolt.Tx, group uint32, index uint64) error {
	bucket := tx.Bucket(bucketEntries)
	cursor := bucket.Cursor()
	var keys [][]byte
	for key, _ := cursor.Seek(entryKey(group, index)); key != nil && groupOf(key) == group; key, _ = cursor.Next() {
		keys = append(keys, key)
	}
	return deleteAll(bucket, keys)
}

// deleteCompactedEntries deletes a group's entries up to and including index, at most maxCompactedPerWrite of them.
func deleteCompactedEntries(tx *bbolt.Tx, group uint32, index uint64) error {
	bucket := tx.Bucket(bucketEntries)
	cursor := bucket.Cursor()
	var keys [][]byte
	for key, _ := cursor.Seek(entryKey(group, 0)); key != nil && groupOf(key) == group && indexOf(key) <= index; key, _ = cursor.Next() {
		keys = append(keys, key)
		if len(keys) == maxCompactedPerWrite {
			break
		}
	}
	return deleteAll(bucket, keys)
}

// deleteAll deletes keys that the caller collected with a cursor. Deleting while the cursor moves would skip keys.
func deleteAll(bucket *bbolt.Bucket, keys [][]byte) error {
	for _, key := range keys {
		if err := bucket.Delete(append([]byte(nil), key...)); err != nil {
			return err
		}
	}
	return nil
}
