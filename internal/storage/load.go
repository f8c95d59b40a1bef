package storage

import (
	"fmt"
	"path/filepath"

	"go.etcd.io/bbolt"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// Load returns what a group has on disk; the zero value if it has nothing. A damaged record is an
// error: guessing round it could bring back a vote or an entry that never was.
func (s *Store) Load(group uint32) (raft.Restored, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return raft.Restored{}, ErrClosed
	}
	var restored raft.Restored
	err := guarded(dataFile, func() error {
		return s.database.View(func(tx *bbolt.Tx) error {
			var err error
			restored, err = loadGroup(tx, group, s.held)
			return err
		})
	})
	return restored, err
}

// LoadSnapshot returns a group's snapshot; the zero value if it has none.
func (s *Store) LoadSnapshot(group uint32) (raft.Snapshot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return raft.Snapshot{}, ErrClosed
	}
	var snapshot raft.Snapshot
	err := guarded(dataFile, func() error {
		return s.database.View(func(tx *bbolt.Tx) error {
			var err error
			snapshot, err = loadSnapshot(tx, group, s.held)
			return err
		})
	})
	return snapshot, err
}

// loadSnapshot returns a group's snapshot. Large parts stay known: the state shares them, and a node that lags is sent them
// without another copy.
func loadSnapshot(tx *bbolt.Tx, group uint32, held *heldParts) (raft.Snapshot, error) {
	key := groupKey(group)
	record := tx.Bucket(bucketSnapshots).Get(key)
	if record == nil {
		return raft.Snapshot{}, nil
	}
	payload, err := unseal(snapshotName(group), key, record)
	if err != nil {
		return raft.Snapshot{}, err
	}
	stored, err := decodeSnapshot(snapshotName(group), payload)
	if err != nil {
		return raft.Snapshot{}, err
	}
	snapshot := stored.Snapshot
	for _, file := range stored.files {
		part := held.part(file)
		if part == nil {
			if part, err = file.read(filepath.Dir(tx.DB().Path()), snapshotName(group)); err != nil {
				return raft.Snapshot{}, err
			}
		}
		held.note(file, part)
		snapshot.Data = append(snapshot.Data, part)
	}
	return snapshot, nil
}

// Groups lists the groups that have a hard state or a snapshot on disk.
func (s *Store) Groups() ([]uint32, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	var groups []uint32
	err := s.database.View(func(tx *bbolt.Tx) error {
		groups = storedGroups(tx)
		return nil
	})
	return groups, err
}

// storedGroups merges the sorted keys of the buckets that have one key per group.
func storedGroups(tx *bbolt.Tx) []uint32 {
	var groups []uint32
	seen := func(group uint32) bool {
		for _, known := range groups {
			if known == group {
				return true
			}
		}
		return false
	}
	for _, name := range [][]byte{bucketHardStates, bucketSnapshots} {
		cursor := tx.Bucket(name).Cursor()
		for key, _ := cursor.First(); len(key) == groupKeyBytes; key, _ = cursor.Next() {
			if !seen(groupOf(key)) {
				groups = append(groups, groupOf(key))
			}
		}
	}
	return groups
}

func loadGroup(tx *bbolt.Tx, group uint32, held *heldParts) (raft.Restored, error) {
	var restored raft.Restored
	key := groupKey(group)
	if record := tx.Bucket(bucketHardStates).Get(key); record != nil {
		payload, err := unseal(hardStateName(group), key, record)
		if err != nil {
			return raft.Restored{}, err
		}
		if restored.HardState, err = decodeHardState(hardStateName(group), payload); err != nil {
			return raft.Restored{}, err
		}
	}
	var err error
	if restored.Snapshot, err = loadSnapshot(tx, group, held); err != nil {
		return raft.Restored{}, err
	}
	restored.Entries, err = loadEntries(tx, group, restored.Snapshot.Index)
	if err != nil {
		return raft.Restored{}, err
	}
	last := restored.Snapshot.Index + uint64(len(restored.Entries))
	if restored.HardState.Commit > last {
		return raft.Restored{}, &DamageError{Record: hardStateName(group),
			Reason: fmt.Sprintf("commit index %d is behind the last entry %d", restored.HardState.Commit, last)}
	}
	return restored, nil
}

// loadEntries returns the contiguous entries after the snapshot's index.
func loadEntries(tx *bbolt.Tx, group uint32, snapshotIndex uint64) ([]raft.Entry, error) {
	var entries []raft.Entry
	want := snapshotIndex + 1
	cursor := tx.Bucket(bucketEntries).Cursor()
	for key, record := cursor.Seek(entryKey(group, want)); key != nil && groupOf(key) == group; key, record = cursor.Next() {
		name := entryName(group, want)
		if len(key) != entryKeyBytes || indexOf(key) != want {
			return nil, &DamageError{Record: name, Reason: "it is missing"}
		}
		entry, err := decodeEntry(name, key, record)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
		want++
	}
	return entries, nil
}
