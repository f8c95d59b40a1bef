package engine

// CacheEventKind is the type of a CacheEvent.
type CacheEventKind uint8

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = iota + 1 // the block with Hash was added
	CacheRemoved                           // the block with Hash was evicted
	CacheCleared                           // all blocks were removed; Hash is 0
)

// CacheEvent is one change of the prefix cache. Sequence numbers are contiguous, so a gap tells a reader that it has
// missed events.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	Hash     uint64
}

// cacheJournal keeps the latest events in a ring buffer.
type cacheJournal struct {
	ring []CacheEvent
	last uint64 // sequence number of the latest event
}

// newCacheJournal returns a journal of the last size events. With size 0 or less it records nothing.
func newCacheJournal(size int) *cacheJournal {
	return &cacheJournal{ring: make([]CacheEvent, max(size, 0))}
}

// record appends an event with the next sequence number.
func (j *cacheJournal) record(kind CacheEventKind, hash uint64) {
	if len(j.ring) == 0 {
		return
	}
	j.last++
	j.ring[j.last%uint64(len(j.ring))] = CacheEvent{Sequence: j.last, Kind: kind, Hash: hash}
}

// CacheEvents returns the recorded events with a sequence number above after, oldest first, at most limit of them.
// Events that the ring buffer no longer holds are missing.
func (e *Engine) CacheEvents(after uint64, limit int) []CacheEvent {
	journal := e.journal
	size := uint64(len(journal.ring))
	first := after + 1
	if journal.last >= size && first <= journal.last-size {
		first = journal.last - size + 1
	}
	var events []CacheEvent
	for sequence := first; sequence <= journal.last && len(events) < limit; sequence++ {
		events = append(events, journal.ring[sequence%size])
	}
	return events
}
