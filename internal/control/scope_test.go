package control

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/growth"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// cellsOf returns cells from texts of the form "row column value".
func cellsOf(texts ...string) []*wire.CellChange {
	var cells []*wire.CellChange
	for _, text := range texts {
		parts := strings.SplitN(text, " ", 3)
		cells = append(cells, &wire.CellChange{Row: parts[0], Column: parts[1], Value: parts[2]})
	}
	return cells
}

// forwardingSession starts a session that follows what a gateway needs to forward requests.
func (c *cluster) forwardingSession(name string) *controlclient.Session {
	c.t.Helper()
	client := c.client(controlclient.Config{Member: gatewayMember(name), Scope: wire.TableScope_TABLE_SCOPE_FORWARDING})
	session, err := client.StartSession(testContext(c.t))
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(session.Close)
	return session
}

// TestForwardingSessionIsSparedBatchBackEnds guards against gateways that are woken for each replica of a pool that they
// send nothing to. Such changes must reach neither their view nor hold up their lease, a change that concerns them must be
// in force as before, and a pool that becomes theirs must appear whole.
func TestForwardingSessionIsSparedBatchBackEnds(t *testing.T) {
	c := startCluster(t)
	operator := c.client(controlclient.Config{})
	gateway := c.forwardingSession("gateway-1")
	eventually(t, "the level", func() bool { return gateway.Level().Includes(compat.TableScopes) })
	base := gateway.View().Version()
	setup := []string{"batch kind pool", "live kind pool", "r kind route", "r host h", "r path_prefix /a/", "r pools batch:1", "r route_kind batch",
		"s kind route", "s host h", "s path_prefix /b/", "s pools live:1", "live-1 kind backend", "live-1 pool live", "live-1 address 10.0.1.1:80"}
	version, _ := mustAccept(t, operator, &wire.TableChange{ChangeId: "setup", BaseVersion: base, Cells: cellsOf(setup...)}, true)

	var updates atomic.Int64
	gateway.OnUpdate(func(*table.View) { updates.Add(1) })
	const replicas = 20
	for number := range replicas {
		name := fmt.Sprint("batch-", number)
		version, _ = mustAccept(t, operator, &wire.TableChange{ChangeId: name, BaseVersion: version,
			Cells: cellsOf(name+" kind backend", name+" pool batch", fmt.Sprintf("%s address 10.0.0.%d:80", name, number+1))}, false)
	}
	version, inForce := mustAccept(t, operator, &wire.TableChange{ChangeId: "weight", BaseVersion: version, Cells: cellsOf("live-1 weight 70")}, true)
	view, held := gateway.AdmitView()
	if inForce < version || !held || view.Row("live-1").Weight != 70 {
		t.Fatalf("version %d is in force of %d, and the gateway's view has %v (lease %t)", inForce, version, view.Row("live-1"), held)
	}
	if updates.Load() != 1 || len(view.Backends("batch")) != 0 {
		t.Fatalf("the gateway got %d updates and has %d batch back ends, want 1 and none", updates.Load(), len(view.Backends("batch")))
	}

	version, inForce = mustAccept(t, operator, &wire.TableChange{ChangeId: "forwarded", BaseVersion: version, Cells: cellsOf("s pools live:1,batch:1")}, true)
	if got := len(gateway.View().Backends("batch")); inForce < version || got != replicas {
		t.Fatalf("version %d is in force of %d, and the gateway has %d back ends of the pool that is forwarded to, want %d", inForce, version, got, replicas)
	}
}

// TestGatewaysAreSparedNewsOfEachOther guards against messages that grow with the square of the gateways when all of them
// start at once.
func TestGatewaysAreSparedNewsOfEachOther(t *testing.T) {
	growth.Check(t, "members sent to the gateways while they register", 1, memberCounts, func(gateways int) float64 {
		feeds := newMemberFeeds()
		known, sent := map[int]uint64{}, 0
		deliver := func(registered int) {
			for holder := range registered {
				if changes := feeds.after(wire.TableScope_TABLE_SCOPE_FORWARDING, known[holder]); changes != nil {
					known[holder] = changes.MembersVersion
					sent += len(changes.Members)
				}
			}
		}
		register := func(version uint64, member *wire.Member) {
			feeds.merge(&wire.MembersView{FromVersion: version - 1, MembersVersion: version, Members: []*wire.Member{member}})
		}
		register(1, &wire.Member{Name: "control-1", Role: wire.MemberRole_MEMBER_ROLE_CONTROL})
		for number := range gateways {
			register(uint64(number)+2, gatewayMember(fmt.Sprint("gateway-", number)))
			deliver(number + 1)
		}
		return float64(sent)
	})
}

// TestCostOfARegisteredMemberDoesNotGrowWithTheMembers guards against a sorted copy of all members for each one that
// registers.
func TestCostOfARegisteredMemberDoesNotGrowWithTheMembers(t *testing.T) {
	growth.Check(t, "bytes to note that a member has registered", 0, memberCounts, func(members int) float64 {
		feeds, version := newMemberFeeds(), uint64(0)
		register := func() {
			version++
			member := gatewayMember(fmt.Sprint("gateway-", version%uint64(members)))
			feeds.merge(&wire.MembersView{FromVersion: version - 1, MembersVersion: version, Members: []*wire.Member{member}})
		}
		for range members {
			register()
		}
		return growth.AllocatedBytes(register)
	})
}
