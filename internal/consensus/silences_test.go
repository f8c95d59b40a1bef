package consensus

import (
	"context"
	"testing"
	"time"
)

// TestSilenceSurvivesLeaderChange guards against silences that each new leader measures from zero. Where leaders
// followed each other within seconds, none led long enough to replace a lost voter before two more disks were lost.
func TestSilenceSurvivesLeaderChange(t *testing.T) {
	const minSilence = 800 * time.Millisecond
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
		c.wait("each node measures the silence of the lost node", func() bool { return node.host.UnheardFor(lost.id, others) >= minSilence })
	}
	next.kill()
	next.start()
	c.wait("a restarted node learns the silence from the others", func() bool {
		return next.host.UnheardFor(lost.id, others) >= minSilence && next.host.UnheardFor(lost.id, nil) < next.host.UnheardFor(lost.id, others)
	})
	c.wait("the node leads", func() bool {
		leader := c.leader(0)
		if leader == next {
			return true
		}
		_ = leader.host.TransferLeadership(context.Background(), 0, next.id)
		return false
	})
	if silence := next.host.UnheardFor(lost.id, others); silence < minSilence {
		t.Errorf("got a silence of %v at the next leader, want at least the time measured before", silence)
	}
	for _, node := range c.running() {
		if silence := next.host.UnheardFor(node.id, others); silence != 0 {
			t.Errorf("running node %d has a silence of %v, want 0", node.id, silence)
		}
	}
}

// TestCutLinkIsNotNodeSilence guards against a node that is considered silent although only its link to one other
// node is cut.
func TestCutLinkIsNotNodeSilence(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.commit(0, "first")
	c.network.isolate(1, true, 2)
	one := c.nodes[1].host
	c.wait("node 1 measures a silence of node 2 behind the cut link", func() bool { return one.UnheardFor(2, nil) > 0 })
	c.wait("node 3 has reported that it hears node 2", func() bool { return one.UnheardFor(2, []uint64{3}) == 0 })
}
