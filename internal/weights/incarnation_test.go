package weights

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// restartFixture is a fixture whose replica i-0 can restart.
type restartFixture struct {
	*fixture
	t     *testing.T
	table *table.Table
	view  atomic.Pointer[table.View]
}

func instanceOf(start uint64) string {
	return incarnation.Incarnation{ID: "i-0", Start: start}.String()
}

func newRestartFixture(t *testing.T, start uint64) *restartFixture {
	r := &restartFixture{fixture: newFixture(t, 1), t: t, table: table.New()}
	r.change("pool", table.ColumnKind, string(table.Pool))
	r.change("i-0", table.ColumnKind, string(table.Backend), table.ColumnPool, "pool", table.ColumnAddress, "10.0.0.1:1")
	r.driver.config.View, r.driver.config.LoadTimeout = r.view.Load, time.Hour
	clear(r.driver.reportedVersions)
	clear(r.driver.reported)
	clear(r.sender.replicas)
	r.start(start, 1)
	return r
}

func (r *restartFixture) change(row string, cells ...string) {
	r.t.Helper()
	change := &wire.TableChange{ChangeId: row + string(rune('a'+r.table.Version())), BaseVersion: r.table.Version(), Operator: "test", Note: table.ForceNote}
	for at := 0; at < len(cells); at += 2 {
		change.Cells = append(change.Cells, &wire.CellChange{Row: row, Column: cells[at], Value: cells[at+1]})
	}
	if result := r.table.Apply(change); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		r.t.Fatal(result)
	}
	view, err := table.NewView().Apply(r.table.UpdateSince(0))
	if err != nil {
		r.t.Fatal(err)
	}
	r.view.Store(view)
}

// start starts the given incarnation of the replica, which reports that it serves the version.
func (r *restartFixture) start(start, version uint64) {
	r.t.Helper()
	instance := incarnation.Incarnation{ID: "i-0", Start: start}
	r.sender.mutex.Lock()
	r.sender.replicas[instance.String()] = &fakeReplica{serving: map[string]uint64{"m0": version}}
	r.sender.mutex.Unlock()
	r.change("i-0", table.ColumnStart, formatStart(start))
	r.driver.ObserveHeartbeat(&registry.Registration{Instance: "i-0", Start: start, Models: []registry.ModelVersion{{Model: "m0", Number: version}}})
}

func formatStart(start uint64) string {
	text := incarnation.Incarnation{Start: start}.String()
	return text[1:]
}

func (r *restartFixture) put(number uint64) {
	r.t.Helper()
	if err := RegisterVersion(context.Background(), r.control, "m0", number, "trainer"); err != nil {
		r.t.Fatal(err)
	}
}

// TestRestartedReplicaIsUpdatedAgain checks that a replica that was brought to the newest version, crashed and
// restarted with the first version is updated again. Versions are assumed to only increase and completed orders are
// remembered; when this state outlived the restart, the driver reported the newest version to the batch jobs, sent no
// further order and left the replica at the old version for good.
func TestRestartedReplicaIsUpdatedAgain(t *testing.T) {
	r := newRestartFixture(t, 1000)
	r.run(t)
	r.put(2)
	eventually(t, "timed out waiting for the first incarnation to serve version 2", func() bool {
		return r.driver.Serving().Replicas("m0")[instanceOf(1000)].Version == 2
	})
	r.start(2000, 1)
	eventually(t, "timed out waiting for the second incarnation to serve version 2", func() bool {
		r.sender.mutex.Lock()
		defer r.sender.mutex.Unlock()
		return r.sender.replicas[instanceOf(2000)].serving["m0"] == 2
	})
	eventually(t, "timed out waiting for Serving to contain only the second incarnation", func() bool {
		replicas := r.driver.Serving().Replicas("m0")
		return len(replicas) == 1 && replicas[instanceOf(2000)].Version == 2
	})
	r.driver.mutex.Lock()
	defer r.driver.mutex.Unlock()
	if _, known := r.driver.reportedVersions[instanceOf(1000)]; known {
		t.Error("versions reported by the first incarnation are still stored")
	}
}

// silentSender simulates a replica that accepts an order and is then partitioned, so that it answers no more
// requests.
type silentSender struct {
	*fakeSender
	ordered atomic.Int64
}

func (s *silentSender) Report(ctx context.Context, target replica.Target, model string) (Report, error) {
	if target.Instance == instanceOf(1000) && s.ordered.Load() > 0 {
		return Report{}, trace.ConnectionProblem(nil, "cut off")
	}
	return s.fakeSender.Report(ctx, target, model)
}

func (s *silentSender) Order(ctx context.Context, order Order) (Acceptance, error) {
	if order.Instance == instanceOf(1000) {
		s.ordered.Add(1)
		return OrderAccepted, nil
	}
	return s.fakeSender.Order(ctx, order)
}

// TestLoadIsCancelledWhenReplicaRestarts checks that the load of a former incarnation ends as soon as the table has
// the new one, without a wait for its report, and that the new incarnation gets an order. The replica accepts the
// order, is partitioned, crashes and restarts.
func TestLoadIsCancelledWhenReplicaRestarts(t *testing.T) {
	r := newRestartFixture(t, 1000)
	sender := &silentSender{fakeSender: r.sender}
	r.driver.config.Sender = sender
	var now atomic.Int64 // advances by microseconds only, so that no timeout of the load expires
	r.driver.config.Clock = func() time.Duration { return time.Duration(now.Add(1)) * time.Microsecond }
	r.run(t)
	r.put(2)
	eventually(t, "timed out waiting for the order to be sent", func() bool { return sender.ordered.Load() == 1 })
	r.start(2000, 1)
	eventually(t, "timed out waiting for the second incarnation to serve version 2", func() bool {
		r.sender.mutex.Lock()
		defer r.sender.mutex.Unlock()
		return r.sender.replicas[instanceOf(2000)].serving["m0"] == 2
	})
	eventually(t, "timed out waiting for the load of the first incarnation to end", func() bool {
		return countLoading(r.driver.Serving()) == 0
	})
}

// TestRestartReportEndsOrder checks that a report of a later incarnation ends the wait for an order at once.
func TestRestartReportEndsOrder(t *testing.T) {
	if got := evaluateReport(&Order{Number: 2}, time.Millisecond, Report{}, trace.Wrap(ErrRestarted)); got != notExecuted {
		t.Fatalf("order state after a restart: got %v, want notExecuted", got)
	}
}
