package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/statepart"
)

func testOptions(folder string) Options {
	return Options{Folder: folder, ClusterID: "c1", NodeID: 1, NodeName: "n1"}
}

func mustOpen(t testing.TB, options Options) *Store {
	t.Helper()
	store, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

func entriesFrom(first uint64, count int, term uint64) []raft.Entry {
	entries := make([]raft.Entry, count)
	for i := range entries {
		entries[i] = raft.Entry{Index: first + uint64(i), Term: term, Data: []byte{byte(i), byte(term)}}
	}
	return entries
}

func mustWrite(t testing.TB, store *Store, batch ...GroupWrite) {
	t.Helper()
	if err := store.Write(batch); err != nil {
		t.Fatal(err)
	}
}

func mustLoad(t testing.TB, store *Store, group uint32) raft.Restored {
	t.Helper()
	restored, err := store.Load(group)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// TestWriteSurvivesReopen checks that entries, hard states, snapshots and the number of starts are loaded after a
// restart as they were written.
func TestWriteSurvivesReopen(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	mustWrite(t, store,
		GroupWrite{Group: 0, Entries: entriesFrom(1, 5, 1), HardState: &raft.HardState{Term: 1, Vote: 2, Commit: 3}},
		GroupWrite{Group: 7, Snapshot: &raft.Snapshot{Index: 9, Term: 4, Data: statepart.NewParts([]byte("state")),
			Configuration: raft.Configuration{Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}}})
	mustWrite(t, store, GroupWrite{Group: 0, Entries: entriesFrom(4, 1, 2)})
	store.Close()
	store = mustOpen(t, options)
	zero := mustLoad(t, store, 0)
	if len(zero.Entries) != 4 || zero.Entries[3].Term != 2 || zero.HardState.Vote != 2 {
		t.Fatalf("group 0 was loaded as %+v", zero)
	}
	seven := mustLoad(t, store, 7)
	if seven.Snapshot.Index != 9 || mustJoin(t, seven.Snapshot.Data) != "state" || len(seven.Snapshot.Configuration.Learners) != 1 {
		t.Fatalf("group 7 was loaded as %+v", seven)
	}
	if store.Starts() != 2 {
		t.Fatalf("starts %d, want 2", store.Starts())
	}
	if groups, err := store.Groups(); err != nil || len(groups) != 2 {
		t.Fatalf("got groups %v, error %v; want 2 groups", groups, err)
	}
}

// TestLogAgainstModel compares the stored log with a slice after random appends, overwrites, compactions and restarts.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "model")
		if err != nil {
			rt.Fatal(err)
		}
		store := mustOpen(t, testOptions(folder))
		defer func() { store.Close() }()
		var model []raft.Entry // expected entries, which follow index base
		var base, term uint64
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				keep := rapid.IntRange(0, len(model)).Draw(rt, "keep")
				term++
				added := entriesFrom(base+uint64(keep)+1, rapid.IntRange(1, 4).Draw(rt, "count"), term)
				mustWrite(t, store, GroupWrite{Group: 3, Entries: added}, GroupWrite{Group: 2, Entries: entriesFrom(1, 2, 1)})
				model = append(model[:keep:keep], added...)
			case 1:
				drop := rapid.IntRange(0, len(model)).Draw(rt, "drop")
				if drop == 0 {
					continue
				}
				snapshot := &raft.Snapshot{Index: base + uint64(drop), Term: model[drop-1].Term}
				mustWrite(t, store, GroupWrite{Group: 3, Compaction: snapshot})
				model, base = model[drop:], snapshot.Index
			case 2:
				store.Close()
				store = mustOpen(t, testOptions(folder))
			}
			found := mustLoad(t, store, 3)
			if found.Snapshot.Index != base || len(found.Entries) != len(model) {
				rt.Fatalf("found snapshot %d and %d entries, want %d and %d", found.Snapshot.Index, len(found.Entries), base, len(model))
			}
			for i, entry := range found.Entries {
				if entry.Index != model[i].Index || entry.Term != model[i].Term {
					rt.Fatalf("entry %d is %+v, want %+v", i, entry, model[i])
				}
			}
		}
	})
}

