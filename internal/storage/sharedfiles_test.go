package storage

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarindring/tamarindring/internal/statepart"
)

// smallPartBytes is the size of the recurring parts of these tests, of which many share a file.
const smallPartBytes = 64 << 10

// recurringParts returns small parts with different contents that later states contain, too.
func recurringParts(count int) statepart.Parts {
	random := rand.New(rand.NewSource(1))
	var parts statepart.Parts
	for range count {
		content := make([]byte, smallPartBytes)
		random.Read(content)
		part := statepart.New(content)
		part.MarkRecurring()
		parts = append(parts, part)
	}
	return parts
}

// stateWith returns a state that begins with a part which no other state contains.
func stateWith(head string, parts statepart.Parts) statepart.Parts {
	return append(statepart.NewParts([]byte(head)), parts...)
}

// compactionOf returns the write of a snapshot of group 3 whose state may be stored in several files.
func compactionOf(index uint64, state statepart.Parts) GroupWrite {
	write := compactionInParts(index)
	write.Compaction.Data = state
	return write
}

// mustCompact stores a snapshot of group 3 and returns the number of bytes written to its files.
func mustCompact(t *testing.T, store *Store, index uint64, state statepart.Parts) uint64 {
	t.Helper()
	announced := store.UnstoredBytes(3, state)
	before := store.fileBytes.Load()
	mustWrite(t, store, compactionOf(index, state))
	written := store.fileBytes.Load() - before
	if uint64(announced) != written {
		t.Errorf("%d bytes were written, but %d were not stored before", written, announced)
	}
	return written
}

// mustOpenWith opens a store and stores a snapshot of group 3 with parts.
func mustOpenWith(t *testing.T, options Options, parts statepart.Parts) *Store {
	t.Helper()
	store := mustOpen(t, options)
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 200, 1)})
	mustCompact(t, store, 1, stateWith("head", parts))
	return store
}

// wantLargeState fails the test unless the snapshot of group 3 has this state, of which it prints only the size.
func wantLargeState(t *testing.T, store *Store, state string) {
	t.Helper()
	snapshot, err := store.LoadSnapshot(3)
	if err != nil {
		t.Fatal(err)
	}
	if loaded := mustJoin(t, snapshot.Data); loaded != state {
		t.Errorf("a state of %d bytes was loaded, want another one of %d bytes", len(loaded), len(state))
	}
}

// TestManySmallPartsAreNotInMemory guards against control nodes whose memory is filled by many small ended jobs: parts
// that share a file stayed in memory, and every snapshot wrote all of them again.
func TestManySmallPartsAreNotInMemory(t *testing.T) {
	options := testOptions(t.TempDir())
	parts := recurringParts(200)
	want := mustJoin(t, parts)
	store := mustOpenWith(t, options, parts)
	if size := parts.MemoryBytes(); size != 0 {
		t.Errorf("%d bytes of %d are in memory after they were stored", size, parts.Size())
	}
	if files, most := len(listSnapshotFiles(t, options.Folder)), 1+2*parts.Size()/meanSharedFileBytes; files > most {
		t.Errorf("the parts are in %d files, want at most %d", files, most)
	}
	if written := mustCompact(t, store, 6, stateWith("head 2", parts)); written != uint64(len("head 2")) {
		t.Errorf("%d bytes were written for a state of which only the head is new", written)
	}
	wantLargeState(t, store, "head 2"+want)
}

// TestPartsThatLeaveTheStateMoveFewOthers: the oldest parts leave the state and new ones come, as with jobs after their
// retention. Only the files at both ends may be written anew, and all parts must stay readable.
func TestPartsThatLeaveTheStateMoveFewOthers(t *testing.T) {
	const held, rounds = 100, 50
	parts := recurringParts(held + rounds)
	store := mustOpenWith(t, testOptions(t.TempDir()), parts[:held])
	rewritten := uint64(0)
	for round := 1; round <= rounds; round++ {
		current := parts[round : round+held]
		rewritten += mustCompact(t, store, uint64(1+round), stateWith("head", current))
		if current.MemoryBytes() != 0 {
			t.Fatalf("round %d: %d bytes are in memory", round, current.MemoryBytes())
		}
	}
	if most := uint64(rounds * 4 * meanSharedFileBytes); rewritten > most {
		t.Errorf("%d MB were written in %d rounds, want at most %d MB", rewritten>>20, rounds, most>>20)
	}
	wantLargeState(t, store, "head"+mustJoin(t, parts[rounds:]))
}

// TestSharedFilesAreKeptAfterRestart: after a restart the sections of a file that was loaded as one part must be neither
// in memory nor written anew.
func TestSharedFilesAreKeptAfterRestart(t *testing.T) {
	options := testOptions(t.TempDir())
	parts := recurringParts(200)
	want := mustJoin(t, parts)
	store := mustOpenWith(t, options, parts)
	store.Close()
	store = mustOpen(t, options)
	loaded, err := store.LoadSnapshot(3)
	if err != nil {
		t.Fatal(err)
	}
	again := sectionsOfSize(t, loaded.Data[1:], smallPartBytes)
	if size, most := again.MemoryBytes(), again.Size()/10; size > most {
		t.Errorf("%d bytes are in memory after the restart, want at most %d, those of the smallest files", size, most)
	}
	if written := mustCompact(t, store, 6, stateWith("head 2", again)); written != uint64(len("head 2")) {
		t.Errorf("%d bytes were written for a state of which only the head is new", written)
	}
	if size := again.MemoryBytes(); size != 0 {
		t.Errorf("%d bytes are in memory after the next snapshot", size)
	}
	wantLargeState(t, store, "head 2"+want)
}

