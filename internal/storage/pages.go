package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
)

// The format of bbolt's pages. A page begins with a header: its ID, flags, number of elements and number of overflow
// pages. The element headers follow, each with the offset of its key relative to the element header itself.
const (
	pageHeaderBytes   = 16
	elementBytes      = 16
	bucketHeaderBytes = 16

	branchPage    = 0x01
	leafPage      = 0x02
	bucketElement = 0x01

	maxTreeDepth = 64 // far more than the trees of any file need
)

// pageChecker validates the format of every reachable page. It reads the file instead of the memory that bbolt maps.
// When bbolt opens a file for writing, it rebuilds its free list in a goroutine of its own, where a malformed page
// would end the process. pageChecker validates everything that bbolt follows or compares there.
type pageChecker struct {
	file      io.ReaderAt
	pageSize  int
	pageCount uint64 // number of pages in use
	visited   map[uint64]bool
}

type page struct {
	id      uint64
	flags   uint16
	count   int
	content []byte // the header, the elements and the overflow pages
}

// checkTree validates the tree whose root is the page with this ID. The error names the malformed page.
func (c *pageChecker) checkTree(id uint64, depth int) error {
	if depth > maxTreeDepth {
		return fmt.Errorf("page %d is deeper than %d levels", id, maxTreeDepth)
	}
	found, err := c.readPage(id)
	if err != nil {
		return err
	}
	return c.checkElements(found, depth)
}

// readPage returns a page with its overflow pages and marks them as visited.
func (c *pageChecker) readPage(id uint64) (*page, error) {
	header := make([]byte, pageHeaderBytes)
	if id >= c.pageCount {
		return nil, fmt.Errorf("page %d is past the last page %d", id, c.pageCount-1)
	}
	if _, err := c.file.ReadAt(header, int64(id)*int64(c.pageSize)); err != nil {
		return nil, fmt.Errorf("page %d: %w", id, err)
	}
	overflow := uint64(binary.LittleEndian.Uint32(header[12:]))
	if stored := binary.LittleEndian.Uint64(header); stored != id || overflow >= c.pageCount-id {
		return nil, fmt.Errorf("page %d calls itself page %d with %d more of %d", id, stored, overflow, c.pageCount)
	}
	for reached := id; reached <= id+overflow; reached++ {
		if c.visited[reached] {
			return nil, fmt.Errorf("page %d is reached twice", reached)
		}
		c.visited[reached] = true
	}
	content := make([]byte, (int(overflow)+1)*c.pageSize)
	if _, err := c.file.ReadAt(content, int64(id)*int64(c.pageSize)); err != nil {
		return nil, fmt.Errorf("page %d: %w", id, err)
	}
	return parsePage(id, content), nil
}

func parsePage(id uint64, content []byte) *page {
	return &page{id: id, flags: binary.LittleEndian.Uint16(content[8:]),
		count: int(binary.LittleEndian.Uint16(content[10:])), content: content}
}

// checkElements validates the elements of a page, the order of their keys and everything that they refer to.
func (c *pageChecker) checkElements(p *page, depth int) error {
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
		if err := c.checkChild(p, position, value, depth); err != nil {
			return err
		}
	}
	return nil
}

// element returns the key of an element and, on a leaf page, its value.
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

// checkChild validates what an element refers to: a child page, the tree of a bucket, or a bucket that is stored inline
// in the value.
func (c *pageChecker) checkChild(p *page, position int, value []byte, depth int) error {
	fields := p.content[pageHeaderBytes+position*elementBytes:]
	if p.flags == branchPage {
		return c.checkTree(binary.LittleEndian.Uint64(fields[8:]), depth+1)
	}
	flags := binary.LittleEndian.Uint32(fields)
	if flags == 0 {
		return nil
	}
	if flags != bucketElement || len(value) < bucketHeaderBytes {
		return fmt.Errorf("page %d: element %d has flags %#x and %d bytes", p.id, position, flags, len(value))
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return c.checkTree(root, depth+1)
	}
	inline := value[bucketHeaderBytes:]
	if len(inline) < pageHeaderBytes {
		return fmt.Errorf("page %d: the bucket in element %d has %d bytes", p.id, position, len(inline))
	}
	held := parsePage(p.id, inline)
	if held.flags != leafPage {
		return fmt.Errorf("page %d: the bucket in element %d has flags %#x", p.id, position, held.flags)
	}
	return c.checkElements(held, depth+1)
}