// TestFolderOfOtherNodeIsRefused checks that the data folder of another cluster or node is refused and not written to.
func TestFolderOfOtherNodeIsRefused(t *testing.T) {
	options := testOptions(t.TempDir())
	mustOpen(t, options).Close()
	before := readFolder(t, options.Folder)
	tests := map[string]func(*Options){
		"cluster_id": func(o *Options) { o.ClusterID = "c2" },
		"node_id":    func(o *Options) { o.NodeID = 2 },
		"node_name":  func(o *Options) { o.NodeName = "n2" },
	}
	for field, change := range tests {
		changed := options
		change(&changed)
		_, err := Open(changed)
		var refusal *FolderError
		if !errors.As(err, &refusal) || refusal.Field != field {
			t.Errorf("want a FolderError for field %s, got error %v", field, err)
		}
	}
	if after := readFolder(t, options.Folder); after != before {
		t.Error("a refused folder was written to")
	}
}

// readFolder returns the contents of the identity file and the data file.
func readFolder(t *testing.T, folder string) string {
	t.Helper()
	var all string
	for _, name := range []string{identityFile, dataFile} {
		content, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		all += string(content)
	}
	return all
}

// TestNewerFormatIsRefused checks that a folder that was written by a newer program is refused.
func TestNewerFormatIsRefused(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	identity := store.Identity()
	store.Close()
	identity.Format = Format + 1
	if err := writeIdentity(options.Folder, identity); err != nil {
		t.Fatal(err)
	}
	var refusal *FolderError
	if _, err := Open(options); !errors.As(err, &refusal) || refusal.Field != "format" {
		t.Fatalf("got error %v, want a FolderError for field format", err)
	}
}

// TestLockIsHeld checks that neither Open nor Check accepts a folder that is in use.
func TestLockIsHeld(t *testing.T) {
	options := testOptions(t.TempDir())
	mustOpen(t, options)
	var refusal *FolderError
	if _, err := Open(options); !errors.As(err, &refusal) || refusal.Field != "lock" {
		t.Fatalf("Open returned error %v, want a FolderError for field lock", err)
	}
	if _, err := Check(options.Folder); !errors.As(err, &refusal) || refusal.Field != "lock" {
		t.Fatalf("Check returned error %v, want a FolderError for field lock", err)
	}
}

// TestFolderWithoutFileIsRefused checks that a folder with consensus state is refused if its identity file or data file
// is missing, instead of being treated as a new folder.
func TestFolderWithoutFileIsRefused(t *testing.T) {
	for _, name := range []string{identityFile, dataFile} {
		options := testOptions(t.TempDir())
		store := mustOpen(t, options)
		mustWrite(t, store, GroupWrite{Group: 0, Entries: entriesFrom(1, 1, 1), HardState: &raft.HardState{Term: 1}})
		store.Close()
		if err := os.Remove(filepath.Join(options.Folder, name)); err != nil {
			t.Fatal(err)
		}
		var refusal *FolderError
		if _, err := Open(options); !errors.As(err, &refusal) {
			t.Errorf("without %s: got error %v, want a FolderError", name, err)
		}
	}
}

// TestDamagedRecordsAreFound checks that Check and Load detect records with a flipped bit, truncated records, and
// intact records that are stored under another key.
func TestDamagedRecordsAreFound(t *testing.T) {
	key := map[string][]byte{
		string(bucketEntries): entryKey(0, 2), string(bucketHardStates): groupKey(0), string(bucketSnapshots): groupKey(0),
	}
	for _, damage := range []string{"flip", "cut", "swap"} {
		for _, bucket := range [][]byte{bucketEntries, bucketHardStates, bucketSnapshots} {
			options := testOptions(t.TempDir())
			store := mustOpen(t, options)
			mustWrite(t, store, GroupWrite{Group: 0, Snapshot: &raft.Snapshot{}, Entries: entriesFrom(1, 3, 1),
				HardState: &raft.HardState{Term: 1, Commit: 2}})
			mustWrite(t, store, GroupWrite{Group: 1, Snapshot: &raft.Snapshot{Term: 1}, HardState: &raft.HardState{Term: 2}})
			damageRecord(t, store, bucket, key[string(bucket)], damage)
			store.Close()
			report, err := Check(options.Folder)
			if err != nil || report.Sound() {
				t.Errorf("%s %s: Check found no damage, error %v", damage, bucket, err)
			}
			store = mustOpen(t, options)
			var found *DamageError
			if _, err := store.Load(0); !errors.As(err, &found) {
				t.Errorf("%s %s: Load returned error %v, want a DamageError", damage, bucket, err)
			}
			store.Close()
		}
	}
}

