package wave

import (
	"bytes"
	"encoding/binary"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// counts holds how many replicas are in a state that limits the wave.
type counts struct {
	serving  int // serve the target
	out      int // are being swapped or refuse work
	swapping int // accept work and are being swapped
	refusing int // refuse work and may get an order
}

// indexEntry is what the index holds of a replica.
type indexEntry struct {
	key                              []byte // in Planner.waiting; nil if the replica does not wait
	serving, out, swapping, refusing bool
}

// indexEntryOf returns what the index should hold of a replica.
func (p *Planner) indexEntryOf(one *replica) indexEntry {
	waits := one.order.ID == 0 && !p.servesTarget(one)
	entry := indexEntry{serving: p.servesTarget(one), out: one.order.Kind == Swap || one.refusing,
		swapping: one.order.Kind == Swap && !one.refusing, refusing: waits && one.refusing}
	if waits {
		entry.key = p.waitingKey(one)
	}
	return entry
}

// waitingKey returns a key that sorts like the order in which replicas get orders.
func (p *Planner) waitingKey(one *replica) []byte {
	if !p.config.OldestFirst {
		return []byte(one.name)
	}
	return append(binary.BigEndian.AppendUint64(nil, one.serving), one.name...)
}

// index brings the index up to date after a change of a replica. Next and Status then cost nothing for the replicas that
// need no order.
func (p *Planner) index(one *replica) {
	if p.replicas[one.name] != one {
		return // it was removed
	}
	before, after := one.indexed, p.indexEntryOf(one)
	one.indexed = after
	p.counts.add(before, -1)
	p.counts.add(after, 1)
	if (before.key == nil) == (after.key == nil) && bytes.Equal(before.key, after.key) {
		return
	}
	if before.key != nil {
		p.waiting, _, _ = p.waiting.Delete(before.key)
	}
	if after.key != nil {
		p.waiting, _, _ = p.waiting.Insert(after.key, one)
	}
}

// unindex removes a replica from the index.
func (p *Planner) unindex(one *replica) {
	p.counts.add(one.indexed, -1)
	if one.indexed.key != nil {
		p.waiting, _, _ = p.waiting.Delete(one.indexed.key)
	}
	one.indexed = indexEntry{}
}

// indexAll builds the index anew after a change that concerns all replicas.
func (p *Planner) indexAll() {
	p.counts = counts{}
	waiting := iradix.New[*replica]().Txn()
	for _, one := range p.replicas {
		one.indexed = p.indexEntryOf(one)
		p.counts.add(one.indexed, 1)
		if one.indexed.key != nil {
			waiting.Insert(one.indexed.key, one)
		}
	}
	p.waiting = waiting.Commit()
}

// add adds times an entry to the counts.
func (c *counts) add(entry indexEntry, times int) {
	for _, part := range []struct {
		counted bool
		count   *int
	}{{entry.serving, &c.serving}, {entry.out, &c.out}, {entry.swapping, &c.swapping}, {entry.refusing, &c.refusing}} {
		if part.counted {
			*part.count += times
		}
	}
}
