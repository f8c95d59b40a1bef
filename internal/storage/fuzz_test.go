package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// FuzzRecords decodes arbitrary bytes as a record of each kind. The record must be refused as damaged, or decode to a
// value that encodes to the same record. A wrong key and a flipped bit must be detected.
func FuzzRecords(f *testing.F) {
	key := entryKey(3, 17)
	f.Add(encodeEntry(key, raft.Entry{Index: 17, Term: 4, Data: []byte("command")}))
	f.Add(encodeRecord(key, encodeHardState(raft.HardState{Term: 4, Vote: 2, Commit: 16})))
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

		// A malformed payload with a matching checksum must not cause a panic.
		if _, err := decodeHardState("hard state", record); err == nil && len(record) != hardStateBytes {
			t.Fatalf("a hard state of %d bytes was accepted, want 24 bytes", len(record))
		}
		if state, err := decodeSnapshot("", "snapshot", record); err == nil {
			if _, err := encodeSnapshot(key, &state.Snapshot, state.files); err != nil {
				t.Fatal(err)
			}
		}
		sealed := encodeRecord(key, record)
		if _, err := decodeRecord("record", entryKey(3, 18), sealed); err == nil {
			t.Fatal("a record under a wrong key was accepted")
		}
		sealed[int(binary.BigEndian.Uint64(sealed)%uint64(len(sealed)))] ^= 0x10
		if _, err := decodeRecord("record", key, sealed); err == nil {
			t.Fatal("a record with a flipped bit was accepted")
		}
	})
}

func checkDecoded(t *testing.T, err error, record []byte, encode func() []byte) {
	t.Helper()
	var damage *DamageError
	if err != nil {
		if !errors.As(err, &damage) {
			t.Fatalf("got error %v, want a DamageError", err)
		}
		return
	}
	if !bytes.Equal(encode(), record) {
		t.Fatalf("want record %x, the decoded value encodes to %x", record, encode())
	}
}