// damageRecord damages the record under a key: "flip" changes a bit, "cut" removes the last byte, and "swap" replaces
// it by the record of another key.
func damageRecord(t *testing.T, store *Store, name, key []byte, damage string) {
	t.Helper()
	err := store.database.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(name)
		record := append([]byte(nil), bucket.Get(key)...)
		switch damage {
		case "flip":
			record[len(record)-1] ^= 1
		case "cut":
			record = record[:len(record)-1]
		case "swap": // an intact record of another key
			for other, found := bucket.Cursor().First(); other != nil; {
				record = append([]byte(nil), found...)
				break
			}
			if string(name) != string(bucketEntries) {
				_, last := bucket.Cursor().Last()
				record = append([]byte(nil), last...)
			}
		}
		return bucket.Put(key, record)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestMissingEntryIsFound checks that Load detects a gap in the log.
func TestMissingEntryIsFound(t *testing.T) {
	store := mustOpen(t, testOptions(t.TempDir()))
	mustWrite(t, store, GroupWrite{Group: 0, Entries: entriesFrom(1, 5, 1)})
	err := store.database.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketEntries).Delete(entryKey(0, 3)) })
	if err != nil {
		t.Fatal(err)
	}
	var found *DamageError
	if _, err := store.Load(0); !errors.As(err, &found) {
		t.Fatalf("got error %v, want a DamageError", err)
	}
}

// TestGarbledFilesNeverPanic checks that Check, Open and Load do not panic on a data file that is truncated or has a
// random range overwritten.
func TestGarbledFilesNeverPanic(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	for round := range 20 {
		mustWrite(t, store, GroupWrite{Group: uint32(round % 3), Entries: entriesFrom(uint64(round*10), 10, 1)})
	}
	store.Close()
	path := filepath.Join(options.Folder, dataFile)
	sound, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		garbled := append([]byte(nil), sound...)
		at := rapid.IntRange(0, len(garbled)-1).Draw(rt, "at")
		if rapid.Bool().Draw(rt, "cut") {
			garbled = garbled[:at]
		} else {
			copy(garbled[at:], rapid.SliceOfN(rapid.Byte(), 1, 5000).Draw(rt, "garbage"))
		}
		if err := os.WriteFile(path, garbled, fileMode); err != nil {
			rt.Fatal(err)
		}
		if _, err := Check(options.Folder); err != nil {
			rt.Fatal(err)
		}
		if store, err := Open(options); err == nil {
			for group := range uint32(3) {
				_, _ = store.Load(group)
			}
			store.Close()
		}
	})
}

// TestFailedSyncPoisons checks that all writes fail after a failed sync, also when a sync would succeed again.
func TestFailedSyncPoisons(t *testing.T) {
	options := testOptions(t.TempDir())
	failing := false
	options.Hooks.Sync = func() error {
		if failing {
			return unix.EIO
		}
		return nil
	}
	store := mustOpen(t, options)
	mustWrite(t, store, GroupWrite{Group: 0, Entries: entriesFrom(1, 1, 1)})
	failing = true
	if err := store.Write([]GroupWrite{{Group: 0, Entries: entriesFrom(2, 1, 1)}}); !errors.Is(err, unix.EIO) {
		t.Fatalf("got error %v, want EIO", err)
	}
	failing = false
	if err := store.Write([]GroupWrite{{Group: 0, Entries: entriesFrom(2, 1, 1)}}); !errors.Is(err, ErrPoisoned) {
		t.Fatalf("a poisoned store returned error %v, want ErrPoisoned", err)
	}
	if err := store.PutPeer(PeerRecord{NodeID: 2}); !errors.Is(err, ErrPoisoned) {
		t.Fatalf("a poisoned store returned error %v, want ErrPoisoned", err)
	}
}

