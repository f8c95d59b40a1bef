// Package statepart holds the parts of an encoded replicated state. A part never changes. Where its content is held
// does: it is in memory when it is encoded or received, and in a file once a disk holds it. The state machine, raft, the
// disk and messages share parts, so that a state which grows with the data of a day does not occupy memory.
//
// The package does no I/O itself: files are read through a Source.
package statepart

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Source reads the content of a part that is not in memory.
type Source interface {
	// Content returns the whole content of the part, verified. The caller may keep it.
	Content() ([]byte, error)
	// Section returns the source of the section of size bytes from offset on, whose xxhash is checksum.
	Section(offset, size int, checksum uint64) Source
}

// Part is one part of an encoded state. It is safe for concurrent use.
type Part struct {
	size int

	mutex       sync.Mutex
	content     []byte // nil once source holds the content
	source      Source // nil while the content is in memory
	moves       int    // number of calls of MoveTo
	checksum    uint64 // of the content; valid if isSummed
	isSummed    bool
	isRecurring bool
}

// New returns a part that is in memory. The caller must not modify content afterwards.
func New(content []byte) *Part { return &Part{size: len(content), content: content} }

// NewStored returns a part that a source holds. size is its length in bytes, checksum the xxhash of its content.
func NewStored(size int, checksum uint64, source Source) *Part {
	return &Part{size: size, source: source, checksum: checksum, isSummed: true}
}

// Size returns the length of the content in bytes.
func (p *Part) Size() int { return p.size }

// Content returns the content, which the caller must not modify. It reads a part that is not in memory from its source
// and returns the source's error.
func (p *Part) Content() ([]byte, error) {
	for {
		content, source, moves := p.holder()
		if source == nil {
			return content, nil
		}
		content, err := source.Content()
		if _, _, movesSince := p.holder(); err == nil || movesSince == moves {
			return content, err
		}
	}
}

// holder returns the content, or the source that holds it, and the number of moves so far.
func (p *Part) holder() (content []byte, source Source, moves int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.content, p.source, p.moves
}

// Source returns the source that holds the content. It is nil while the content is in memory.
func (p *Part) Source() Source {
	_, source, _ := p.holder()
	return source
}

// Section returns a part with the section of the content that begins at offset. content is that section, as Content
// returned it. The section is held where the part is held now.
func (p *Part) Section(offset int, content []byte) *Part {
	source := p.Source()
	if source == nil {
		return New(content)
	}
	checksum := xxhash.Sum64(content)
	return NewStored(len(content), checksum, source.Section(offset, len(content), checksum))
}

// MarkRecurring marks a part that later states contain, too.
func (p *Part) MarkRecurring() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isRecurring = true
}

// IsRecurring reports whether later states contain the part, too. It may return false for a part of a received state.
func (p *Part) IsRecurring() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.isRecurring
}

// InMemory reports whether the content is held in memory.
func (p *Part) InMemory() bool { return p.Source() == nil }

// MoveTo makes source the holder of the content and releases the memory. A part that has a source already gets the new
// one.
func (p *Part) MoveTo(source Source) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sum()
	p.content, p.source = nil, source
	p.moves++
}

// Checksum returns the xxhash of the content.
func (p *Part) Checksum() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sum()
	return p.checksum
}

// sum computes the checksum if it is not known. The caller holds the mutex.
func (p *Part) sum() {
	if !p.isSummed {
		p.checksum, p.isSummed = xxhash.Sum64(p.content), true
	}
}

// Parts is an encoded state that is split into parts. The encoding is their concatenation.
type Parts []*Part

// NewParts returns parts that are in memory, one for each content.
func NewParts(contents ...[]byte) Parts {
	parts := make(Parts, 0, len(contents))
	for _, content := range contents {
		parts = append(parts, New(content))
	}
	return parts
}

// Size returns the size of the encoding in bytes.
func (p Parts) Size() int {
	size := 0
	for _, part := range p {
		size += part.size
	}
	return size
}

// MemoryBytes returns the size in bytes of those parts that are held in memory.
func (p Parts) MemoryBytes() int {
	size := 0
	for _, part := range p {
		if part.InMemory() {
			size += part.size
		}
	}
	return size
}

// Join returns the encoding as one slice, which the caller must not modify: a single part is returned as it is. The
// error is that of a source.
func (p Parts) Join() ([]byte, error) {
	if len(p) == 1 {
		return p[0].Content()
	}
	joined := make([]byte, 0, p.Size())
	for _, part := range p {
		content, err := part.Content()
		if err != nil {
			return nil, err
		}
		joined = append(joined, content...)
	}
	return joined, nil
}

// Checksum returns the xxhash of the encoding, or 0 and the error of a source.
func (p Parts) Checksum() (uint64, error) {
	if len(p) == 1 {
		return p[0].Checksum(), nil
	}
	digest := xxhash.New()
	for _, part := range p {
		content, err := part.Content()
		if err != nil {
			return 0, err
		}
		_, _ = digest.Write(content) // never fails
	}
	return digest.Sum64(), nil
}
