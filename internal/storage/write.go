package storage

import (
	"errors"
	"io/fs"

	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// GroupWrite is one group's part of a write. The parts are applied in the order of the fields.
type GroupWrite struct {
	Group uint32
	// Snapshot came from the leader: it replaces the group's log and snapshot. Nil: none.
	Snapshot *raft.Snapshot
	// Entries are appended; whatever stands at or after the first index is dropped.
	Entries []raft.Entry
	// HardState replaces the stored one unless it is nil.
	HardState *raft.HardState
	// Compaction is the node's own snapshot; the entries up to its index are dropped. Nil: none.
	Compaction *raft.Snapshot
	// InParts: all builds that may read the folder know states in parts. Without it a state is written as one file.
	InParts bool
}

// trimPerWrite bounds how many compacted entries one write deletes, so that a compaction does not delay
// the writes behind it; the rest goes with the next compaction.
const trimPerWrite = 20_000

// Write makes the work of all groups durable in one synced transaction: all of it or nothing. After an
// error other than ErrNoSpace every later write returns ErrPoisoned.
func (s *Store) Write(batch []GroupWrite) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.usable(); err != nil {
		return err
	}
	files, err := s.writeSnapshotFiles(batch)
	if err != nil {
		return s.failed(err, noSpace(err))
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
		s.held.keep(s.options.Folder, files)
	case errors.Is(err, ErrNoSpace):
		files.made.remove(s.options.Folder) // after any other error they may be named by the transaction
	}
	return err
}

// usable tells whether writes are taken. The caller holds the mutex.
func (s *Store) usable() error {
	if s.closed {
		return ErrClosed
	}
	if s.poisoned != nil {
		return ErrPoisoned
	}
	return nil
}

// failed judges a write that failed: full tells that the disk had no room and the old state stands.
func (s *Store) failed(err error, full bool) error {
	if full {
		return ErrNoSpace
	}
	s.poisoned = err
	return trace.Wrap(err, "storage: write failed")
}

// update runs one synced transaction and judges its failure.
func (s *Store) update(change func(*bbolt.Tx) error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.usable(); err != nil {
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
	return s.failed(err, fullBeforeCommit(err))
}

// fullBeforeCommit recognises a disk that had no room for the data pages. They are written before the
// meta page that makes them count, so the old state stands. A sync that fails for lack of space has no
// path in its error and is not one of these.
func fullBeforeCommit(err error) bool {
	var pathError *fs.PathError
	return errors.Is(err, unix.ENOSPC) && errors.As(err, &pathError) && pathError.Op == "write"
}

func writeGroup(tx *bbolt.Tx, write *GroupWrite, files snapshotFiles) error {
	if write.Snapshot != nil {
		if err := dropEntriesFrom(tx, write.Group, 0); err != nil {
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
	return trimEntries(tx, write.Group, write.Compaction.Index)
}

func putHardState(tx *bbolt.Tx, group uint32, state raft.HardState) error {
	key := groupKey(group)
	return tx.Bucket(bucketHardStates).Put(key, seal(key, encodeHardState(state)))
}

// putSnapshot writes the record of a snapshot whose state is in files; none for an empty state.
func putSnapshot(tx *bbolt.Tx, group uint32, snapshot *raft.Snapshot, files snapshotFiles) error {
	key := groupKey(group)
	record, err := encodeSnapshot(key, snapshot, files)
	if err != nil {
		return trace.Wrap(err)
	}
	return tx.Bucket(bucketSnapshots).Put(key, record)
}

func putEntries(tx *bbolt.Tx, group uint32, entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := dropEntriesFrom(tx, group, entries[0].Index); err != nil {
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

// dropEntriesFrom deletes a group's entries at or after index.
func dropEntriesFrom(tx *bbolt.Tx, group uint32, index uint64) error {
	bucket := tx.Bucket(bucketEntries)
	cursor := bucket.Cursor()
	var doomed [][]byte
	for key, _ := cursor.Seek(entryKey(group, index)); key != nil && groupOf(key) == group; key, _ = cursor.Next() {
		doomed = append(doomed, key)
	}
	return deleteAll(bucket, doomed)
}

// trimEntries deletes a group's entries up to and including index, a bounded number of them.
func trimEntries(tx *bbolt.Tx, group uint32, index uint64) error {
	bucket := tx.Bucket(bucketEntries)
	cursor := bucket.Cursor()
	var doomed [][]byte
	for key, _ := cursor.Seek(entryKey(group, 0)); key != nil && groupOf(key) == group && indexOf(key) <= index; key, _ = cursor.Next() {
		doomed = append(doomed, key)
		if len(doomed) == trimPerWrite {
			break
		}
	}
	return deleteAll(bucket, doomed)
}

// deleteAll deletes keys that were collected first: deleting under a moving cursor skips keys.
func deleteAll(bucket *bbolt.Bucket, keys [][]byte) error {
	for _, key := range keys {
		if err := bucket.Delete(append([]byte(nil), key...)); err != nil {
			return err
		}
	}
	return nil
}
