package engine

// none is the end of a list of cache entries.
const none int32 = -1

// cacheEntry is one block whose content is known by its hash. Entries that nothing holds stand in a list
// from the least to the most recently used.
type cacheEntry struct {
	hash     uint64
	holders  int32
	previous int32
	next     int32
	indexed  bool // found by its hash; false after the weights it was computed under are gone
}

// blockPool is the KV memory. Every block is free, private to one sequence, or a cache entry.
type blockPool struct {
	capacity int
	free     int
	idle     int // cache entries that nothing holds
	entries  []cacheEntry
	spare    []int32 // unused entry slots
	index    map[uint64]int32
	oldest   int32
	newest   int32
	journal  *cacheJournal
}

func newBlockPool(capacity int, journal *cacheJournal) blockPool {
	return blockPool{
		capacity: capacity, free: capacity, index: make(map[uint64]int32), oldest: none, newest: none, journal: journal,
	}
}

// available is the number of blocks that can be taken at once.
func (p *blockPool) available() int { return p.free + p.idle }

// held is the number of blocks that running sequences use.
func (p *blockPool) held() int { return p.capacity - p.free - p.idle }

// match counts the leading blocks of prefix that are cached, and how many of them nothing holds yet.
func (p *blockPool) match(prefix []uint64) (hits, idleHits int) {
	for _, hash := range prefix {
		slot, ok := p.index[hash]
		if !ok {
			break
		}
		hits++
		if p.entries[slot].holders == 0 {
			idleHits++
		}
	}
	return hits, idleHits
}

// hold takes a share of the cached blocks of prefix and appends their slots.
func (p *blockPool) hold(prefix []uint64, slots []int32) []int32 {
	for _, hash := range prefix {
		slot := p.index[hash]
		entry := &p.entries[slot]
		if entry.holders == 0 {
			p.unlink(slot)
			p.idle--
		}
		entry.holders++
		slots = append(slots, slot)
	}
	return slots
}

// take removes count blocks from the free ones, evicting the least recently used cache entries as
// needed. The caller has checked available.
func (p *blockPool) take(count int) {
	for p.free < count {
		p.evict(p.oldest)
	}
	p.free -= count
}

// publish turns private blocks of a sequence into cache entries held by it, and reports how many.
func (p *blockPool) publish(prefix []uint64, slots []int32) []int32 {
	for _, hash := range prefix {
		if _, known := p.index[hash]; known {
			continue
		}
		slot := p.slot()
		p.entries[slot] = cacheEntry{hash: hash, holders: 1, previous: none, next: none, indexed: true}
		p.index[hash] = slot
		p.journal.record(CacheStored, hash)
		slots = append(slots, slot)
	}
	return slots
}

// release gives back a sequence's blocks. Cached ones stay, the last block of the prefix as the first to
// go: without it the others are still of use.
func (p *blockPool) release(slots []int32, private int) {
	p.free += private
	for position := len(slots) - 1; position >= 0; position-- {
		slot := slots[position]
		entry := &p.entries[slot]
		entry.holders--
		if entry.holders > 0 {
			continue
		}
		if !entry.indexed {
			p.spare = append(p.spare, slot)
			p.free++
			continue
		}
		p.link(slot)
		p.idle++
	}
}

// clear forgets every cached block; those in use become unknown to others and are freed by their holders.
func (p *blockPool) clear() {
	for p.oldest != none {
		p.evict(p.oldest)
	}
	for hash, slot := range p.index {
		p.entries[slot].indexed = false
		delete(p.index, hash)
	}
	p.journal.record(CacheCleared, 0)
}

func (p *blockPool) evict(slot int32) {
	entry := &p.entries[slot]
	p.unlink(slot)
	delete(p.index, entry.hash)
	p.journal.record(CacheRemoved, entry.hash)
	p.spare = append(p.spare, slot)
	p.idle--
	p.free++
}

func (p *blockPool) slot() int32 {
	if last := len(p.spare) - 1; last >= 0 {
		slot := p.spare[last]
		p.spare = p.spare[:last]
		return slot
	}
	p.entries = append(p.entries, cacheEntry{})
	return int32(len(p.entries) - 1)
}

func (p *blockPool) link(slot int32) {
	p.entries[slot].previous, p.entries[slot].next = p.newest, none
	if p.newest == none {
		p.oldest = slot
	} else {
		p.entries[p.newest].next = slot
	}
	p.newest = slot
}

func (p *blockPool) unlink(slot int32) {
	previous, next := p.entries[slot].previous, p.entries[slot].next
	if previous == none {
		p.oldest = next
	} else {
		p.entries[previous].next = next
	}
	if next == none {
		p.newest = previous
	} else {
		p.entries[next].previous = previous
	}
}
