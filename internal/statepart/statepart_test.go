package statepart

import (
	"bytes"
	"errors"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// fixedSource returns a fixed content or error.
type fixedSource struct {
	content []byte
	err     error
}

func (s fixedSource) Content() ([]byte, error) { return s.content, s.err }

// TestMovedPartKeepsItsContent: size, content and checksum of a part must be the same in memory and at a source, whichever
// is asked for first.
func TestMovedPartKeepsItsContent(t *testing.T) {
	content := []byte("state")
	for _, summedBefore := range []bool{false, true} {
		part := New(bytes.Clone(content))
		if summedBefore && part.Checksum() != xxhash.Sum64(content) {
			t.Error("wrong checksum in memory")
		}
		part.MoveTo(fixedSource{content: content}, xxhash.Sum64(content))
		got, err := part.Content()
		if err != nil || !bytes.Equal(got, content) || part.Size() != len(content) || part.Checksum() != xxhash.Sum64(content) {
			t.Errorf("summed before %v: content %q of size %d, sum %x (%v)", summedBefore, got, part.Size(), part.Checksum(), err)
		}
		if part.InMemory() || (Parts{part}).MemoryBytes() != 0 {
			t.Error("a moved part counts as held in memory")
		}
	}
}

// TestUnreadablePartIsAnError: parts that can't be read must not be joined to a state without them.
func TestUnreadablePartIsAnError(t *testing.T) {
	errGone := errors.New("gone")
	parts := append(NewParts([]byte("head")), NewStored(4, 0, fixedSource{err: errGone}))
	if data, err := parts.Join(); !errors.Is(err, errGone) || data != nil {
		t.Errorf("joined %q with error %v, want the source's error", data, err)
	}
	if size, held := parts.Size(), parts.MemoryBytes(); size != 8 || held != 4 {
		t.Errorf("%d bytes, %d of them in memory, want 8 and 4", size, held)
	}
}

// TestPartIsReadWhileItMoves: readers must get the content while the part moves to a source.
func TestPartIsReadWhileItMoves(t *testing.T) {
	content := []byte("state")
	part := New(bytes.Clone(content))
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for range 200 {
				if got, err := part.Content(); err != nil || !bytes.Equal(got, content) {
					t.Errorf("content %q (%v)", got, err)
					return
				}
			}
		})
	}
	part.MoveTo(fixedSource{content: content}, xxhash.Sum64(content))
	readers.Wait()
}
