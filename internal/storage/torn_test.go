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
	metaPages     = 2 // the first pages of a bbolt file; one of them makes a commit count
)

// TestTornLastWriteKeepsWhatWasAcknowledged loses power at many points within the last write: any part of its
// pages may have reached the disk, and at most a part of the page that makes them count. What was
// acknowledged before must be there, and nothing of the write or all of it.
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
		torn := tear(random, before, after)
		folder := t.TempDir()
		writeFile(t, filepath.Join(folder, identityFile), identity)
		writeFile(t, filepath.Join(folder, dataFile), torn)
		again := testOptions(folder)
		reopened, err := Open(again)
		if err != nil {
			t.Fatalf("a torn write made the folder unreadable: %v", err)
		}
		found := mustLoad(t, reopened, 0)
		switch found.HardState {
		case raft.HardState{Term: 1, Vote: 3, Commit: 9}:
			oldStates++
			if len(found.Entries) != 40 || found.Entries[39].Term != 1 {
				t.Fatalf("the old state has %d entries", len(found.Entries))
			}
		case raft.HardState{Term: 2, Vote: 1, Commit: 20}:
			if len(found.Entries) != 89 || found.Entries[29].Term != 2 {
				t.Fatalf("the new state has %d entries", len(found.Entries))
			}
		default:
			t.Fatalf("found %+v", found.HardState)
		}
		if err := reopened.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if oldStates == 0 {
		t.Fatal("no write was torn")
	}
}

// tear returns the file as of a loss of power: some of the changed pages are new, and of the page that makes
// the write count, which is written last, a beginning.
func tear(random *rand.Rand, before, after []byte) []byte {
	torn := append([]byte(nil), before...)
	torn = append(torn, make([]byte, max(0, len(after)-len(before)))...)
	whole := random.Intn(2) == 0
	for page := metaPages; (page+1)*tornPageBytes <= len(after); page++ {
		if whole || random.Intn(2) == 0 {
			copy(torn[page*tornPageBytes:], after[page*tornPageBytes:(page+1)*tornPageBytes])
		}
	}
	if !whole {
		return torn
	}
	for page := range metaPages {
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

// TestWrongKeyPositionIsRefused moves the first key of one page after the other out of the file: bbolt would
// follow it in a goroutine of its own and end the process.
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
	for id := metaPages; (id+1)*tornPageBytes <= len(sound); id++ {
		content := sound[id*tornPageBytes : (id+1)*tornPageBytes]
		found := parsePage(uint64(id), content)
		position := 4 // of a leaf's key, relative to its element
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
		default: // a page that is not in use
			if err := reopened.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if refused < 3 {
		t.Fatalf("%d damaged pages were refused", refused)
	}
}
