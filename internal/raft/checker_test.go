package raft

import "fmt"

// counts is the number of checks made of each kind.
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

// appliedEntry is an entry as it was applied.
type appliedEntry struct {
	term   uint64
	digest string // of the state after the entry
}

// checker verifies the safety properties of the Raft paper for a group as a whole.
type checker struct {
	counts
	violation    string
	leaderOf     map[uint64]uint64       // by term, for election safety
	log          map[uint64]appliedEntry // by index, for state machine safety
	lastApplied  uint64                  // highest index that any node has applied
	minReadIndex map[uint64]uint64       // by read: the least index that it must return
	nextRead     uint64
}

func newChecker() checker {
	return checker{leaderOf: map[uint64]uint64{}, log: map[uint64]appliedEntry{}, minReadIndex: map[uint64]uint64{}}
}

func (c *checker) fail(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
	}
}

// checkApplied verifies state machine safety: no two nodes apply different entries at one index, or reach different
// states there.
func (c *checker) checkApplied(node uint64, entry Entry, state []byte) {
	c.entries++
	known, ok := c.log[entry.Index]
	if !ok {
		c.log[entry.Index] = appliedEntry{term: entry.Term, digest: string(state)}
		c.lastApplied = max(c.lastApplied, entry.Index)
		return
	}
	if known.term != entry.Term || known.digest != string(state) {
		c.fail("state machine safety: node %d applied entry %d of term %d, another node applied one of term %d there", node, entry.Index, entry.Term, known.term)
	}
}

// checkSnapshot verifies that a received snapshot is the state that the group reached at its index.
func (c *checker) checkSnapshot(node uint64, snapshot *Snapshot) {
	c.snapshots++
	known, ok := c.log[snapshot.Index]
	if !ok || known.term != snapshot.Term || known.digest != string(mustJoin(snapshot.Data)) {
		c.fail("state machine safety: node %d installed a snapshot at %d of term %d that is not the committed state", node, snapshot.Index, snapshot.Term)
	}
}

// recordReadRequest records the highest index applied anywhere when a read is requested.
func (c *checker) recordReadRequest() {
	c.minReadIndex[c.nextRead] = c.lastApplied
	c.nextRead++
}

// checkRead verifies that a read covers everything that was applied anywhere before it was requested.
func (c *checker) checkRead(node uint64, state ReadState) {
	c.reads++
	if floor := c.minReadIndex[state.Context]; state.Index < floor {
		c.fail("linearizable reads: node %d served read %d at %d, but %d was applied before", node, state.Context, state.Index, floor)
	}
}

// observe checks the present state of all nodes.
func (c *checker) observe(group *cluster) {
	for i, m := range group.machines {
		if m.node == nil {
			continue
		}
		if m.node.role == Leader {
			c.checkLeader(m)
		}
		for _, other := range group.machines[:i] {
			if other.node != nil {
				c.checkLogMatching(m.node, other.node)
			}
		}
	}
}

// checkLeader verifies election safety and leader completeness: a term has one leader, and that leader holds all
// entries that were applied anywhere in earlier terms.
func (c *checker) checkLeader(m *machine) {
	known, ok := c.leaderOf[m.node.term]
	if ok && known != m.id {
		c.fail("election safety: nodes %d and %d lead term %d", known, m.id, m.node.term)
	}
	if ok {
		return
	}
	c.leaders++
	c.leaderOf[m.node.term] = m.id
	for index := m.node.log.firstIndex(); index <= c.lastApplied; index++ {
		c.completeness++
		if term, held := m.node.log.term(index); !held || term != c.log[index].term {
			c.fail("leader completeness: node %d leads term %d without the committed entry %d", m.id, m.node.term, index)
		}
	}
}

// checkLogMatching verifies that two logs which agree on an index and term agree on all entries before it.
func (c *checker) checkLogMatching(a, b *Node) {
	agreed := false
	for index := min(a.log.lastIndex(), b.log.lastIndex()); index >= max(a.log.firstIndex(), b.log.firstIndex()); index-- {
		c.matches++
		termA, _ := a.log.term(index)
		termB, _ := b.log.term(index)
		if agreed && termA != termB {
			c.fail("log matching: nodes %d and %d differ at %d and agree after it", a.id, b.id, index)
		}
		agreed = termA == termB
	}
}
