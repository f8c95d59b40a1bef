package consensus

import (
	"context"
	"testing"
	"time"
)

// TestSilenceOutlivesALeader: a leader counted a voter's silence from its own beginning, and where several followed each other
// within seconds none led long enough to replace a lost voter before two more disks were lost.
func TestSilenceOutlivesALeader(t *testing.T) {
	const enough = 800 * time.Millisecond
	c := newCluster(t, 5, nil)
	c.commit(0, "first")
	first := c.leader(0)
	var lost, next *testNode
	var others []uint64
	for id, node := range c.nodes {
		switch {
		case node == first:
		case lost == nil:
			lost = node
		default:
			next = node
		}
		others = append(others, id)
	}
	lost.kill()
	for _, node := range c.running() {
		c.wait("each node counts the lost one's silence", func() bool { return node.host.Unheard(lost.id, others) >= enough })
	}
	next.kill()
	next.start()
	c.wait("a node that starts again learns it from the others", func() bool {
		return next.host.Unheard(lost.id, others) >= enough && next.host.Unheard(lost.id, nil) < next.host.Unheard(lost.id, others)
	})
	c.wait("the node leads", func() bool {
		leader := c.leader(0)
		if leader == next {
			return true
		}
		_ = leader.host.TransferLeadership(context.Background(), 0, next.id)
		return false
	})
	if silence := next.host.Unheard(lost.id, others); silence < enough {
		t.Errorf("the next leader begins with a silence of %v", silence)
	}
	for _, node := range c.running() {
		if silence := next.host.Unheard(node.id, others); silence != 0 {
			t.Errorf("node %d, which runs, is silent for %v", node.id, silence)
		}
	}
}

// TestOneThatHearsANodeIsBelieved: a link that is cut between two nodes is no loss.
func TestOneThatHearsANodeIsBelieved(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit(0, "first")
	c.network.isolate(1, true, 2)
	one := c.nodes[1].host
	c.wait("a node counts the silence behind a cut", func() bool { return one.Unheard(2, nil) > 0 })
	c.wait("another node that hears it has told", func() bool { return one.Unheard(2, []uint64{3}) == 0 })
}
