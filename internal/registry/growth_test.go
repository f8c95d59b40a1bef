package registry

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/tamarindring/tamarindring/internal/growth"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// fleetOf returns a view of a table with so many registered replicas.
func fleetOf(t *testing.T, count int) *table.View {
	t.Helper()
	fleet := table.New()
	change := &wire.TableChange{ChangeId: "fleet", Note: table.ForceNote}
	set := func(row, column, value string) {
		change.Cells = append(change.Cells, &wire.CellChange{Row: row, Column: column, Value: value})
	}
	set("pool", table.ColumnKind, string(table.Pool))
	for number := range count {
		name := fmt.Sprintf("r%05d", number)
		set(name, table.ColumnKind, string(table.Backend))
		set(name, table.ColumnPool, "pool")
		set(name, table.ColumnAddress, fmt.Sprintf("10.1.%d.%d:80", number/250, number%250+1))
		set(name, table.ColumnState, string(table.Active))
		set(name, table.ColumnSequence, strconv.Itoa(1))
	}
	if result := fleet.Apply(change); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	view, err := table.NewView().Apply(fleet.UpdateSince(0))
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// TestCostOfARegistrationDoesNotGrowWithTheFleet guards against a look at every replica for each one that registers:
// when a fleet starts, that is work for the square of its size.
func TestCostOfARegistrationDoesNotGrowWithTheFleet(t *testing.T) {
	growth.Check(t, "bytes to judge and plan a registration", 0, []int{1000, 2000, 4000}, func(replicas int) float64 {
		f, view := newFixture(t), fleetOf(t, replicas)
		f.service.config.View = func() *table.View { return view }
		heartbeat := replica(1, 1)
		batch := []*updateCall{{Value: &pendingUpdate{replica: heartbeat.Incarnation(), heartbeat: &heartbeat}}}
		return growth.AllocatedBytes(func() {
			if f.service.hasUnknownPool(&heartbeat) || f.service.mustDefer(&heartbeat) || !f.service.ShouldSpread() {
				t.Fatal("the registration is rejected, or the heartbeats all go to the leader")
			}
			if planned := mergeChanges(view, batch); len(planned.included) != 1 {
				t.Fatal("the registration is not planned")
			}
		})
	})
}
