package storage

import (
	"bytes"
	"errors"
	"io/fs"
	"slices"
	"testing"

	"github.com/tamarindring/tamarindring/internal/statepart"
)

// largePart returns a part that is large enough for a file of its own.
func largePart(mark byte) []byte { return bytes.Repeat([]byte{mark}, minOwnFileBytes) }

// compactionInParts returns the write of a snapshot whose state may be stored in several files.
func compactionInParts(index uint64, parts ...[]byte) GroupWrite {
	write := compaction(index, "")
	write.Compaction.Data, write.AllowMultipleFiles = statepart.NewParts(parts...), true
	return write
}

// TestSnapshotWritesWhatHasChanged checks that a snapshot keeps the files of unchanged parts. Without that, a 52 MB
// snapshot that was almost equal to the previous one needed another 52 MB of free space, which a 128 MB disk did not
// have.
func TestSnapshotWritesWhatHasChanged(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 20, 1)})
	first, second, third := largePart('a'), largePart('b'), largePart('c')
	mustWrite(t, store, compactionInParts(5, []byte("head"), first, second, []byte("small"), []byte("er")))
	before := listSnapshotFiles(t, options.Folder)
	if len(before) != 4 {
		t.Fatalf("got files %v, want 4", before)
	}
	written := store.fileBytes.Load()
	next := []([]byte){[]byte("head 2"), slices.Clone(second), third} // received: equal content in other memory
	if size := store.UnstoredBytes(3, statepart.NewParts(next...)); size != len("head 2")+len(third) {
		t.Fatalf("%d bytes are new, want those of the first and third part", size)
	}
	write := compactionInParts(9, next...)
	shared := write.Compaction.Data
	mustWrite(t, store, write)
	if added := store.fileBytes.Load() - written; added != uint64(len("head 2")+len(third)) {
		t.Fatalf("%d bytes were written, want those of the first and third part", added)
	}
	wantState(t, store, 9, string(bytes.Join(next, nil)))
	after := listSnapshotFiles(t, options.Folder)
	kept := slices.DeleteFunc(slices.Clone(after), func(name string) bool { return !slices.Contains(before, name) })
	if len(after) != 3 || len(kept) != 1 {
		t.Fatalf("the files were %v and are %v, want 3 files, one of them unchanged", before, after)
	}
	again := compactionInParts(12)
	again.Compaction.Data = statepart.Parts{statepart.New([]byte("head 3")), shared[1], shared[2]}
	written = store.fileBytes.Load()
	mustWrite(t, store, again)
	if added := store.fileBytes.Load() - written; added != uint64(len("head 3")) {
		t.Fatalf("%d bytes were written for parts that are stored already, want those of the head", added)
	}
	store.Close()
	wantState(t, mustOpen(t, options), 12, "head 3"+string(second)+string(third))
}

// TestStoredPartsAreNotInMemory checks that the store releases the memory of large parts that it has written, also for
// the holders of the parts, and that a snapshot is loaded without them. Control nodes whose ended jobs stayed in memory
// collected garbage without end after some 65 s of full load, and a leader that read its 52 MB snapshot again for each
// lagging node ran out of memory.
func TestStoredPartsAreNotInMemory(t *testing.T) {
	store := mustOpen(t, testOptions(t.TempDir()))
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 20, 1)})
	write := compactionInParts(5, []byte("head"), largePart('a'), largePart('b'))
	mustWrite(t, store, write)
	held := write.Compaction.Data
	if size := held.MemoryBytes(); size != len("head") {
		t.Errorf("%d bytes of the state are in memory after it was stored, want the small part only", size)
	}
	if content, err := held[1].Content(); err != nil || !bytes.Equal(content, largePart('a')) {
		t.Errorf("a stored part has other content (%v)", err)
	}
	loaded, err := store.LoadSnapshot(3)
	if err != nil || len(loaded.Data) != 3 {
		t.Fatalf("%d parts, %v", len(loaded.Data), err)
	}
	if size := loaded.Data.MemoryBytes(); size != len("head") {
		t.Errorf("a snapshot was loaded with %d bytes in memory, want the small part only", size)
	}
}

// TestReplacedStateIsReadUntilReleased checks that the parts of a state that a snapshot of the leader replaces can be
// read until the state machine has the new state, and that their files are removed then.
func TestReplacedStateIsReadUntilReleased(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	old := compactionInParts(5, []byte("head"), largePart('a'), largePart('b'))
	mustWrite(t, store, old)
	received := compactionInParts(9, []byte("head"), largePart('b'), largePart('c'))
	received.Snapshot, received.Compaction = received.Compaction, nil
	mustWrite(t, store, received)
	for position, want := range [][]byte{[]byte("head"), largePart('a'), largePart('b')} {
		if content, err := old.Compaction.Data[position].Content(); err != nil || !bytes.Equal(content, want) {
			t.Errorf("part %d of the replaced state can't be read (%v)", position, err)
		}
	}
	store.RemoveReplaced(3)
	if names := listSnapshotFiles(t, options.Folder); len(names) != 3 {
		t.Errorf("got files %v, want the 3 of the new snapshot", names)
	}
	if content, err := received.Snapshot.Data[1].Content(); err != nil || !bytes.Equal(content, largePart('b')) {
		t.Errorf("a part that both states have can't be read (%v)", err)
	}
	wantState(t, store, 9, "head"+string(largePart('b'))+string(largePart('c')))
}

// TestReadOfAReplacedPartFails checks that a part whose file is gone gives an error and no content.
func TestReadOfAReplacedPartFails(t *testing.T) {
	store := mustOpen(t, testOptions(t.TempDir()))
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 20, 1)})
	first := compactionInParts(5, []byte("head"), largePart('a'))
	mustWrite(t, store, first)
	mustWrite(t, store, compactionInParts(9, []byte("head")))
	if content, err := first.Compaction.Data[1].Content(); !errors.Is(err, fs.ErrNotExist) || content != nil {
		t.Errorf("got %d bytes and error %v, want a missing file", len(content), err)
	}
}

// TestStateIsOneFileForOlderBuilds checks that a state is written as one file until AllowMultipleFiles is set, because
// builds that do not support several files may have to read the folder. A group whose snapshot is already in several
// files keeps them.
func TestStateIsOneFileForOlderBuilds(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 20, 1)})
	write := compactionInParts(5, []byte("head"), largePart('a'))
	write.AllowMultipleFiles = false
	mustWrite(t, store, write)
	if names := listSnapshotFiles(t, options.Folder); len(names) != 1 {
		t.Fatalf("got files %v, want 1", names)
	}
	wantState(t, store, 5, "head"+string(largePart('a')))
	mustWrite(t, store, compactionInParts(6, []byte("head"), largePart('a')))
	write.Compaction.Index = 7 // without AllowMultipleFiles: a node does not know the level directly after its start
	mustWrite(t, store, write)
	if names := listSnapshotFiles(t, options.Folder); len(names) != 2 {
		t.Fatalf("got files %v, want 2", names)
	}
}
