package consensus

import (
	"context"
	"slices"
	"testing"
)

// proposeWithoutAnswer proposes a command at a node that may never answer.
func proposeWithoutAnswer(t *testing.T, node *testNode, name string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	answered := make(chan struct{})
	t.Cleanup(func() { cancel(); <-answered })
	go func() {
		defer close(answered)
		_, _, _ = node.host.Propose(ctx, 0, newCommand(name))
	}()
}

// TestLeaderWithAFullDiskHandsOver guards against a leader that keeps the leadership although its disk accepts no
// writes. It continued to send heartbeats, so its followers kept it for 4 s, while reads and with them the leases
// waited. Another voter has stored what the leader holds and must lead as soon as it is asked, although the leader
// has accepted entries meanwhile that it cannot send.
func TestLeaderWithAFullDiskHandsOver(t *testing.T) {
	c, disks := newFaultyCluster(t)
	c.commit(0, "kept")
	leader := c.leader(0)
	disks[leader.id].full.Store(true)
	proposeWithoutAnswer(t, leader, "sent")
	var stuck StuckWrite
	c.wait("others have stored more", func() bool {
		stuck, _ = leader.host.StuckWrite(t.Context())
		return len(stuck.Ahead) > 0
	})
	if slices.Contains(stuck.Ahead, leader.id) || stuck.Duration <= 0 {
		t.Fatalf("the leader returned %+v, want the time of the write and other voters ahead", stuck)
	}
	proposeWithoutAnswer(t, leader, "taken but not sent")
	if err := leader.host.ForceTransfer(t.Context(), 0, stuck.Ahead[0]); err != nil {
		t.Fatal(err)
	}
	c.wait("the other leads", func() bool {
		status, err := c.nodes[stuck.Ahead[0]].host.Status(t.Context(), 0)
		return err == nil && status.Leader == stuck.Ahead[0]
	})
	if _, _, err := c.nodes[stuck.Ahead[0]].host.Propose(t.Context(), 0, newCommand("after")); err != nil {
		t.Fatalf("the next leader cannot commit while the disk of the former one is full: %v", err)
	}
	disks[leader.id].full.Store(false)
	c.wait("the former leader has caught up", func() bool { return slices.Contains(leader.appliedLocally(0), "after") })
}

// TestEquallyFullDisksKeepLeader: if no disk accepts writes, no voter is ahead of the leader, and another leader
// would not do better.
func TestEquallyFullDisksKeepLeader(t *testing.T) {
	c, disks := newFaultyCluster(t)
	c.commit(0, "kept")
	leader := c.leader(0)
	for _, disk := range disks {
		disk.full.Store(true)
	}
	proposeWithoutAnswer(t, leader, "waits")
	c.wait("writes have failed on all disks", func() bool {
		return !slices.ContainsFunc(c.peers, func(peer Peer) bool { return disks[peer.ID].refused.Load() < 2 })
	})
	if stuck, err := leader.host.StuckWrite(t.Context()); err != nil || len(stuck.Ahead) > 0 {
		t.Errorf("the leader returned %+v and error %v, want no voters ahead", stuck, err)
	}
	for _, disk := range disks {
		disk.full.Store(false)
	}
	c.commit(0, "after")
}