// TestFullDiskKeepsOldState checks that a write to a full disk leaves the old state intact and can be retried, and how
// the free space is classified.
func TestFullDiskKeepsOldState(t *testing.T) {
	options := testOptions(t.TempDir())
	full := false
	options.Hooks.BeforeCommit = func() error {
		if full {
			return &fs.PathError{Op: "write", Path: dataFile, Err: unix.ENOSPC}
		}
		return nil
	}
	free := uint64(1 << 30)
	options.Hooks.FreeBytes = func() (uint64, error) { return free, nil }
	store := mustOpen(t, options)
	mustWrite(t, store, GroupWrite{Group: 0, Entries: entriesFrom(1, 2, 1)})
	full, free = true, 1<<20
	if err := store.Write([]GroupWrite{{Group: 0, Entries: entriesFrom(2, 3, 2)}}); !errors.Is(err, ErrNoSpace) {
		t.Fatalf("got error %v, want ErrNoSpace", err)
	}
	for _, want := range []struct {
		free uint64
		room FreeSpace
	}{{defaultHeadroomBytes, SpaceForAll}, {defaultHeadroomBytes - 1, SpaceForReserved}, {defaultHeadroomBytes / 2, SpaceForReserved},
		{defaultHeadroomBytes/2 - 1, SpaceForVotes}, {1 << 20, SpaceForVotes}} {
		if free = want.free; store.FreeSpace() != want.room {
			t.Fatalf("%d free bytes are classified as %v, want %v", free, store.FreeSpace(), want.room)
		}
	}
	if free = defaultHeadroomBytes/2 + 100; !store.HasSpaceFor(0, statepart.NewParts(make([]byte, 100))) || store.HasSpaceFor(0, statepart.NewParts(make([]byte, 100), []byte{1})) {
		t.Fatal("with 100 bytes more than half the headroom free, a snapshot of 100 bytes must fit and one of 101 must not")
	}
	if found := mustLoad(t, store, 0); len(found.Entries) != 2 || found.Entries[1].Term != 1 {
		t.Fatalf("got entries %+v, want the 2 old ones of term 1", found.Entries)
	}
	full = false
	mustWrite(t, store, GroupWrite{Group: 0, Entries: entriesFrom(2, 3, 2)})
	if found := mustLoad(t, store, 0); len(found.Entries) != 4 {
		t.Fatalf("got entries %+v, want 4", found.Entries)
	}
}

// TestUpgradeFromFormat1 checks that Open upgrades a folder of format 1, also when a crash interrupted an earlier
// upgrade after the identity file was written.
func TestUpgradeFromFormat1(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	want := raft.Snapshot{Index: 5, Term: 2, Data: statepart.NewParts([]byte("old state"))}
	record, err := inlineSnapshot(groupKey(4), &want)
	if err != nil {
		t.Fatal(err)
	}
	err = store.database.Update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(bucketMeta).Put(keyFormat, []byte{0, 0, 0, 1}); err != nil {
			return err
		}
		return tx.Bucket(bucketSnapshots).Put(groupKey(4), record[checksumBytes:]) // format 1: no checksum
	})
	if err != nil {
		t.Fatal(err)
	}
	identity := store.Identity()
	store.Close()
	for _, identityFormat := range []uint32{1, 2} { // 2: a crash after the identity file was written
		identity.Format = identityFormat
		if err := writeIdentity(options.Folder, identity); err != nil {
			t.Fatal(err)
		}
		store = mustOpen(t, options)
		found := mustLoad(t, store, 4)
		if found.Snapshot.Index != want.Index || mustJoin(t, found.Snapshot.Data) != mustJoin(t, want.Data) {
			t.Fatalf("the upgraded snapshot is %+v, want the one that was stored in format 1", found.Snapshot)
		}
		store.Close()
		if report, err := Check(options.Folder); err != nil || !report.Sound() {
			t.Fatalf("after the upgrade: %+v, %v", report, err)
		}
	}
}

// TestPeersAreStored checks that the record of a peer is loaded after a restart as it was written.
func TestPeersAreStored(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	want := PeerRecord{NodeID: 2, Address: "127.0.0.1:1", Folder: 1 << 63, Starts: 4, StartNonce: 1<<64 - 1}
	if err := store.PutPeer(want); err != nil {
		t.Fatal(err)
	}
	store.Close()
	peers, err := mustOpen(t, options).Peers()
	if err != nil || len(peers) != 1 || peers[0] != want {
		t.Fatalf("got %+v, error %v; want the record that was stored", peers, err)
	}
}
