package routing

import "time"

// prefixSlots is the number of entries of the prefix table, a power of two. An entry takes 24 bytes, 384 KiB in all.
const prefixSlots = 1 << 14

// holdersPerPrefix is the number of replicas remembered per prefix.
const holdersPerPrefix = 2

// MaxBlocks bounds the number of blocks of a prompt that are recorded and looked up.
const MaxBlocks = 32

// prefixEntry records the replicas that a prefix was sent to last, the latest first.
type prefixEntry struct {
	hash       uint64
	recordedAt time.Duration
	holders    [holdersPerPrefix]int32 // positions in the pool, -1 for none
}

// prefixTable is a direct-mapped table of prefixes with a fixed size. A collision evicts the older prefix, which only
// costs a chance of cache reuse.
type prefixTable struct{ entries []prefixEntry }

func newPrefixTable() prefixTable {
	return prefixTable{entries: make([]prefixEntry, prefixSlots)}
}

func (t *prefixTable) slotFor(hash uint64) *prefixEntry { return &t.entries[hash&(prefixSlots-1)] }

// record notes that a replica has the prefixes of the blocks cached as of now.
func (t *prefixTable) record(blocks []uint64, replica int, now time.Duration) {
	for _, hash := range blocks[:min(len(blocks), MaxBlocks)] {
		entry := t.slotFor(hash)
		if entry.hash != hash {
			*entry = prefixEntry{hash: hash, holders: [holdersPerPrefix]int32{-1, -1}}
		}
		entry.recordedAt = now
		if entry.holders[0] != int32(replica) {
			entry.holders[1] = entry.holders[0]
			entry.holders[0] = int32(replica)
		}
	}
}

// find returns the longest recorded prefix that is younger than maxAge, as its number of blocks and its entry. It
// returns 0 and nil if there is none.
func (t *prefixTable) find(blocks []uint64, now, maxAge time.Duration) (int, *prefixEntry) {
	for depth := min(len(blocks), MaxBlocks); depth > 0; depth-- {
		entry := t.slotFor(blocks[depth-1])
		if entry.hash == blocks[depth-1] && entry.recordedAt > 0 && now-entry.recordedAt < maxAge {
			return depth, entry
		}
	}
	return 0, nil
}

// renumber replaces the positions of holders after the replicas of the pool changed. newPositions maps old positions
// to new ones; holders without a new position are removed.
func (t *prefixTable) renumber(newPositions map[int]int) {
	for i := range t.entries {
		entry := &t.entries[i]
		for h, holder := range entry.holders {
			if position, stays := newPositions[int(holder)]; stays {
				entry.holders[h] = int32(position)
			} else {
				entry.holders[h] = -1
			}
		}
	}
}
