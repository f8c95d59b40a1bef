package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/tamarindring/tamarindring/internal/raft"
)

const (
	tornPageBytes = 4096
	metaPageCount = 2 // the first pages of a bbolt file; a commit takes effect when one of them is written
)

// TestTornLastWriteKeepsWhatWasAcknowledged simulates power failures during the last write: any of its data pages, and
// at most a part of its meta page, have reached the disk. All writes that were acknowledged before must be found, and
// either all or nothing of the last one.
func TestTornLastWriteKeepsWhatWasAcknowledged(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	mustWrite(t, store, GroupWrite{Group: 0, Entries: entriesFrom(1, 40, 1), HardState: &raft.HardState{Term: 1, Vote: 3, Commit: 9}})
	before := readFile(t, options.Folder)
	mustWrite(t, store, GroupWrite{Group: 0, Entries: entriesFrom(30, 60, 2), HardState: &raft.HardState{Term: 2, Vote: 1, Commit: 20}})
	after := readFile(t, options.Folder)
	identity, err := os.ReadFile(filepath.Join(options.Folder, identityFile))
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewSource(9))
	oldStates := 0
	for range 20 {
		torn := simulateTornWrite(random, before, after)
		folder := t.TempDir()
		writeFile(t, filepath.Join(folder, identityFile), identity)
		writeFile(t, filepath.Join(folder, dataFile), torn)
		again := testOptions(folder)
		reopened, err := Open(again)
		if err != nil {
			t.Fatalf("the folder can't be opened after a torn write: %v", err)
		}
		found := mustLoad(t, reopened, 0)
		switch found.HardState {
		case raft.HardState{Term: 1, Vote: 3, Commit: 9}:
			oldStates++
			if len(found.Entries) != 40 || found.Entries[39].Term != 1 {
				t.Fatalf("the old state has %d entries, want 40 of term 1", len(found.Entries))
			}
		case raft.HardState{Term: 2, Vote: 1, Commit: 20}:
			if len(found.Entries) != 89 || found.Entries[29].Term != 2 {
				t.Fatalf("the new state has %d entries, want 89 with term 2 from the 30th on", len(found.Entries))
			}
		default:
			t.Fatalf("got hard state %+v, want the old or the new one", found.HardState)
		}
		if err := reopened.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if oldStates == 0 {
		t.Fatal("no simulated power failure left the old state")
	}
}

// simulateTornWrite returns the content of the file after a power failure during a write. Either some of the data pages
// have their new content, or all of them have it and the meta page, which is written last, is partly written.
func simulateTornWrite(random *rand.Rand, before, after []byte) []byte {
	torn := append([]byte(nil), before...)
	torn = append(torn, make([]byte, max(0, len(after)-len(before)))...)
	whole := random.Intn(2) == 0
	for page := metaPageCount; (page+1)*tornPageBytes <= len(after); page++ {
		if whole || random.Intn(2) == 0 {
			copy(torn[page*tornPageBytes:], after[page*tornPageBytes:(page+1)*tornPageBytes])
		}
	}
	if !whole {
		return torn
	}
	for page := range metaPageCount {
		from, to := page*tornPageBytes, (page+1)*tornPageBytes
		if !bytes.Equal(before[from:to], after[from:to]) {
			copy(torn[from:], after[from:from+random.Intn(tornPageBytes/32)])
		}
	}
	return torn
}

func readFile(t *testing.T, folder string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(folder, dataFile))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
}

// TestWrongKeyPositionIsRefused checks that Open refuses a data file in which the offset of a page's first key points
// outside of the file. bbolt would follow the offset in a goroutine of its own and end the process.
func TestWrongKeyPositionIsRefused(t *testing.T) {
	options := testOptions(t.TempDir())
	store := mustOpen(t, options)
	for round := range 20 {
		mustWrite(t, store, GroupWrite{Group: uint32(round % 3), Entries: entriesFrom(uint64(round*100), 100, 1)})
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	sound := readFile(t, options.Folder)
	refused := 0
	for id := metaPageCount; (id+1)*tornPageBytes <= len(sound); id++ {
		content := sound[id*tornPageBytes : (id+1)*tornPageBytes]
		found := parsePage(uint64(id), content)
		position := 4 // of the key offset in the element header of a leaf page
		if found.flags == branchPage {
			position = 0
		}
		if found.flags != leafPage && found.flags != branchPage || found.count == 0 {
			continue
		}
		damaged := append([]byte(nil), sound...)
		binary.LittleEndian.PutUint32(damaged[id*tornPageBytes+pageHeaderBytes+position:], 0x7ff0_0000)
		writeFile(t, filepath.Join(options.Folder, dataFile), damaged)
		reopened, err := Open(options)
		var damage *DamageError
		switch {
		case errors.As(err, &damage):
			refused++
		case err != nil:
			t.Fatalf("page %d: %v", id, err)
		default: // the damaged page is not in use
			if err := reopened.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if refused < 3 {
		t.Fatalf("%d damaged pages were refused, want at least 3", refused)
	}
}
