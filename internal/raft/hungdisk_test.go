package raft

import (
	"math/rand"
	"testing"
)

// hungDiskCluster is a group of five machines in virtual time. Writes of the hung machine never complete.
type hungDiskCluster struct {
	*cluster
	hung *machine // nil if all disks work
}

// newHungDiskCluster returns a group that has a leader.
func newHungDiskCluster(t *testing.T) *hungDiskCluster {
	t.Helper()
	c := &hungDiskCluster{cluster: newCluster(rand.New(rand.NewSource(1)), Config{HeartbeatTicks: 2}, 5)}
	for range 200 {
		c.tick()
	}
	if c.leader() == nil {
		t.Fatal("no leader")
	}
	return c
}

// tick delivers the messages of the previous tick and lets each machine complete several writes.
func (c *hungDiskCluster) tick() {
	const writes = 4
	for range len(c.network) {
		m := c.network[0]
		c.network = c.network[1:]
		if to := c.machine(m.To); to != nil && to.node != nil {
			_ = to.node.Step(m) // messages that Step rejects are not subject of these tests
		}
	}
	for _, m := range c.machines {
		m.node.Tick()
		for range writes {
			c.takeReady(m)
			if m == c.hung && m.ready != nil && m.ready.MustSync {
				break
			}
			c.finishReady(m)
		}
	}
}

// TestLeaderWithAHungDiskIsReplaced guards against a leader that keeps its followers but commits nothing. Heartbeats
// are sent while a write is in progress, so a leader whose own disk hung was followed forever in the same term. Its
// commit index went from 1 to 2, which is 1 of 1200 commands in a minute.
func TestLeaderWithAHungDiskIsReplaced(t *testing.T) {
	c := newHungDiskCluster(t)
	old := c.leader()
	c.hung = old
	const proposals = 1200
	committed := old.node.log.commit
	for range proposals {
		if now := c.leader(); now != nil {
			_, _, _ = now.node.Propose([]byte{1}) // rejected during a change of leaders
		}
		c.tick()
	}
	now := c.leader()
	if now == nil || now == old || now.node.log.commit < committed+proposals/2 {
		t.Errorf("in %d ticks the leader was not replaced, or fewer than half of as many commands were committed, though four of five disks work: %+v", proposals, old.node.Status())
	}
}

// TestFollowerWithAHungDiskIsNotActive guards against a follower that counts as active because it answers heartbeats,
// which don't wait for its disk. A follower that stored nothing for a minute (match 1 of 1199) was reported as
// active, so it was not replaced, and the removal of a working voter beside it was permitted.
func TestFollowerWithAHungDiskIsNotActive(t *testing.T) {
	c := newHungDiskCluster(t)
	leader := c.leader()
	for _, m := range c.machines {
		if m != leader {
			c.hung = m
		}
	}
	for range 1200 {
		if _, _, err := leader.node.Propose([]byte{1}); err != nil {
			t.Fatal(err)
		}
		c.tick()
	}
	if c.leader() != leader {
		t.Error("the leader lost its leadership, though its own disk works")
	}
	for _, other := range leader.node.Status().Match {
		if want := other.Node != c.hung.id; other.RecentActive != want {
			t.Errorf("node %d: active %v, want %v", other.Node, other.RecentActive, want)
		}
	}
}

// TestLeaderWithAHungDiskHandsOver checks ForceTransfer. A transfer waits until the successor holds the whole log,
// which never happens if the leader's write hangs: the entries that it accepts meanwhile are not sent. ForceTransfer
// makes the most advanced voter campaign at once.
func TestLeaderWithAHungDiskHandsOver(t *testing.T) {
	c := newHungDiskCluster(t)
	old := c.leader()
	c.hung = old
	const proposals = 20 // one per tick
	for range proposals {
		_, _, _ = old.node.Propose([]byte{1})
		c.tick()
	}
	var next *machine // the most advanced of the others
	for _, m := range c.machines {
		if m != old && (next == nil || m.node.log.lastIndex() > next.node.log.lastIndex()) {
			next = m
		}
	}
	if next.node.log.lastIndex() >= old.node.log.lastIndex() {
		t.Fatal("the leader sent all entries that it accepted, so the test shows nothing")
	}
	if err := old.node.ForceTransfer(next.id); err != nil {
		t.Fatal(err)
	}
	const ticks = 5 // enough for a vote request and its reply
	for range ticks {
		c.tick()
	}
	if now := c.leader(); now != next {
		t.Errorf("the voter does not lead %d ticks after the leader handed over to it: %+v", ticks, next.node.Status())
	}
}
