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
}

// Part is one part of an encoded state. It is safe for concurrent use.
type Part struct {
	size int

	mutex    sync.Mutex
	content  []byte // nil once source holds the content
	source   Source // nil while the content is in memory
	checksum uint64 // of the content; valid if isSummed
	isSummed bool
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
	p.mutex.Lock()
	content, source := p.content, p.source
	p.mutex.Unlock()
	if source == nil {
		return content, nil
	}
	return source.Content()
}

// InMemory reports whether the content is held in memory.
func (p *Part) InMemory() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.source == nil
}

// MoveTo makes source the holder of the content, whose xxhash is checksum, and releases the memory. A part that has a
// source already gets the new one.
func (p *Part) MoveTo(source Source, checksum uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.content, p.source = nil, source
	p.checksum, p.isSummed = checksum, true
}

// Checksum returns the xxhash of the content.
func (p *Part) Checksum() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.isSummed {
		p.checksum, p.isSummed = xxhash.Sum64(p.content), true
	}
	return p.checksum
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