// sectionsOfSize splits parts into recurring sections of a size in bytes, as the state machine splits a part into the
// records of jobs.
func sectionsOfSize(t *testing.T, parts statepart.Parts, size int) statepart.Parts {
	t.Helper()
	return sectionsFrom(t, parts, 0, size)
}

// sectionsFrom is sectionsOfSize without the first bytes of each part.
func sectionsFrom(t *testing.T, parts statepart.Parts, first, size int) statepart.Parts {
	t.Helper()
	var sections statepart.Parts
	for _, part := range parts {
		content, err := part.Content()
		if err != nil {
			t.Fatal(err)
		}
		for offset := first; offset < len(content); offset += size {
			section := part.Section(offset, content[offset:offset+size])
			section.MarkRecurring()
			sections = append(sections, section)
		}
	}
	return sections
}

// TestDamageInASharedFileIsAnError: no part may be read from a file that holds something else, and the next snapshot must
// not keep such a file for content that is in memory.
func TestDamageInASharedFileIsAnError(t *testing.T) {
	options := testOptions(t.TempDir())
	parts, inMemory := recurringParts(3), recurringParts(3)
	store := mustOpenWith(t, options, parts)
	for _, name := range listSnapshotFiles(t, options.Folder) {
		flipBit(t, filepath.Join(options.Folder, name))
	}
	damaged := 0
	for _, part := range parts {
		if content, err := part.Content(); err != nil {
			damaged++
		} else if xxhash.Sum64(content) != part.Checksum() {
			t.Error("a part was read with other content")
		}
	}
	if damaged == 0 {
		t.Error("no part of the damaged files is an error")
	}
	mustWrite(t, store, compactionOf(6, stateWith("head 2", inMemory)))
	if got := mustJoin(t, inMemory); len(got) != inMemory.Size() {
		t.Errorf("%d bytes were read, want %d", len(got), inMemory.Size())
	}
}

// flipBit changes a bit in the middle of a file.
func flipBit(t *testing.T, path string) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	content[len(content)/2] ^= 1
	if err := os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
}

// countingSource counts how often its content is read.
type countingSource struct {
	content []byte
	reads   int
}

func (s *countingSource) Content() ([]byte, error) {
	s.reads++
	return s.content, nil
}

func (s *countingSource) Section(offset, size int, _ uint64) statepart.Source {
	return &countingSource{content: s.content[offset : offset+size]}
}

// TestQueryForUnstoredBytesReadsNoParts: a group's loop asks how much of a new snapshot is on no disk. It must not read
// parts from files for that, also where jobs of one size make many files equally large.
func TestQueryForUnstoredBytesReadsNoParts(t *testing.T) {
	parts := recurringParts(2)
	store := mustOpenWith(t, testOptions(t.TempDir()), parts[:1])
	source := &countingSource{content: make([]byte, smallPartBytes/2)}
	mixed := statepart.Parts{statepart.New(make([]byte, smallPartBytes/2)), statepart.NewStored(smallPartBytes/2, 0, source)}
	for _, part := range mixed {
		part.MarkRecurring()
	}
	if size := store.UnstoredBytes(3, stateWith("head 2", mixed)); size != len("head 2")+mixed.Size() {
		t.Errorf("%d bytes are new, want all %d", size, len("head 2")+mixed.Size())
	}
	if source.reads != 0 {
		t.Errorf("a part was read %d times, want 0", source.reads)
	}
}

// TestPartsOutliveTheFileThatTheyWereReadFrom guards against a node that ends by itself again and again: after a restart its
// state is held by the only file of its snapshot, and the next snapshot, which is one file too, removed that file while the
// state still referred to it.
func TestPartsOutliveTheFileThatTheyWereReadFrom(t *testing.T) {
	const headBytes, restarts, snapshots = 6, 3, 3
	options := testOptions(t.TempDir())
	parts := recurringParts(200)
	want := mustJoin(t, parts)
	store := mustOpen(t, options)
	mustWrite(t, store, GroupWrite{Group: 3, Entries: entriesFrom(1, 200, 1)})
	index := uint64(0)
	writeOneFile := func(state statepart.Parts) {
		t.Helper()
		index++
		write := compaction(index, "")
		write.Compaction.Data = stateWith(fmt.Sprintf("head%02d", index), state)
		mustWrite(t, store, write)
	}
	writeOneFile(parts)
	for restart := range restarts {
		store.Close()
		store = mustOpen(t, options)
		loaded, err := store.LoadSnapshot(3)
		if err != nil {
			t.Fatal(err)
		}
		sections := sectionsFrom(t, loaded.Data, headBytes, smallPartBytes)
		for snapshot := range snapshots {
			writeOneFile(sections)
			if got := mustJoin(t, sections); got != want {
				t.Fatalf("restart %d, snapshot %d: the state has %d bytes, want the %d that were stored", restart, snapshot, len(got), len(want))
			}
		}
	}
	wantLargeState(t, store, fmt.Sprintf("head%02d", index)+want)
	if files := listSnapshotFiles(t, options.Folder); len(files) != 1 {
		t.Errorf("got files %v, want one: builds that do not support states in parts may read the folder", files)
	}
}
