package consensus

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestElectCommitRestart guards against committed commands that are lost or reordered when all nodes are restarted.
func TestElectCommitRestart(t *testing.T) {
	c := newCluster(t, 3, nil)
	for _, group := range c.groups {
		for i := range 5 {
			c.commit(group, fmt.Sprintf("g%d-%d", group, i))
		}
	}
	want := c.leader(0).appliedLocally(0)
	for _, node := range c.running() {
		node.kill()
	}
	for _, peer := range c.peers {
		c.nodes[peer.ID].start()
	}
	leader := c.leader(0)
	view, err := leader.host.Query(context.Background(), 0, &wire.Query{})
	if err != nil {
		t.Fatal(err)
	}
	if got := decodeList(t, view); !slices.Equal(got, want) {
		t.Fatalf("got %v after the restart, want %v as before", got, want)
	}
	for _, node := range c.running() {
		c.wait("every node has applied the list", func() bool { return slices.Equal(node.appliedLocally(0), want) })
	}
}

// TestLeaderKilled guards against acknowledged commands that are lost when the leader is killed.
func TestLeaderKilled(t *testing.T) {
	c := newCluster(t, 3, nil)
	for round := range 3 {
		c.commit(0, fmt.Sprintf("before-%d", round))
		leader := c.leader(0)
		leader.kill()
		c.commit(0, fmt.Sprintf("after-%d", round))
		leader.start()
		c.wait("the old leader catches up", func() bool {
			return slices.Contains(leader.appliedLocally(0), fmt.Sprintf("after-%d", round))
		})
	}
	list := c.leader(0).appliedLocally(0)
	for round := range 3 {
		if !slices.Contains(list, fmt.Sprintf("before-%d", round)) {
			t.Fatalf("an acknowledged command is missing in %v", list)
		}
	}
}

// TestFollowerNamesLeader guards against a follower that rejects a proposal without naming the leader's address.
func TestFollowerNamesLeader(t *testing.T) {
	c := newCluster(t, 3, nil)
	leader := c.leader(0)
	for _, node := range c.running() {
		if node == leader {
			continue
		}
		c.wait("followers know the leader", func() bool {
			_, _, err := node.host.Propose(context.Background(), 0, newCommand("x"))
			var notLeader *ErrNotLeader
			return errors.As(err, &notLeader) && notLeader.LeaderAddress == leader.address
		})
	}
	if _, _, err := leader.host.Propose(context.Background(), 9, newCommand("x")); !errors.Is(err, ErrInvalid) {
		t.Fatalf("a proposal to an unknown group returned %v, want ErrInvalid", err)
	}
}
