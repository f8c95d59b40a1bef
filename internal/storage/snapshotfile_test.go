package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// listSnapshotFiles returns the names of the snapshot files in the folder.
func listSnapshotFiles(t *testing.T, folder string) []string {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), snapshotPrefix) {
			names = append(names, entry.Name())
		}
	}
	return names
}

// mustJoin returns the encoding of a state.
func mustJoin(t *testing.T, parts statepart.Parts) string {
	t.Helper()
	data, err := parts.Join()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// compaction returns the write of a snapshot of group 3 with a state of one part.
func compaction(index uint64, state string) GroupWrite {
	return GroupWrite{Group: 3, Compaction: &raft.Snapshot{Index: index, Term: 1, Data: statepart.NewParts([]byte(state)),
		Configuration: raft.Configuration{Voters: []uint64{1, 2}}}}
}

// wantState fails the test unless both ways to load the snapshot of group 3 return this index and state.
func wantState(t *testing.T, store *Store, index uint64, state string) {
	t.Helper()
	for _, load := range []func() (raft.Snapshot, error){
		func() (raft.Snapshot, error) { return store.LoadSnapshot(3) },
		func() (raft.Snapshot, error) { restored, err := store.Load(3); return restored.Snapshot, err },
	} {
		snapshot, err := load()
		if err != nil || snapshot.Index != index || mustJoin(t, snapshot.Data) != state || len(snapshot.Configuration.Voters) != 2 {
			t.Fatalf("got snapshot %+v, error %v; want index %d with state %q", snapshot, err, index, state)
		}
	}
}

// TestOnlyTheNewestSnapshotIsKept checks that the files of replaced snapshots are removed, and that Open removes an
// unreferenced file, which a power failure can leave.
func TestOnlyTheNewestSnapshotIsKept(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 20, 1)})
	mustWrite(t, store, compaction(5, "five"), GroupWrite{Group: 4, Snapshot: &raft.Snapshot{Index: 2, Term: 1, Data: statepart.NewParts([]byte("other"))}})
	mustWrite(t, store, compaction(9, "nine"))
	wantState(t, store, 9, "nine")
	if names := listSnapshotFiles(t, options.Folder); len(names) != 2 {
		t.Fatalf("got files %v, want 2", names)
	}
	received := compaction(15, "both")
	received.Snapshot = &raft.Snapshot{Index: 12, Term: 1, Data: statepart.NewParts([]byte("received"))}
	mustWrite(t, store, received)
	store.Close()
	stray := filepath.Join(options.Folder, snapshotPrefix+"3-99-1")
	if err := os.WriteFile(stray, []byte("not committed"), fileMode); err != nil {
		t.Fatal(err)
	}
	store = mustOpen(t, options)
	wantState(t, store, 15, "both")
	if names := listSnapshotFiles(t, options.Folder); len(names) != 2 {
		t.Fatalf("got files %v after the restart, want 2", names)
	}
}

// TestDamagedSnapshotFileIsFound checks that Load and Check detect a snapshot file that is garbled, truncated or
// missing.
func TestDamagedSnapshotFileIsFound(t *testing.T) {
	for name, damage := range map[string]func(path string) error{
		"garbled": func(path string) error { return os.WriteFile(path, []byte("fivf"), fileMode) },
		"cut":     func(path string) error { return os.Truncate(path, 2) },
		"missing": os.Remove,
	} {
		t.Run(name, func(t *testing.T) {
			options := testOptions(t.TempDir())
			store := mustOpen(t, options)
			mustWrite(t, store, compaction(5, "five"))
			if err := damage(filepath.Join(options.Folder, listSnapshotFiles(t, options.Folder)[0])); err != nil {
				t.Fatal(err)
			}
			var damaged *DamageError
			if _, err := store.Load(3); !errors.As(err, &damaged) {
				t.Fatalf("Load returned error %v, want a DamageError", err)
			}
			store.Close()
			report, err := Check(options.Folder)
			if err != nil || report.Sound() {
				t.Fatalf("Check found no damage: %+v, %v", report, err)
			}
		})
	}
}

// TestFullDiskKeepsTheOldSnapshot checks that the old snapshot stays, and the new file is removed, when the disk is
// full at the transaction that follows the writing of the file.
func TestFullDiskKeepsTheOldSnapshot(t *testing.T) {
	options := testOptions(t.TempDir())
	full := false
	options.Hooks.BeforeCommit = func() error {
		if full {
			return &fs.PathError{Op: "write", Path: dataFile, Err: unix.ENOSPC}
		}
		return nil
	}
	store := mustOpen(t, options)
	mustWrite(t, store, compaction(5, "five"))
	full = true
	if err := store.Write([]GroupWrite{compaction(9, "nine")}); !errors.Is(err, ErrNoSpace) {
		t.Fatal(err)
	}
	wantState(t, store, 5, "five")
	if names := listSnapshotFiles(t, options.Folder); len(names) != 1 {
		t.Fatalf("got files %v, want 1", names)
	}
	full = false
	mustWrite(t, store, compaction(9, "nine"))
	wantState(t, store, 9, "nine")
}

// inlineSnapshot returns a snapshot record of format 2, which contains the state itself. Without its checksum it is a
// record of format 1.
func inlineSnapshot(key []byte, snapshot *raft.Snapshot) ([]byte, error) {
	data, err := snapshot.Data.Join()
	if err != nil {
		return nil, err
	}
	payload, err := proto.Marshal(&wire.RaftSnapshot{Index: snapshot.Index, Term: snapshot.Term, Data: data,
		Configuration: &wire.RaftConfiguration{Voters: snapshot.Configuration.Voters, Learners: snapshot.Configuration.Learners}})
	return encodeRecord(key, payload), err
}

// TestUpgradeFromFormat2 checks that Open moves the states of snapshots from their records into files.
func TestUpgradeFromFormat2(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	mustWrite(t, store, compaction(5, "five"))
	err := store.database.Update(func(tx *bbolt.Tx) error {
		key := groupKey(3)
		record, err := inlineSnapshot(key, compaction(5, "inline").Compaction)
		if err != nil {
			return err
		}
		if err := tx.Bucket(bucketSnapshots).Put(key, record); err != nil {
			return err
		}
		return tx.Bucket(bucketMeta).Put(keyFormat, []byte{0, 0, 0, 2})
	})
	if err != nil {
		t.Fatal(err)
	}
	identity := store.Identity()
	store.Close()
	identity.Format = 2
	if err := writeIdentity(options.Folder, identity); err != nil {
		t.Fatal(err)
	}
	store = mustOpen(t, options)
	wantState(t, store, 5, "inline")
	if store.Identity().Format != Format || len(listSnapshotFiles(t, options.Folder)) != 1 {
		t.Fatalf("got format %d and files %v, want the newest format and 1 file", store.Identity().Format, listSnapshotFiles(t, options.Folder))
	}
}
