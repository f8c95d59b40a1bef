package weights

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/table"
)

const (
	// firstReportDelay is the time from an order until the replica's first status request, and reportInterval the time
	// between further ones. The interval is short because the load slot stays occupied until the end of the load is
	// noticed.
	firstReportDelay = 900 * time.Millisecond
	reportInterval   = 50 * time.Millisecond
	// executionGrace is the time after an order from which a report without an order in progress means that the order
	// was not executed. Earlier reports may be older than the order.
	executionGrace = 2100 * time.Millisecond
)

// orderState is the state of an order according to a report of its replica.
type orderState uint8

const (
	pending orderState = iota
	finished
	notExecuted
)

// evaluateReport returns the state of an order given the result of a status request that was sent the given time
// after it.
func evaluateReport(order *Order, after time.Duration, report Report, err error) orderState {
	switch {
	case err == nil && report.Serving >= order.Number:
		return finished
	case errors.Is(err, ErrRestarted):
		return notExecuted
	case (err != nil || !report.Busy) && after >= executionGrace:
		return notExecuted
	}
	return pending
}

// startLoad executes an order in the background. The order occupies its replica until it ends, and a load slot until
// the load is expected to be over or the order ends, whichever is first.
func (d *Driver) startLoad(ctx context.Context, next queuedOrder, row *table.Row) {
	order := Order{Model: next.model, Number: next.order.Version.Number, Fence: d.token}
	order.Instance, order.Address = row.Instance, row.Address
	ctx, cancel := context.WithTimeout(ctx, d.config.LoadTimeout)
	one := &load{driver: d, order: order, expectedTime: d.recentLoads.expected(), cancel: cancel}
	d.setLoading(row.Instance, next.model)
	d.slotHolders[row.Instance], d.activeLoads[row.Instance] = one, one
	began := d.config.Clock()
	logging.Emit(d.config.Log, &events.OrderSent{Replica: row.Instance, Model: next.model, Version: order.Number, Token: d.token,
		Loading: len(d.slotHolders), Most: d.loadSlots, Waiting: len(d.queue)})
	d.background.Go(func() {
		defer cancel()
		serving, err := one.run(ctx)
		d.results <- loadResult{next, order.Fence, serving, err, d.config.Clock() - began, one.loadTime}
	})
}

// cancelObsoleteLoads cancels loads whose replica has restarted, and so frees their slots. Behind a network partition
// the loads themselves can't notice the restart.
func (d *Driver) cancelObsoleteLoads(view *table.View) {
	for instance, active := range d.activeLoads {
		if view.HasRestarted(instance) {
			active.cancel()
		}
	}
}

// load is an order in progress.
type load struct {
	driver       *Driver
	order        Order
	expectedTime time.Duration // expected time of a load; 0 if unknown
	cancel       context.CancelFunc
	loadTime     time.Duration // time from the acceptance until the replica reported the end; 0 if it was not observed
}

// run executes the order and returns the version that the replica then serves.
func (l *load) run(ctx context.Context) (uint64, error) {
	config, order := &l.driver.config, &l.order
	report, err := config.Sender.Report(ctx, order.Target, order.Model)
	if err != nil {
		return 0, err
	}
	if report.Serving >= order.Number {
		return report.Serving, nil
	}
	accepted := false
	if !report.Busy {
		order.ExpectedOrders = report.OrdersAccepted
		if !config.IsLeader() {
			return 0, trace.ConnectionProblem(nil, "this process leads no more")
		}
		answer, err := config.Sender.Order(ctx, *order)
		if err != nil {
			return 0, err
		}
		if answer == AlreadyServing {
			return order.Number, nil
		}
		accepted = answer == OrderAccepted
	}
	return l.await(ctx, accepted)
}

// await polls the replica until it serves the version. If the order was accepted, its load slot is freed once the
// expected load time is over.
func (l *load) await(ctx context.Context, accepted bool) (uint64, error) {
	config := &l.driver.config
	orderedAt := config.Clock()
	if accepted && l.expectedTime > 0 {
		release := time.AfterFunc(l.expectedTime, l.signalExpectedEnd)
		defer release.Stop()
	}
	timer := time.NewTimer(firstReportDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-timer.C:
		}
		sentAt := config.Clock()
		report, err := config.Sender.Report(ctx, l.order.Target, l.order.Model)
		switch evaluateReport(&l.order, sentAt-orderedAt, report, err) {
		case finished:
			if accepted {
				l.loadTime = sentAt - orderedAt
			}
			return report.Serving, nil
		case notExecuted:
			return 0, trace.ConnectionProblem(err, "the order was not carried out")
		}
		timer.Reset(reportInterval)
	}
}

// signalExpectedEnd tells Run that the expected load time is over. If Run is too busy to receive the signal, the slot
// is freed when the order ends.
func (l *load) signalExpectedEnd() {
	select {
	case l.driver.slotReleases <- l:
	default:
	}
}

// releaseSlot frees the load slot of a load, if the load still occupies it.
func (d *Driver) releaseSlot(holder *load) {
	if d.slotHolders[holder.order.Instance] == holder {
		delete(d.slotHolders, holder.order.Instance)
	}
}
