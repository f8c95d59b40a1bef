package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// FuzzRecords takes any bytes as a record of each kind: it is refused as damaged, or decodes to what encodes
// to the same record again.
func FuzzRecords(f *testing.F) {
	key := entryKey(3, 17)
	f.Add(encodeEntry(key, raft.Entry{Index: 17, Term: 4, Data: []byte("command")}))
	f.Add(seal(key, encodeHardState(raft.HardState{Term: 4, Vote: 2, Commit: 16})))
	snapshot, err := encodeSnapshot(key, &raft.Snapshot{Index: 9, Term: 2, Configuration: raft.Configuration{Voters: []uint64{1, 2}, Learners: []uint64{3}}},
		snapshotFiles{{name: snapshotPrefix + "a", size: 5}, {name: snapshotPrefix + "b", size: 6, checksum: 7}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, record []byte) {
		entry, err := decodeEntry("entry", key, record)
		checkDecoded(t, err, record, func() []byte { return encodeEntry(key, entry) })

		// A payload that the checksum fits must not panic either.
		if _, err := decodeHardState("hard state", record); err == nil && len(record) != hardStateBytes {
			t.Fatalf("a hard state of %d bytes was taken", len(record))
		}
		if state, err := decodeSnapshot("snapshot", record); err == nil {
			if _, err := encodeSnapshot(key, &state.Snapshot, state.files); err != nil {
				t.Fatal(err)
			}
		}
		sealed := seal(key, record)
		if _, err := unseal("record", entryKey(3, 18), sealed); err == nil {
			t.Fatal("a record under a wrong key was taken")
		}
		sealed[int(binary.BigEndian.Uint64(sealed)%uint64(len(sealed)))] ^= 0x10
		if _, err := unseal("record", key, sealed); err == nil {
			t.Fatal("a record with a flipped bit was taken")
		}
	})
}

func checkDecoded(t *testing.T, err error, record []byte, encode func() []byte) {
	t.Helper()
	var damage *DamageError
	if err != nil {
		if !errors.As(err, &damage) {
			t.Fatalf("the error is no DamageError: %v", err)
		}
		return
	}
	if !bytes.Equal(encode(), record) {
		t.Fatalf("the record %x encodes to %x", record, encode())
	}
}
