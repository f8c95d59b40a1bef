package weights

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/table"
)

const (
	// firstLook is how long after an order its replica is asked for the first time, and nextLook the pause
	// until each further question: places are few, and the next replica waits for the place.
	firstLook = 900 * time.Millisecond
	nextLook  = 50 * time.Millisecond
	// carriedOutWithin is how long after an order an account without an order under way counts as not carried
	// out: a replica's account may be older than the order.
	carriedOutWithin = 2100 * time.Millisecond
)

// progress is what a replica's account says of an order.
type progress uint8

const (
	pending progress = iota
	finished
	notCarriedOut
)

// judge says how an order stands by the answer to a question asked some time after it.
func judge(order *Order, after time.Duration, report Report, err error) progress {
	switch {
	case err == nil && report.Serving >= order.Number:
		return finished
	case (err != nil || !report.Busy) && after >= carriedOutWithin:
		return notCarriedOut
	}
	return pending
}

func (d *Driver) start(ctx context.Context, next queued, row *table.Row) {
	d.busy[row.Name] = next.model
	order := Order{Model: next.model, Number: next.order.Version.Number, Fence: d.token}
	order.Instance, order.Address = row.Name, row.Address
	began := d.config.Clock()
	logging.Emit(d.config.Log, &events.OrderSent{Replica: row.Name, Model: next.model, Version: order.Number, Token: d.token,
		Loading: len(d.busy), Most: d.places, Waiting: len(d.queue)})
	d.orders.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, d.config.LoadTimeout)
		defer cancel()
		serving, err := d.load(ctx, order)
		d.done <- loaded{next, order.Fence, serving, err, d.config.Clock() - began}
	})
}

// load carries one order through and returns the version that the replica then serves.
func (d *Driver) load(ctx context.Context, order Order) (uint64, error) {
	report, err := d.config.Sender.Report(ctx, order.Target, order.Model)
	if err != nil {
		return 0, err
	}
	if report.Serving >= order.Number {
		return report.Serving, nil
	}
	if !report.Busy {
		order.Expected = report.Taken
		if !d.config.Leading() {
			return 0, trace.ConnectionProblem(nil, "this process leads no more")
		}
		answer, err := d.config.Sender.Order(ctx, order)
		if err != nil {
			return 0, err
		}
		if answer == Holds {
			return order.Number, nil
		}
	}
	return d.await(ctx, order)
}

// await asks the replica until it serves the version.
func (d *Driver) await(ctx context.Context, order Order) (uint64, error) {
	ordered := d.config.Clock()
	timer := time.NewTimer(firstLook)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-timer.C:
		}
		asked := d.config.Clock()
		report, err := d.config.Sender.Report(ctx, order.Target, order.Model)
		switch judge(&order, asked-ordered, report, err) {
		case finished:
			return report.Serving, nil
		case notCarriedOut:
			return 0, trace.ConnectionProblem(err, "the order was not carried out")
		}
		timer.Reset(nextLook)
	}
}
