package registry

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/table"
)

// node is a control node whose view of the table may lag.
type node struct {
	*Service
	view *table.View
}

// nodes holds control nodes that share one table.
type nodes struct {
	*fixture
	members []*node
	leader  int // index in members; -1 for no leader
}

func newNodes(t interface{ Fatal(...any) }, count int) *nodes {
	made := &nodes{fixture: newFixture(t)}
	for number := range count {
		member := &node{view: made.control.view()}
		service, err := New(Config{Control: made.control, View: func() *table.View { return member.view }, Heartbeat: heartbeatInterval,
			Leading: func() bool { return made.leader == number }, Clock: func() time.Duration { return made.now }})
		if err != nil {
			t.Fatal(err)
		}
		member.Service = service
		made.members = append(made.members, member)
	}
	return made
}

// TestStartsOnlyRiseOverAllNodes delivers heartbeats, deregistrations and silence in random order to three nodes with
// lagging views and a changing leader, for several starts of one replica and for another replica that reuses its
// addresses. The start in the replica's row must never decrease, a deregistered start must never get work again, and
// the row must never hold the address of a former start.
func TestStartsOnlyRiseOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newNodes(t, 3)
		var highest uint64
		left := map[uint64]bool{}
		addressOf := func(start uint64) string { return [...]string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}[start%3] }
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			member := all.members[rapid.IntRange(0, 2).Draw(t, "node")]
			start := rapid.Uint64Range(1, 4).Draw(t, "start")
			switch rapid.IntRange(0, 7).Draw(t, "kind") {
			case 0:
				all.leader = rapid.IntRange(-1, 2).Draw(t, "leader")
			case 1:
				member.view = all.control.view()
			case 2:
				all.now += heartbeatInterval
				member.tick(context.Background())
			case 3:
				if member.Deregister(context.Background(), incarnation.Incarnation{ID: "i-0", Start: start}) == nil {
					left[start] = start >= highest
				}
			case 4:
				other := replica(1, uint64(all.now/heartbeatInterval)+1)
				other.Address = addressOf(start)
				_ = member.TakeHere(context.Background(), &other)
			default:
				heartbeat := startedAt(start, rapid.Uint64Range(1, 9).Draw(t, "sequence"))
				heartbeat.Address = addressOf(start)
				_ = member.TakeHere(context.Background(), &heartbeat)
			}
			row := all.control.view().Row("i-0")
			if row == nil {
				highest = 0 // the row does not exist yet, or was dropped after its retention
				clear(left)
				continue
			}
			if row.Start < highest {
				t.Fatalf("the start decreased from %d to %d", highest, row.Start)
			}
			highest = row.Start
			if row.State != table.Removed && (left[row.Start] || row.Address != addressOf(row.Start)) {
				t.Fatalf("start %d is %s at %s, deregistered before: %t", row.Start, row.State, row.Address, left[row.Start])
			}
		}
	})
}
