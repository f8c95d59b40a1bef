package routing

import "time"

// prefixSlots is the size of the prefix memory, a power of two: 16384 entries of 40 bytes.
const prefixSlots = 1 << 14

// holdersPerPrefix is the number of replicas remembered per prefix.
const holdersPerPrefix = 2

// MaxBlocks bounds the blocks of a prompt that are looked at.
const MaxBlocks = 32

// prefixEntry remembers which replicas saw a prefix last.
type prefixEntry struct {
	hash    uint64
	at      time.Duration
	holders [holdersPerPrefix]int32 // -1 for none
}

// prefixTable is a fixed, direct-mapped memory of prefixes: a collision forgets the older one, which costs
// a chance to reuse and nothing else.
type prefixTable struct{ entries []prefixEntry }

func newPrefixTable() prefixTable {
	return prefixTable{entries: make([]prefixEntry, prefixSlots)}
}

func (t *prefixTable) slot(hash uint64) *prefixEntry { return &t.entries[hash&(prefixSlots-1)] }

// record notes that a replica has the blocks' prefixes from now on.
func (t *prefixTable) record(blocks []uint64, replica int, now time.Duration) {
	for _, hash := range blocks[:min(len(blocks), MaxBlocks)] {
		entry := t.slot(hash)
		if entry.hash != hash {
			*entry = prefixEntry{hash: hash, holders: [holdersPerPrefix]int32{-1, -1}}
		}
		entry.at = now
		if entry.holders[0] != int32(replica) {
			entry.holders[1] = entry.holders[0]
			entry.holders[0] = int32(replica)
		}
	}
}

// find returns the longest remembered prefix: its number of blocks and its entry.
func (t *prefixTable) find(blocks []uint64, now, life time.Duration) (int, *prefixEntry) {
	for depth := min(len(blocks), MaxBlocks); depth > 0; depth-- {
		entry := t.slot(blocks[depth-1])
		if entry.hash == blocks[depth-1] && entry.at > 0 && now-entry.at < life {
			return depth, entry
		}
	}
	return 0, nil
}

// renumber follows replicas to their new positions.
func (t *prefixTable) renumber(moved map[int]int) {
	for i := range t.entries {
		entry := &t.entries[i]
		for h, holder := range entry.holders {
			if position, stays := moved[int(holder)]; stays {
				entry.holders[h] = int32(position)
			} else {
				entry.holders[h] = -1
			}
		}
	}
}
