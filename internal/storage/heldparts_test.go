package storage

import (
	"bytes"
	"runtime"
	"slices"
	"testing"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// largePart is a part that has a file of its own.
func largePart(mark byte) []byte { return bytes.Repeat([]byte{mark}, ownFileBytes) }

func inSeveralFiles(index uint64, parts ...[]byte) GroupWrite {
	write := compaction(index, "")
	write.Compaction.Data, write.InParts = parts, true
	return write
}

// TestSnapshotWritesWhatHasChanged: a snapshot of 52 MB, most of which the one before held as well, needed 52 MB of room beside
// it and found none on a disk of 128 MB.
func TestSnapshotWritesWhatHasChanged(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 20, 1)})
	first, second, third := largePart('a'), largePart('b'), largePart('c')
	mustWrite(t, store, inSeveralFiles(5, []byte("head"), first, second, []byte("small"), []byte("er")))
	before := snapshotsIn(t, options.Folder)
	if len(before) != 4 {
		t.Fatalf("files %v", before)
	}
	written := store.fileBytes.Load()
	next := []([]byte){[]byte("head 2"), slices.Clone(second), third} // as a node that lags receives it: equal, and other memory
	if size := store.SizeOfNew(3, next); size != len("head 2")+len(third) {
		t.Fatalf("%d bytes are new", size)
	}
	mustWrite(t, store, inSeveralFiles(9, next...))
	if added := store.fileBytes.Load() - written; added != uint64(len("head 2")+len(third)) {
		t.Fatalf("%d bytes were written", added)
	}
	wantState(t, store, 9, string(raft.Parts(next).Join()))
	after := snapshotsIn(t, options.Folder)
	kept := slices.DeleteFunc(slices.Clone(after), func(name string) bool { return !slices.Contains(before, name) })
	if len(after) != 3 || len(kept) != 1 {
		t.Fatalf("files %v, then %v", before, after)
	}
	runtime.KeepAlive(first)
	runtime.KeepAlive(second)
	store.Close()
	wantState(t, mustOpen(t, options), 9, string(raft.Parts(next).Join()))
}

// TestSentSnapshotSharesTheStatesMemory: a leader read its snapshot of 52 MB once more for each node that lagged, and ended for
// lack of memory. What the state machine keeps is not read again, and what it has dropped is not kept here.
func TestSentSnapshotSharesTheStatesMemory(t *testing.T) {
	store := mustOpen(t, testOptions(t.TempDir()))
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 20, 1)})
	kept := largePart('a')
	mustWrite(t, store, inSeveralFiles(5, []byte("head"), kept, largePart('b')))
	runtime.GC()
	sent, err := store.LoadSnapshot(3)
	if err != nil || len(sent.Data) != 3 {
		t.Fatalf("%d parts, %v", len(sent.Data), err)
	}
	if &sent.Data[1][0] != &kept[0] {
		t.Error("a part that is in memory was read again")
	}
	if store.held.parts[store.held.files[3][0].name].value() != nil {
		t.Error("a small part is held")
	}
	runtime.KeepAlive(kept)
	sent = raft.Snapshot{}
	runtime.GC()
	for name, part := range store.held.parts {
		if part.value() != nil {
			t.Errorf("%s is held though nobody else keeps it", name)
		}
	}
}

// TestStateStaysInOneFileForOlderBuilds: builds that know no parts read a folder until the level says that there are none.
func TestStateStaysInOneFileForOlderBuilds(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 20, 1)})
	write := inSeveralFiles(5, []byte("head"), largePart('a'))
	write.InParts = false
	mustWrite(t, store, write)
	if names := snapshotsIn(t, options.Folder); len(names) != 1 {
		t.Fatalf("files %v", names)
	}
	wantState(t, store, 5, "head"+string(largePart('a')))
	mustWrite(t, store, inSeveralFiles(6, []byte("head"), largePart('a')))
	write.Compaction.Index = 7 // after a start the level is not known for a moment
	mustWrite(t, store, write)
	if names := snapshotsIn(t, options.Folder); len(names) != 2 {
		t.Fatalf("files %v", names)
	}
}
