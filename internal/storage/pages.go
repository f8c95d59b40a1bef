package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
)

// The form of bbolt's pages. A page begins with its ID, flags, number of elements and number of further pages
// that belong to it; the elements follow, each with the place of its key relative to itself.
const (
	pageHeaderBytes   = 16
	elementBytes      = 16
	bucketHeaderBytes = 16

	branchPage    = 0x01
	leafPage      = 0x02
	bucketElement = 0x01

	maximumDepth = 64 // of a tree; far more than any file can need
)

// pageWalk checks the form of every page that can be reached, reading the file rather than the memory that bbolt
// maps. bbolt rebuilds its free list at open in a goroutine of its own, where a page of a wrong form would end the
// process: whatever it follows or compares there is checked here first.
type pageWalk struct {
	file     io.ReaderAt
	pageSize int
	end      uint64 // number of pages in use
	seen     map[uint64]bool
}

type page struct {
	id      uint64
	flags   uint16
	count   int
	content []byte // with the header
}

// visit checks the tree under a page. Errors say what is wrong with which page.
func (w *pageWalk) visit(id uint64, depth int) error {
	if depth > maximumDepth {
		return fmt.Errorf("page %d is deeper than %d levels", id, maximumDepth)
	}
	found, err := w.read(id)
	if err != nil {
		return err
	}
	return w.checkElements(found, depth)
}

// read returns a page with those that belong to it, and notes that they are reached.
func (w *pageWalk) read(id uint64) (*page, error) {
	header := make([]byte, pageHeaderBytes)
	if id >= w.end {
		return nil, fmt.Errorf("page %d is past the last page %d", id, w.end-1)
	}
	if _, err := w.file.ReadAt(header, int64(id)*int64(w.pageSize)); err != nil {
		return nil, fmt.Errorf("page %d: %w", id, err)
	}
	further := uint64(binary.LittleEndian.Uint32(header[12:]))
	if stored := binary.LittleEndian.Uint64(header); stored != id || further >= w.end-id {
		return nil, fmt.Errorf("page %d calls itself page %d with %d more of %d", id, stored, further, w.end)
	}
	for reached := id; reached <= id+further; reached++ {
		if w.seen[reached] {
			return nil, fmt.Errorf("page %d is reached twice", reached)
		}
		w.seen[reached] = true
	}
	content := make([]byte, (int(further)+1)*w.pageSize)
	if _, err := w.file.ReadAt(content, int64(id)*int64(w.pageSize)); err != nil {
		return nil, fmt.Errorf("page %d: %w", id, err)
	}
	return parsePage(id, content), nil
}

func parsePage(id uint64, content []byte) *page {
	return &page{id: id, flags: binary.LittleEndian.Uint16(content[8:]),
		count: int(binary.LittleEndian.Uint16(content[10:])), content: content}
}

func (w *pageWalk) checkElements(p *page, depth int) error {
	if p.flags != branchPage && p.flags != leafPage || p.flags == branchPage && p.count == 0 {
		return fmt.Errorf("page %d has flags %#x and %d elements", p.id, p.flags, p.count)
	}
	var previous []byte
	for position := range p.count {
		key, value, err := p.element(position)
		if err != nil {
			return err
		}
		if position > 0 && bytes.Compare(previous, key) >= 0 {
			return fmt.Errorf("page %d: key %d is not above the one before", p.id, position)
		}
		previous = key
		if err := w.follow(p, position, value, depth); err != nil {
			return err
		}
	}
	return nil
}

// element returns an element's key and, on a leaf, its value.
func (p *page) element(position int) (key, value []byte, err error) {
	start := pageHeaderBytes + position*elementBytes
	outside := fmt.Errorf("page %d: element %d lies outside of the page", p.id, position)
	if start+elementBytes > len(p.content) {
		return nil, nil, outside
	}
	fields := p.content[start : start+elementBytes]
	at, keyBytes, valueBytes := binary.LittleEndian.Uint32(fields), binary.LittleEndian.Uint32(fields[4:]), uint32(0)
	if p.flags == leafPage {
		at, keyBytes, valueBytes = binary.LittleEndian.Uint32(fields[4:]), binary.LittleEndian.Uint32(fields[8:]), binary.LittleEndian.Uint32(fields[12:])
	}
	keyStart := uint64(start) + uint64(at)
	valueStart := keyStart + uint64(keyBytes)
	end := valueStart + uint64(valueBytes)
	if end > uint64(len(p.content)) {
		return nil, nil, outside
	}
	return p.content[keyStart:valueStart], p.content[valueStart:end], nil
}

// follow checks what an element leads to: a page, a bucket's tree, or a bucket that stands in the value itself.
func (w *pageWalk) follow(p *page, position int, value []byte, depth int) error {
	fields := p.content[pageHeaderBytes+position*elementBytes:]
	if p.flags == branchPage {
		return w.visit(binary.LittleEndian.Uint64(fields[8:]), depth+1)
	}
	flags := binary.LittleEndian.Uint32(fields)
	if flags == 0 {
		return nil
	}
	if flags != bucketElement || len(value) < bucketHeaderBytes {
		return fmt.Errorf("page %d: element %d has flags %#x and %d bytes", p.id, position, flags, len(value))
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return w.visit(root, depth+1)
	}
	inline := value[bucketHeaderBytes:]
	if len(inline) < pageHeaderBytes {
		return fmt.Errorf("page %d: the bucket in element %d has %d bytes", p.id, position, len(inline))
	}
	held := parsePage(p.id, inline)
	if held.flags != leafPage {
		return fmt.Errorf("page %d: the bucket in element %d has flags %#x", p.id, position, held.flags)
	}
	return w.checkElements(held, depth+1)
}
