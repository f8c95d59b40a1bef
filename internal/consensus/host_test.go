package consensus

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestElectCommitRestart(t *testing.T) {
	c := newCluster(t, 3, nil)
	for _, group := range c.groups {
		for i := range 5 {
			c.commit(group, fmt.Sprintf("g%d-%d", group, i))
		}
	}
	want := c.leader(0).localList(0)
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
	if got := listOf(t, view); !slices.Equal(got, want) {
		t.Fatalf("after the restart %v, before %v", got, want)
	}
	for _, node := range c.running() {
		c.wait("every node has applied the list", func() bool { return slices.Equal(node.localList(0), want) })
	}
}

func TestLeaderKilled(t *testing.T) {
	c := newCluster(t, 3, nil)
	for round := range 3 {
		c.commit(0, fmt.Sprintf("before-%d", round))
		leader := c.leader(0)
		leader.kill()
		c.commit(0, fmt.Sprintf("after-%d", round))
		leader.start()
		c.wait("the old leader catches up", func() bool {
			return slices.Contains(leader.localList(0), fmt.Sprintf("after-%d", round))
		})
	}
	list := c.leader(0).localList(0)
	for round := range 3 {
		if !slices.Contains(list, fmt.Sprintf("before-%d", round)) {
			t.Fatalf("an acknowledged command is lost: %v", list)
		}
	}
}

func TestFollowerNamesLeader(t *testing.T) {
	c := newCluster(t, 3, nil)
	leader := c.leader(0)
	for _, node := range c.running() {
		if node == leader {
			continue
		}
		c.wait("followers know the leader", func() bool {
			_, _, err := node.host.Propose(context.Background(), 0, named("x"))
			var notLeader *ErrNotLeader
			return errors.As(err, &notLeader) && notLeader.LeaderAddress == leader.address
		})
	}
	if _, _, err := leader.host.Propose(context.Background(), 9, named("x")); !errors.Is(err, ErrInvalid) {
		t.Fatalf("an unknown group was answered with %v", err)
	}
}
