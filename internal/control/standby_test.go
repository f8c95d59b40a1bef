package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// startWithStandbys founds a cluster of three nodes that tolerates two losses, with three standbys, of which two vote.
func startWithStandbys(t *testing.T) *seededCluster {
	t.Helper()
	c := startSeededWith(t, &seededCluster{losses: 2, standbys: []int{3, 4, 5}})
	for _, position := range c.standbys {
		c.open(position, listen(t, "127.0.0.1:0"), true)
	}
	c.awaitVoterCount(5)
	return c
}

// awaitVoterCount waits until the leaders of all groups report a number of voters, all of which are running.
func (c *seededCluster) awaitVoterCount(size int) {
	c.t.Helper()
	eventually(c.t, "the number of voters", func() bool {
		return len(c.voters(0)) == size && len(c.voters(1)) == size
	})
}

// voters returns a group's voters as known to its leader, or nil unless all of them are running.
func (c *seededCluster) voters(group uint32) []uint64 {
	for _, server := range c.servers {
		if server == nil {
			continue
		}
		status, err := server.replicas.Status(testContext(c.t), group)
		if err != nil || status.Leader != status.ID {
			continue
		}
		for _, voter := range status.Configuration.Voters {
			if c.positionOf(voter) < 0 {
				return nil
			}
		}
		return status.Configuration.Voters
	}
	return nil
}

// positionOf returns the position at which a node runs, or -1.
func (c *seededCluster) positionOf(node uint64) int {
	return slices.IndexFunc(c.servers, func(server *Server) bool { return server != nil && server.config.NodeID == node })
}

// TestTwoDisksLostAtOnce wipes two nodes at the same time, first two founders, then a founder and a standby, while all
// other nodes lose power. No acknowledged change may be lost, and the groups must have all their voters again before
// the next loss.
func TestTwoDisksLostAtOnce(t *testing.T) {
	c := startWithStandbys(t)
	client := c.client(controlclient.Config{Addresses: c.seeds, LedgerGroups: 1})
	version, _ := mustAccept(t, client, poolChange("base", 0, "1"), false)
	for round, wiped := range [][]int{{0, 1}, {2, 3}} {
		addresses := make([]string, len(c.servers))
		for position, server := range c.servers {
			addresses[position] = server.Address()
		}
		for position := range c.servers {
			if slices.Contains(wiped, position) {
				c.wipe(position)
			} else {
				c.kill(position)
			}
		}
		for position := range c.servers {
			c.open(position, listen(t, addresses[position]), false)
		}
		next, _ := mustAccept(t, client, weightChange([]string{"after-1", "after-2"}[round], version, []string{"2", "3"}[round]), false)
		if next != version+1 {
			t.Fatalf("got version %d after round %d, want %d", next, round, version+1)
		}
		version = next
		c.awaitVoterCount(5)
	}
}

// TestStandbyLeadsOnlyWhileNoOtherVoterCan kills leaders until the last founder leads, then restarts that one too. A
// standby that led in the meantime must return the leadership to the founder.
func TestStandbyLeadsOnlyWhileNoOtherVoterCan(t *testing.T) {
	c := startWithStandbys(t)
	leads := func(wanted func(position int) bool) func() bool {
		return func() bool {
			for _, group := range []uint32{0, 1} {
				leader := -1
				for position, server := range c.servers {
					if server != nil && server.states[group].leader().Leading {
						leader = position
					}
				}
				if leader < 0 || !wanted(leader) {
					return false
				}
			}
			return true
		}
	}
	founder := func(position int) bool { return position < 3 }
	eventually(t, "founders to lead both groups", leads(founder))
	for range 2 {
		c.kill(c.leader())
		eventually(t, "other founders to lead both groups", leads(founder))
	}
	last := c.leader()
	address := c.servers[last].Address()
	c.kill(last) // leaves two standbys of five voters, or three with the spare, which may be too few to elect a leader
	c.open(last, listen(t, address), false)
	eventually(t, "the last founder to lead both groups", leads(founder))
}

// TestRetiredStandbyIsReplaced retires a standby that votes. The spare must replace it. Retiring a second standby must
// be rejected on all nodes, since too few would remain.
func TestRetiredStandbyIsReplaced(t *testing.T) {
	c := startWithStandbys(t)
	client := c.client(controlclient.Config{Addresses: c.seeds, LedgerGroups: 1})
	voting := 0
	for _, position := range c.standbys {
		if slices.Contains(c.voters(0), c.servers[position].config.NodeID) {
			voting = position
		}
	}
	server := c.servers[0]
	address := c.servers[voting].Address()
	eventually(t, "enough standbys to have asked to join", func() bool {
		may, err := server.CanRetire(testContext(t), address)
		return err == nil && may
	})
	retire(t, client, "storage-1", address)
	eventually(t, "the retired standby to lose its votes", func() bool {
		voters := slices.Concat(c.voters(0), c.voters(1))
		return len(voters) > 0 && !slices.ContainsFunc(voters, func(voter uint64) bool { return server.AddressOf(voter) == address })
	})
	c.awaitVoterCount(5)
	for _, position := range c.standbys {
		if position == voting {
			continue
		}
		for _, server := range c.servers[:3] {
			if may, err := server.CanRetire(testContext(t), c.servers[position].Address()); err != nil || may {
				t.Errorf("node %d allows standby %d to retire (error %v), want a rejection", server.config.NodeID, position, err)
			}
		}
	}
}

// retire registers a storage member at an address and asks it to leave.
func retire(t *testing.T, client *controlclient.Client, name, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(testContext(t), 10*time.Second)
	defer cancel()
	for _, state := range []wire.MemberState{wire.MemberState_MEMBER_STATE_ALIVE, wire.MemberState_MEMBER_STATE_LEAVING} {
		member := &wire.Member{Name: name, Role: wire.MemberRole_MEMBER_ROLE_STORAGE, Address: address, Incarnation: 1, State: state}
		result, err := client.Execute(ctx, controlGroup, &wire.Command{Kind: &wire.Command_MemberUpdate{MemberUpdate: &wire.MemberUpdate{Member: member}}})
		if err != nil || !result.GetMember().GetAccepted() {
			t.Fatal(result, err)
		}
	}
}

// TestIdentityMarksStandby checks that identities distinguish standbys, other joined nodes and founders.
func TestIdentityMarksStandby(t *testing.T) {
	for range 100 {
		if !isStandby(newIdentity(true)) || isStandby(newIdentity(false)) || newIdentity(false)&joinedIdentity == 0 {
			t.Fatal("an identity has the wrong flags")
		}
	}
	for _, founder := range []uint64{raft.None, 1, 3} {
		if isStandby(founder) {
			t.Fatalf("founder %d is identified as a standby", founder)
		}
	}
}
