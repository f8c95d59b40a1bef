package engine

// noEntry marks the end of the list of idle cache entries.
const noEntry int32 = -1

// cacheEntry is a block that can be found by the hash of its content. Idle entries, those without references, form a
// list from the least to the most recently used.
type cacheEntry struct {
	hash       uint64
	references int32 // running sequences that use the block
	previous   int32 // neighbours in the list of idle entries
	next       int32
	indexed    bool // in blockPool.index; false once the weights it was computed under are no longer served
}

// blockPool manages the KV memory. Every block is free, private to one sequence, or a cache entry.
type blockPool struct {
	capacity    int
	free        int
	idle        int // cache entries without references
	entries     []cacheEntry
	unusedSlots []int32          // slots of entries that hold no block
	index       map[uint64]int32 // slot by hash
	oldest      int32            // least recently used idle entry
	newest      int32            // most recently used idle entry
	journal     *cacheJournal
}

func newBlockPool(capacity int, journal *cacheJournal) blockPool {
	return blockPool{
		capacity: capacity, free: capacity, index: make(map[uint64]int32), oldest: noEntry, newest: noEntry, journal: journal,
	}
}

// available returns the number of blocks that can be allocated, evicting idle cache entries as needed.
func (p *blockPool) available() int { return p.free + p.idle }

// used returns the number of blocks that running sequences use.
func (p *blockPool) used() int { return p.capacity - p.free - p.idle }

// match returns the number of leading blocks of prefix that are cached, and how many of these are idle.
func (p *blockPool) match(prefix []uint64) (hits, idleHits int) {
	for _, hash := range prefix {
		slot, ok := p.index[hash]
		if !ok {
			break
		}
		hits++
		if p.entries[slot].references == 0 {
			idleHits++
		}
	}
	return hits, idleHits
}

// acquire adds a reference to each block of prefix, all of which must be cached, and appends their slots.
func (p *blockPool) acquire(prefix []uint64, slots []int32) []int32 {
	for _, hash := range prefix {
		slot := p.index[hash]
		entry := &p.entries[slot]
		if entry.references == 0 {
			p.removeIdle(slot)
			p.idle--
		}
		entry.references++
		slots = append(slots, slot)
	}
	return slots
}

// allocate removes count blocks from the free ones, evicting the least recently used cache entries as needed. The
// caller must have checked available.
func (p *blockPool) allocate(count int) {
	for p.free < count {
		p.evict(p.oldest)
	}
	p.free -= count
}

// publish turns private blocks of a sequence into cache entries that it references, and appends their slots. Hashes
// that are already cached are skipped.
func (p *blockPool) publish(prefix []uint64, slots []int32) []int32 {
	for _, hash := range prefix {
		if _, known := p.index[hash]; known {
			continue
		}
		slot := p.allocateSlot()
		p.entries[slot] = cacheEntry{hash: hash, references: 1, previous: noEntry, next: noEntry, indexed: true}
		p.index[hash] = slot
		p.journal.record(CacheStored, hash)
		slots = append(slots, slot)
	}
	return slots
}

// release returns the blocks of a sequence. Cached blocks stay in the cache as idle entries. The last block of the
// prefix becomes the first to be evicted, because the blocks before it are still usable without it.
func (p *blockPool) release(slots []int32, private int) {
	p.free += private
	for position := len(slots) - 1; position >= 0; position-- {
		slot := slots[position]
		entry := &p.entries[slot]
		entry.references--
		if entry.references > 0 {
			continue
		}
		if !entry.indexed {
			p.unusedSlots = append(p.unusedSlots, slot)
			p.free++
			continue
		}
		p.appendIdle(slot)
		p.idle++
	}
}

// clear empties the prefix cache. Blocks in use can no longer be found by hash and become free when the last sequence
// that uses them releases them.
func (p *blockPool) clear() {
	for p.oldest != noEntry {
		p.evict(p.oldest)
	}
	for hash, slot := range p.index {
		p.entries[slot].indexed = false
		delete(p.index, hash)
	}
	p.journal.record(CacheCleared, 0)
}

// evict frees the block of an idle cache entry.
func (p *blockPool) evict(slot int32) {
	entry := &p.entries[slot]
	p.removeIdle(slot)
	delete(p.index, entry.hash)
	p.journal.record(CacheRemoved, entry.hash)
	p.unusedSlots = append(p.unusedSlots, slot)
	p.idle--
	p.free++
}

// allocateSlot returns the slot of an unused entry.
func (p *blockPool) allocateSlot() int32 {
	if last := len(p.unusedSlots) - 1; last >= 0 {
		slot := p.unusedSlots[last]
		p.unusedSlots = p.unusedSlots[:last]
		return slot
	}
	p.entries = append(p.entries, cacheEntry{})
	return int32(len(p.entries) - 1)
}

// appendIdle adds an entry to the idle list as the most recently used.
func (p *blockPool) appendIdle(slot int32) {
	p.entries[slot].previous, p.entries[slot].next = p.newest, noEntry
	if p.newest == noEntry {
		p.oldest = slot
	} else {
		p.entries[p.newest].next = slot
	}
	p.newest = slot
}

// removeIdle removes an entry from the idle list.
func (p *blockPool) removeIdle(slot int32) {
	previous, next := p.entries[slot].previous, p.entries[slot].next
	if previous == noEntry {
		p.oldest = next
	} else {
		p.entries[previous].next = next
	}
	if next == noEntry {
		p.newest = previous
	} else {
		p.entries[next].previous = previous
	}
}
