package storage

import (
	"fmt"

	"go.etcd.io/bbolt"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// Load returns the stored state of a group, or the zero value if nothing is stored. It returns a *DamageError for a
// damaged record: skipping it could lead to a vote or an entry that never existed.
func (s *Store) Load(group uint32) (raft.Restored, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return raft.Restored{}, ErrClosed
	}
	var restored raft.Restored
	err := catchPanics(dataFile, func() error {
		return s.database.View(func(tx *bbolt.Tx) error {
			var err error
			restored, err = loadGroup(tx, group)
			return err
		})
	})
	return restored, err
}

// LoadSnapshot returns the stored snapshot of a group, or the zero value if none is stored. It returns a *DamageError
// for a damaged record or small snapshot file. Large files are verified when their parts are read.
func (s *Store) LoadSnapshot(group uint32) (raft.Snapshot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return raft.Snapshot{}, ErrClosed
	}
	var snapshot raft.Snapshot
	err := catchPanics(dataFile, func() error {
		return s.database.View(func(tx *bbolt.Tx) error {
			var err error
			snapshot, err = loadSnapshot(tx, group)
			return err
		})
	})
	return snapshot, err
}

// loadSnapshot returns a group's snapshot, whose large parts stay in their files.
func loadSnapshot(tx *bbolt.Tx, group uint32) (raft.Snapshot, error) {
	key := groupKey(group)
	record := tx.Bucket(bucketSnapshots).Get(key)
	if record == nil {
		return raft.Snapshot{}, nil
	}
	payload, err := decodeRecord(snapshotRecordName(group), key, record)
	if err != nil {
		return raft.Snapshot{}, err
	}
	stored, err := decodeSnapshot(snapshotFolder(tx), snapshotRecordName(group), payload)
	if err != nil {
		return raft.Snapshot{}, err
	}
	snapshot := stored.Snapshot
	for _, file := range stored.files {
		part, err := file.part()
		if err != nil {
			return raft.Snapshot{}, err
		}
		snapshot.Data = append(snapshot.Data, part)
	}
	return snapshot, nil
}

// Groups returns the groups that have a stored hard state or snapshot.
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

// storedGroups returns the groups that have a key in one of the buckets with one key per group.
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

// verifyParts reads all parts of a snapshot, one at a time, and returns a *DamageError if one is damaged.
func verifyParts(snapshot raft.Snapshot) error {
	for _, part := range snapshot.Data {
		if _, err := part.Content(); err != nil {
			return err
		}
	}
	return nil
}

func loadGroup(tx *bbolt.Tx, group uint32) (raft.Restored, error) {
	var restored raft.Restored
	key := groupKey(group)
	if record := tx.Bucket(bucketHardStates).Get(key); record != nil {
		payload, err := decodeRecord(hardStateRecordName(group), key, record)
		if err != nil {
			return raft.Restored{}, err
		}
		if restored.HardState, err = decodeHardState(hardStateRecordName(group), payload); err != nil {
			return raft.Restored{}, err
		}
	}
	var err error
	if restored.Snapshot, err = loadSnapshot(tx, group); err != nil {
		return raft.Restored{}, err
	}
	if err := verifyParts(restored.Snapshot); err != nil {
		return raft.Restored{}, err
	}
	restored.Entries, err = loadEntries(tx, group, restored.Snapshot.Index)
	if err != nil {
		return raft.Restored{}, err
	}
	last := restored.Snapshot.Index + uint64(len(restored.Entries))
	if restored.HardState.Commit > last {
		return raft.Restored{}, &DamageError{Record: hardStateRecordName(group),
			Reason: fmt.Sprintf("commit index %d is behind the last entry %d", restored.HardState.Commit, last)}
	}
	return restored, nil
}

// loadEntries returns a group's entries after the snapshot's index. It returns a *DamageError if one is missing between
// them.
func loadEntries(tx *bbolt.Tx, group uint32, snapshotIndex uint64) ([]raft.Entry, error) {
	var entries []raft.Entry
	want := snapshotIndex + 1
	cursor := tx.Bucket(bucketEntries).Cursor()
	for key, record := cursor.Seek(entryKey(group, want)); key != nil && groupOf(key) == group; key, record = cursor.Next() {
		name := entryRecordName(group, want)
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
