package registry

import (
	"context"
	"crypto/rand"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/batching"
	"github.com/tamarindring/tamarindring/internal/configure"
	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// maximumBatch bounds the replicas of one change of the table, so that a change stays a small message.
	maximumBatch = 128
	// batchTimeout bounds the time for one change, including repetitions after conflicts.
	batchTimeout = time.Second
)

// pendingUpdate is a registration or deregistration that is queued for the table.
type pendingUpdate struct {
	replica   incarnation.Incarnation
	heartbeat *Registration // nil to deregister the replica

	// The fields below are set before the call finishes.
	version     uint64 // table version that includes the change; 0 if there was nothing to change
	formerStart uint64 // start that the change replaced, in Unix milliseconds; 0 if none is known
}

// plan returns the change that applies the update to a view of the table; nil if the table needs no change.
func (u *pendingUpdate) plan(view *table.View) *wire.TableChange {
	if u.heartbeat == nil {
		return PlanDeregistration(view, u.replica)
	}
	row := view.Row(u.replica.ID)
	if Classify(row, u.heartbeat) != Changed {
		return nil
	}
	u.formerStart = 0
	if row != nil && u.replica.Compare(row.Incarnation()) == incarnation.Newer {
		u.formerStart = row.Start
	}
	return planRegistration(view, u.heartbeat)
}

// address returns the replica's address in canonical form; empty for a deregistration.
func (u *pendingUpdate) address() string {
	if u.heartbeat == nil {
		return ""
	}
	if parsed, err := netip.ParseAddrPort(u.heartbeat.Address); err == nil {
		return parsed.String()
	}
	return u.heartbeat.Address
}

type updateCall = batching.Call[*pendingUpdate]

// batches combines the updates of many replicas into few changes of the table. Each change creates a new version that
// every process of the fleet adopts, so replicas that start or leave at the same time must not cause one change each.
type batches struct {
	config *Config
	queue  batching.Queue[*pendingUpdate]
}

func newBatches(config *Config) *batches {
	b := &batches{config: config}
	b.queue.Take, b.queue.Run = takeIndependent, b.commit
	return b
}

// submit queues an update, waits until the table includes it and returns it with its results. After an error it is
// unknown whether the table includes the update or will.
func (b *batches) submit(ctx context.Context, replica incarnation.Incarnation, heartbeat *Registration) (done *pendingUpdate, err error) {
	done = &pendingUpdate{replica: replica, heartbeat: heartbeat}
	return done, b.queue.Do(ctx, done)
}

// takeIndependent returns how many of the waiting updates, from the first, go into the next batch: at most
// maximumBatch, and none from the first update on that depends on an earlier one because of the same instance or
// address.
func takeIndependent(waiting []*updateCall) int {
	taken := map[string]bool{}
	for count, call := range waiting {
		address := call.Value.address()
		if count == maximumBatch || taken[call.Value.replica.ID] || taken[address] {
			return count
		}
		taken[call.Value.replica.ID] = true
		if address != "" {
			taken[address] = true
		}
	}
	return len(waiting)
}

// commit makes the change for one batch. If the table rejects it, commit makes a change for each replica separately, so
// that an invalid registration does not fail the others. It returns the updates that need another change.
func (b *batches) commit(batch []*updateCall) (postponed []*updateCall) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	postponed, err := b.apply(ctx, batch)
	if trace.IsBadParameter(err) && len(batch) > 1 {
		for _, call := range batch {
			_, err = b.apply(ctx, []*updateCall{call})
			call.Finish(err)
		}
		return nil
	}
	for _, call := range batch[:len(batch)-len(postponed)] {
		call.Finish(err)
	}
	return postponed
}

// apply makes the change for a batch, repeats it after each conflict, and stores the resulting version in the updates.
// It returns the updates that need another change: those from the first one on that sets a cell to a different value
// than an earlier one.
func (b *batches) apply(ctx context.Context, batch []*updateCall) (postponed []*updateCall, err error) {
	view := b.recentView()
	for {
		fresh := view == nil
		if fresh {
			if view, err = configure.ReadView(ctx, b.config.Control, b.config.View()); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		planned := mergeChanges(view, batch)
		if planned.unchanged > 0 && !fresh {
			view = nil // only the newest table can show that an update needs no change
			continue
		}
		if len(planned.change.Cells) == 0 {
			return planned.postponed, nil
		}
		version, done, err := b.sendChange(ctx, planned.change)
		if err != nil {
			return nil, err
		}
		if done {
			for _, one := range planned.included {
				one.Value.version = version
			}
			return planned.postponed, nil
		}
		view = nil
	}
}

// recentView returns the table as this process follows it if it is the leader, whose view is recent. Otherwise it
// returns nil.
func (b *batches) recentView() *table.View {
	if !b.config.Leading() {
		return nil
	}
	return b.config.View()
}

// sendChange sends a change to the control group; done is false after a conflict. It returns trace.BadParameter if the
// table rejects the change.
func (b *batches) sendChange(ctx context.Context, change *wire.TableChange) (version uint64, done bool, err error) {
	change.ChangeId, change.Operator = rand.Text(), b.config.Operator
	result, _, err := b.config.Control.ChangeTable(ctx, change, false)
	if err != nil {
		return 0, false, trace.Wrap(err)
	}
	switch result.GetOutcome() {
	case wire.TableOutcome_TABLE_OUTCOME_ACCEPTED:
		return result.GetVersion(), true, nil
	case wire.TableOutcome_TABLE_OUTCOME_CONFLICT:
		return 0, false, nil
	}
	return 0, false, trace.BadParameter("the table refused a registration: %v", result.GetRefusals())
}

// plannedBatch is one change of the table for a batch of updates.
type plannedBatch struct {
	change    *wire.TableChange
	included  []*updateCall // updates that the change includes
	postponed []*updateCall // updates that need another change: the last ones of the batch
	unchanged int           // number of updates that the table includes already
}

// mergeChanges plans one change for a batch on a view of the table.
func mergeChanges(view *table.View, batch []*updateCall) plannedBatch {
	planned := plannedBatch{change: &wire.TableChange{BaseVersion: view.Version(), Note: table.ForceNote}}
	cells := map[cellName]string{}
	for number, one := range batch {
		change := one.Value.plan(view)
		if change == nil {
			planned.unchanged++
			continue
		}
		if hasContradiction(cells, change.Cells) {
			planned.postponed = batch[number:]
			break
		}
		planned.included = append(planned.included, one)
		planned.add(cells, change.Cells)
	}
	return planned
}

// cellName identifies a cell of the table.
type cellName struct{ row, column string }

// hasContradiction reports whether a cell differs from the planned value of the same cell.
func hasContradiction(planned map[cellName]string, cells []*wire.CellChange) bool {
	for _, cell := range cells {
		if value, set := planned[cellName{cell.GetRow(), cell.GetColumn()}]; set && value != cell.GetValue() {
			return true
		}
	}
	return false
}

// add adds the cells that are not planned yet to the change.
func (p *plannedBatch) add(planned map[cellName]string, cells []*wire.CellChange) {
	for _, cell := range cells {
		name := cellName{cell.GetRow(), cell.GetColumn()}
		if _, set := planned[name]; set {
			continue
		}
		planned[name] = cell.GetValue()
		p.change.Cells = append(p.change.Cells, cell)
	}
}
