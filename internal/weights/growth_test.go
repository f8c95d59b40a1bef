package weights

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/growth"
	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wave"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// newFleetDriver returns a driver that leads a fleet of so many replicas, each of which serves all models at version 1.
func newFleetDriver(t testing.TB, replicas, models int) *Driver {
	t.Helper()
	fleet := table.New()
	change := &wire.TableChange{ChangeId: "fleet", Note: table.ForceNote, Cells: []*wire.CellChange{{Row: "pool", Column: table.ColumnKind, Value: string(table.Pool)}}}
	for number := range replicas {
		name := fmt.Sprintf("r%05d", number)
		for _, cell := range [][2]string{{table.ColumnKind, string(table.Backend)}, {table.ColumnPool, "pool"},
			{table.ColumnAddress, fmt.Sprintf("10.1.%d.%d:80", number/250, number%250+1)}, {table.ColumnState, string(table.Active)}} {
			change.Cells = append(change.Cells, &wire.CellChange{Row: name, Column: cell[0], Value: cell[1]})
		}
	}
	if result := fleet.Apply(change); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	view, err := table.NewView().Apply(fleet.UpdateSince(0))
	if err != nil {
		t.Fatal(err)
	}
	var now atomic.Int64 // in microseconds; the goroutines of the orders read the clock too
	now.Store(time.Hour.Microseconds())
	driver, err := NewDriver(Config{Control: &fakeControl{machine: state.New()}, Sender: unresponsive{}, View: func() *table.View { return view },
		IsLeader: func() bool { return true }, Owner: "a", Clock: func() time.Duration { return time.Duration(now.Add(1)) * time.Microsecond }})
	if err != nil {
		t.Fatal(err)
	}
	driver.token = 1
	driver.surveyRunning.Store(true)
	driver.surveyedTenure.Store(driver.tenure)
	for number := range replicas {
		var served []registry.ModelVersion
		for model := range models {
			served = append(served, registry.ModelVersion{Model: fmt.Sprint("m", model), Number: 1})
		}
		driver.recordReport(fmt.Sprintf("r%05d", number), served)
	}
	driver.versionReadRunning = true
	driver.runCycle(context.Background(), false)
	return driver
}

// unresponsive is a Sender whose replicas never answer.
type unresponsive struct{}

func (unresponsive) Report(ctx context.Context, _ replica.Target, _ string) (Report, error) {
	<-ctx.Done()
	return Report{}, ctx.Err()
}

func (unresponsive) Order(ctx context.Context, _ Order) (Acceptance, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// TestCostOfACycleDoesNotGrowWithTheFleet guards against planning that goes over all replicas and models in each cycle,
// several times a second, on the node that leads. A load ends in each cycle here, and each of them is published.
func TestCostOfACycleDoesNotGrowWithTheFleet(t *testing.T) {
	const models = 3
	growth.Check(t, "bytes to plan and publish a cycle", 0, []int{1000, 2000, 4000}, func(replicas int) float64 {
		driver := newFleetDriver(t, replicas, models)
		for _, planner := range driver.planners {
			planner.Release(time.Hour, wave.Version{Name: "v", Number: 2})
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer driver.background.Wait()
		defer cancel()
		held := driver.Serving()
		ended := 0
		return growth.AllocatedBytes(func() {
			driver.recordLoaded(fmt.Sprintf("r%05d", replicas-1-ended), "m0", uint64(3+ended))
			ended++
			driver.runCycle(ctx, false)
			held, _ = held.Apply(driver.Serving().UpdateFrom(held.Position()))
		})
	})
}
