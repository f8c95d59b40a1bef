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

// startWithStandbys founds a cluster of three that bears two losses, with three standbys, of which two vote.
func startWithStandbys(t *testing.T) *seededCluster {
	t.Helper()
	c := startSeededWith(t, &seededCluster{losses: 2, standbys: []int{3, 4, 5}})
	for _, position := range c.standbys {
		c.open(position, listen(t, "127.0.0.1:0"), true)
	}
	c.awaitSize(5)
	return c
}

// awaitSize waits until all groups have a number of voters, all of which live, as seen at the leader.
func (c *seededCluster) awaitSize(size int) {
	c.t.Helper()
	eventually(c.t, "the number of voters", func() bool {
		return len(c.voters(0)) == size && len(c.voters(1)) == size
	})
}

// voters are a group's voters as its leader knows them, if all of them live.
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

// positionOf is where a node runs; -1 if it does not.
func (c *seededCluster) positionOf(node uint64) int {
	return slices.IndexFunc(c.servers, func(server *Server) bool { return server != nil && server.config.NodeID == node })
}

// TestTwoDisksLostAtOnce wipes two nodes together, two of the founders and then one with a standby, while all other nodes
// lose power; what was acknowledged is there, and the group is whole again before the next loss.
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
			t.Fatalf("version %d after round %d, want %d", next, round, version+1)
		}
		version = next
		c.awaitSize(5)
	}
}

// TestStandbysLeadOnlyWhereNobodyElseCan loses leaders until the last founder leads, then all founders: a standby leads,
// and gives the leadership back.
func TestStandbysLeadOnlyWhereNobodyElseCan(t *testing.T) {
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
	eventually(t, "founders that lead", leads(founder))
	for range 2 {
		c.kill(c.leader())
		eventually(t, "another founder that leads", leads(founder))
	}
	last := c.leader()
	address := c.servers[last].Address()
	c.kill(last) // two standbys of five voters are left, or three with the spare: they may be too few to lead
	c.open(last, listen(t, address), false)
	eventually(t, "the last founder that leads", leads(founder))
}

// TestStandbyIsEmptied retires a standby that votes: the spare takes its place. A second one is refused, since too few
// would remain, also by another node; the first order stays taken.
func TestStandbyIsEmptied(t *testing.T) {
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
	eventually(t, "a standby that has asked", func() bool {
		may, err := server.MayRetire(testContext(t), address)
		return err == nil && may
	})
	retire(t, client, "storage-1", address)
	eventually(t, "the standby without votes", func() bool {
		voters := slices.Concat(c.voters(0), c.voters(1))
		return len(voters) > 0 && !slices.ContainsFunc(voters, func(voter uint64) bool { return server.AddressOf(voter) == address })
	})
	c.awaitSize(5)
	for _, position := range c.standbys {
		if position == voting {
			continue
		}
		for _, server := range c.servers[:3] {
			if may, err := server.MayRetire(testContext(t), c.servers[position].Address()); err != nil || may {
				t.Errorf("node %d lets standby %d go: %v", server.config.NodeID, position, err)
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

func TestIdentitiesTellStandbys(t *testing.T) {
	for range 100 {
		if !isStandby(newIdentity(true)) || isStandby(newIdentity(false)) || newIdentity(false)&joinedIdentity == 0 {
			t.Fatal("an identity has the wrong marks")
		}
	}
	for _, founder := range []uint64{raft.None, 1, 3} {
		if isStandby(founder) {
			t.Fatalf("founder %d is a standby", founder)
		}
	}
}
