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

func (s fixedSource) Section(offset, size int, _ uint64) Source {
	return fixedSource{content: s.content[offset : offset+size], err: s.err}
}

// movingSource has lost its content, because the part moves while it is read.
type movingSource struct {
	fixedSource
	part *Part
	to   Source
}

func (s *movingSource) Content() ([]byte, error) {
	s.part.MoveTo(s.to)
	return nil, errGone
}

var errGone = errors.New("gone")

// TestMovedPartKeepsItsContent: size, content and checksum of a part must be the same in memory and at a source, whichever
// is asked for first.
func TestMovedPartKeepsItsContent(t *testing.T) {
	content := []byte("state")
	for _, summedBefore := range []bool{false, true} {
		part := New(bytes.Clone(content))
		if summedBefore && part.Checksum() != xxhash.Sum64(content) {
			t.Error("wrong checksum in memory")
		}
		part.MoveTo(fixedSource{content: content})
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
	part.MoveTo(fixedSource{content: content})
	readers.Wait()
}

// TestPartIsReadWhereItMovedTo: the file that a part was in is removed while the part is read, because the part moved to
// another file. The reader must get the content from there, and the error only of a part that has not moved.
func TestPartIsReadWhereItMovedTo(t *testing.T) {
	content := []byte("state")
	part := New(bytes.Clone(content))
	part.MoveTo(&movingSource{part: part, to: fixedSource{content: content}})
	if got, err := part.Content(); err != nil || !bytes.Equal(got, content) {
		t.Errorf("content %q (%v), want that of the new source", got, err)
	}
	part.MoveTo(fixedSource{err: errGone})
	if got, err := part.Content(); !errors.Is(err, errGone) || got != nil {
		t.Errorf("content %q (%v), want the error of the source", got, err)
	}
}

// TestSectionIsHeldWhereItsPartIs: a section of a part that a source holds must not occupy memory, and its checksum must
// be that of the section.
func TestSectionIsHeldWhereItsPartIs(t *testing.T) {
	content := []byte("head and rest")
	inMemory := New(content)
	stored := NewStored(len(content), xxhash.Sum64(content), fixedSource{content: content})
	for _, part := range []*Part{inMemory, stored} {
		section := part.Section(5, content[5:8])
		got, err := section.Content()
		if err != nil || string(got) != "and" || section.Size() != 3 || section.Checksum() != xxhash.Sum64([]byte("and")) {
			t.Errorf("section %q of size %d, sum %x (%v), want \"and\"", got, section.Size(), section.Checksum(), err)
		}
		if section.InMemory() != part.InMemory() {
			t.Errorf("the section is in memory: %v, its part: %v", section.InMemory(), part.InMemory())
		}
	}
}

// TestChecksumOfPartsIsThatOfTheirEncoding: it must not depend on how the encoding is split, or on where it is held.
func TestChecksumOfPartsIsThatOfTheirEncoding(t *testing.T) {
	want := xxhash.Sum64([]byte("head"))
	split := NewParts([]byte("he"), []byte("ad"))
	split[1].MoveTo(fixedSource{content: []byte("ad")})
	for _, parts := range []Parts{NewParts([]byte("head")), split} {
		if got, err := parts.Checksum(); err != nil || got != want {
			t.Errorf("checksum %x of %d parts (%v), want %x", got, len(parts), err, want)
		}
	}
	if _, err := append(split, NewStored(4, 0, fixedSource{err: errGone})).Checksum(); !errors.Is(err, errGone) {
		t.Errorf("error %v, want the source's", err)
	}
}
