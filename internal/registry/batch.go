package registry

import (
	"context"
	"crypto/rand"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/configure"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// maximumBatch bounds the replicas of one change of the table, so that a change stays a small message.
	maximumBatch = 128
	// batchTimeout bounds the making of one change, conflicts included.
	batchTimeout = time.Second
)

// wanted is what one caller wants the table to say of a replica.
type wanted struct {
	ctx       context.Context
	instance  string
	heartbeat *Registration // nil: the replica leaves for good
	done      chan struct{} // closed once version and err are set
	version   uint64        // table version with the change; 0 when there was nothing to change
	err       error
}

// plan returns the change that brings the table to what is wanted; nil when it says so already.
func (w *wanted) plan(view *table.View, at addresses) *wire.TableChange {
	if w.heartbeat == nil {
		return Leave(view, w.instance)
	}
	if Judge(view.Row(w.instance), w.heartbeat) != Changed {
		return nil
	}
	return changeAt(view, w.heartbeat, at)
}

// batches turns what many callers want at once into few changes of the table: while one change is under way, what
// arrives waits and goes into the next one. Each change makes a new version that every process of the fleet adopts, so
// replicas that start or leave together must not take one each.
type batches struct {
	config *Config

	mutex   sync.Mutex
	waiting []*wanted
	running bool
}

// do waits until the table says what is wanted. An error leaves open whether it does.
func (b *batches) do(ctx context.Context, instance string, heartbeat *Registration) (version uint64, err error) {
	one := &wanted{ctx: ctx, instance: instance, heartbeat: heartbeat, done: make(chan struct{})}
	b.mutex.Lock()
	b.waiting = append(b.waiting, one)
	start := !b.running
	b.running = true
	b.mutex.Unlock()
	if start {
		go b.run()
	}
	select {
	case <-one.done:
		return one.version, one.err
	case <-ctx.Done():
		return 0, trace.Wrap(ctx.Err())
	}
}

// run commits batches until nothing waits. Each batch is bounded in time, so it ends soon after its callers.
func (b *batches) run() {
	for {
		batch := b.next()
		if len(batch) == 0 {
			return
		}
		b.commit(batch)
	}
}

// next takes those that wait in their order, up to the first that builds on an earlier one of the batch: the same
// instance or the same address. An empty batch ends the run.
func (b *batches) next() []*wanted {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// Callers that are gone were told that the outcome is not known.
	b.waiting = slices.DeleteFunc(b.waiting, func(one *wanted) bool { return one.ctx.Err() != nil })
	taken := map[string]bool{}
	count := 0
	for _, one := range b.waiting {
		address := one.address()
		if count == maximumBatch || taken[one.instance] || taken[address] {
			break
		}
		taken[one.instance] = true
		if address != "" {
			taken[address] = true
		}
		count++
	}
	batch := slices.Clone(b.waiting[:count])
	b.waiting = slices.Delete(b.waiting, 0, count)
	b.running = count > 0
	return batch
}

// address is where the replica says that it listens, in canonical form; empty for one that leaves.
func (w *wanted) address() string {
	if w.heartbeat == nil {
		return ""
	}
	if parsed, err := netip.ParseAddrPort(w.heartbeat.Address); err == nil {
		return parsed.String()
	}
	return w.heartbeat.Address
}

// commit makes one batch's change and tells its callers. A change that the table refuses is made again for each
// replica alone, so that one bad registration fails by itself.
func (b *batches) commit(batch []*wanted) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	postponed, err := b.settle(ctx, batch)
	if trace.IsBadParameter(err) && len(batch) > 1 {
		for _, one := range batch {
			_, err = b.settle(ctx, []*wanted{one})
			one.finish(err)
		}
		return
	}
	b.mutex.Lock()
	b.waiting = append(slices.Clone(postponed), b.waiting...)
	b.mutex.Unlock()
	for _, one := range batch {
		if !slices.Contains(postponed, one) {
			one.finish(err)
		}
	}
}

func (w *wanted) finish(err error) {
	w.err = err
	close(w.done)
}

// settle brings the table to what a batch wants, again after each conflict, and notes the version that does. It
// returns those that must wait for another change, from the first that wants a cell otherwise than an earlier one.
func (b *batches) settle(ctx context.Context, batch []*wanted) (postponed []*wanted, err error) {
	view := b.followed()
	for {
		fresh := view == nil
		if fresh {
			if view, err = configure.ReadView(ctx, b.config.Control); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		planned := mergeChanges(view, batch)
		if planned.nothing > 0 && !fresh {
			view = nil // only a table that is known to be the newest says that there is nothing to do
			continue
		}
		if len(planned.change.Cells) == 0 {
			return planned.postponed, nil
		}
		version, done, err := b.send(ctx, planned.change)
		if err != nil {
			return nil, err
		}
		if done {
			for _, one := range planned.included {
				one.version = version
			}
			return planned.postponed, nil
		}
		view = nil
	}
}

// followed is the table as this process follows it, where that is recent: at the leader.
func (b *batches) followed() *table.View {
	if !b.config.Leading() {
		return nil
	}
	return b.config.View()
}

// send makes a change of the table; done is false after a conflict.
func (b *batches) send(ctx context.Context, change *wire.TableChange) (version uint64, done bool, err error) {
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

// plannedBatch is one change for what many want.
type plannedBatch struct {
	change    *wire.TableChange
	included  []*wanted // by the change
	postponed []*wanted // for another change
	nothing   int       // how many the table satisfies already
}

// mergeChanges plans one change for a batch on a view.
func mergeChanges(view *table.View, batch []*wanted) plannedBatch {
	planned := plannedBatch{change: &wire.TableChange{BaseVersion: view.Version(), Note: table.ForceNote}}
	at := addressesOf(view)
	cells := map[cellName]string{}
	for number, one := range batch {
		change := one.plan(view, at)
		if change == nil {
			planned.nothing++
			continue
		}
		if contradicts(cells, change.Cells) {
			planned.postponed = batch[number:]
			break
		}
		planned.included = append(planned.included, one)
		planned.add(cells, change.Cells)
	}
	return planned
}

// cellName names a cell of the table.
type cellName struct{ row, column string }

func contradicts(held map[cellName]string, cells []*wire.CellChange) bool {
	for _, cell := range cells {
		if value, set := held[cellName{cell.GetRow(), cell.GetColumn()}]; set && value != cell.GetValue() {
			return true
		}
	}
	return false
}

// add puts cells into the change, each once.
func (p *plannedBatch) add(held map[cellName]string, cells []*wire.CellChange) {
	for _, cell := range cells {
		name := cellName{cell.GetRow(), cell.GetColumn()}
		if _, set := held[name]; set {
			continue
		}
		held[name] = cell.GetValue()
		p.change.Cells = append(p.change.Cells, cell)
	}
}
