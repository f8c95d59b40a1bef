package raft

import "fmt"

// counts says how much a checker examined.
type counts struct {
	leaders, entries, completeness, matches, reads, snapshots int
}

func (c *counts) add(other counts) {
	c.leaders += other.leaders
	c.entries += other.entries
	c.completeness += other.completeness
	c.matches += other.matches
	c.reads += other.reads
	c.snapshots += other.snapshots
}

type committed struct {
	term   uint64
	digest string // of the state after the entry
}

// checker holds what must be true of a group as a whole.
type checker struct {
	counts
	violation string
	leaderOf  map[uint64]uint64    // by term: election safety
	log       map[uint64]committed // by index: state machine safety
	last      uint64               // highest committed index known
	floor     map[uint64]uint64    // by read: what it must not miss
	nextRead  uint64
}

func newChecker() checker {
	return checker{leaderOf: map[uint64]uint64{}, log: map[uint64]committed{}, floor: map[uint64]uint64{}}
}

func (c *checker) fail(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
	}
}

// applied: no two nodes apply different entries at one index, or reach different states.
func (c *checker) applied(node uint64, entry Entry, state []byte) {
	c.entries++
	known, ok := c.log[entry.Index]
	if !ok {
		c.log[entry.Index] = committed{term: entry.Term, digest: string(state)}
		c.last = max(c.last, entry.Index)
		return
	}
	if known.term != entry.Term || known.digest != string(state) {
		c.fail("state machine safety: node %d applied entry %d of term %d, another one of term %d", node, entry.Index, entry.Term, known.term)
	}
}

func (c *checker) snapshot(node uint64, snapshot *Snapshot) {
	c.snapshots++
	known, ok := c.log[snapshot.Index]
	if !ok || known.term != snapshot.Term || known.digest != string(snapshot.Data.Join()) {
		c.fail("state machine safety: node %d took a snapshot at %d of term %d that nobody committed", node, snapshot.Index, snapshot.Term)
	}
}

func (c *checker) readAsked() {
	c.floor[c.nextRead] = c.last
	c.nextRead++
}

// read: a read sees all that was applied anywhere before it was asked for.
func (c *checker) read(node uint64, state ReadState) {
	c.reads++
	if floor := c.floor[state.Context]; state.Index < floor {
		c.fail("linearizable reads: node %d served read %d at %d, but %d was applied before", node, state.Context, state.Index, floor)
	}
}

// observe examines all nodes' present state.
func (c *checker) observe(group *cluster) {
	for i, m := range group.machines {
		if m.node == nil {
			continue
		}
		if m.node.role == Leader {
			c.leader(m)
		}
		for _, other := range group.machines[:i] {
			if other.node != nil {
				c.match(m.node, other.node)
			}
		}
	}
}

// leader: one leader a term, and it holds all that was applied anywhere in earlier terms.
func (c *checker) leader(m *machine) {
	known, ok := c.leaderOf[m.node.term]
	if ok && known != m.id {
		c.fail("election safety: nodes %d and %d lead term %d", known, m.id, m.node.term)
	}
	if ok {
		return
	}
	c.leaders++
	c.leaderOf[m.node.term] = m.id
	for index := m.node.log.first(); index <= c.last; index++ {
		c.completeness++
		if term, held := m.node.log.term(index); !held || term != c.log[index].term {
			c.fail("leader completeness: node %d leads term %d without the committed entry %d", m.id, m.node.term, index)
		}
	}
}

// match: two logs that agree on an index and term agree on all before it.
func (c *checker) match(a, b *Node) {
	agreed := false
	for index := min(a.log.last(), b.log.last()); index >= max(a.log.first(), b.log.first()); index-- {
		c.matches++
		termA, _ := a.log.term(index)
		termB, _ := b.log.term(index)
		if agreed && termA != termB {
			c.fail("log matching: nodes %d and %d differ at %d and agree after it", a.id, b.id, index)
		}
		agreed = termA == termB
	}
}
