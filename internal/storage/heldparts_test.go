package storage

import (
	"bytes"
	"runtime"
	"slices"
	"testing"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// largePart returns a part that is large enough for a file of its own.
func largePart(mark byte) []byte { return bytes.Repeat([]byte{mark}, minOwnFileBytes) }

// compactionInParts returns the write of a snapshot whose state may be stored in several files.
func compactionInParts(index uint64, parts ...[]byte) GroupWrite {
	write := compaction(index, "")
	write.Compaction.Data, write.AllowMultipleFiles = parts, true
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
	if size := store.UnstoredBytes(3, next); size != len("head 2")+len(third) {
		t.Fatalf("%d bytes are new, want those of the first and third part", size)
	}
	mustWrite(t, store, compactionInParts(9, next...))
	if added := store.fileBytes.Load() - written; added != uint64(len("head 2")+len(third)) {
		t.Fatalf("%d bytes were written, want those of the first and third part", added)
	}
	wantState(t, store, 9, string(raft.Parts(next).Join()))
	after := listSnapshotFiles(t, options.Folder)
	kept := slices.DeleteFunc(slices.Clone(after), func(name string) bool { return !slices.Contains(before, name) })
	if len(after) != 3 || len(kept) != 1 {
		t.Fatalf("the files were %v and are %v, want 3 files, one of them unchanged", before, after)
	}
	runtime.KeepAlive(first)
	runtime.KeepAlive(second)
	store.Close()
	wantState(t, mustOpen(t, options), 9, string(raft.Parts(next).Join()))
}

// TestSentSnapshotSharesTheStatesMemory checks that large parts which the state machine has in memory are not read
// again, and that the store keeps no part in memory that the state machine has released. A leader that read its 52 MB
// snapshot again for each lagging node ran out of memory.
func TestSentSnapshotSharesTheStatesMemory(t *testing.T) {
	store := mustOpen(t, testOptions(t.TempDir()))
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 20, 1)})
	kept := largePart('a')
	mustWrite(t, store, compactionInParts(5, []byte("head"), kept, largePart('b')))
	runtime.GC()
	sent, err := store.LoadSnapshot(3)
	if err != nil || len(sent.Data) != 3 {
		t.Fatalf("%d parts, %v", len(sent.Data), err)
	}
	if &sent.Data[1][0] != &kept[0] {
		t.Error("a part that is in memory was read from its file")
	}
	if store.parts.parts[store.parts.files[3][0].name].value() != nil {
		t.Error("a small part is in the cache")
	}
	runtime.KeepAlive(kept)
	sent = raft.Snapshot{}
	runtime.GC()
	for name, part := range store.parts.parts {
		if part.value() != nil {
			t.Errorf("the part of %s is in memory after all other references to it were dropped", name)
		}
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
