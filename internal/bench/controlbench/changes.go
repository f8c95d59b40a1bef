package controlbench

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// changeTimeout bounds the time from the request for a change until the last node has applied it.
const changeTimeout = 30 * time.Second

// measureChanges makes the table changes of one size, one after another at the configured rate, and stores their
// latencies in point. It ends at the first change that fails.
func (r *run) measureChanges(ctx context.Context, point *Point) error {
	interval := time.Duration(float64(time.Second) / r.config.ChangesPerSecond)
	var accepted, inForce, lastNode []time.Duration
	began := time.Now()
	for index := range r.config.Changes {
		if err := pause.For(ctx, time.Until(began.Add(time.Duration(index)*interval))); err != nil {
			return err
		}
		times, err := r.measureChange(ctx, index)
		if err != nil {
			point.Rejected++
			return err
		}
		accepted = append(accepted, times.accepted)
		inForce = append(inForce, times.inForce)
		lastNode = append(lastNode, times.lastNode)
	}
	point.Changes = r.config.Changes
	point.Accepted, point.InForce, point.LastNode = summarise(accepted), summarise(inForce), summarise(lastNode)
	return nil
}

// changeTimes contains the latencies of one change. accepted counts from the request, inForce and lastNode count from
// the response that the change is accepted.
type changeTimes struct {
	accepted time.Duration
	inForce  time.Duration
	lastNode time.Duration
}

// measureChange changes the weight of one back end and waits until the change is in force and the last node has applied
// it.
func (r *run) measureChange(ctx context.Context, index int) (changeTimes, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	weight := strconv.Itoa(1 + (r.changeNumber % 999))
	sent := time.Now()
	change, err := r.changeTable(ctx, []*wire.CellChange{{Row: rowName(index % r.config.Rows), Column: "weight", Value: weight}})
	if err != nil {
		return changeTimes{}, err
	}
	accepted := time.Now()
	if err := r.waitInForce(ctx, change); err != nil {
		return changeTimes{}, err
	}
	inForce := time.Now()
	last, err := r.fleet.progress.waitReached(ctx, r.tableVersion)
	if err != nil {
		return changeTimes{}, trace.Wrap(err, "not every node acted on table version %d", r.tableVersion)
	}
	return changeTimes{accepted: accepted.Sub(sent), inForce: inForce.Sub(accepted), lastNode: max(last.Sub(accepted), 0)}, nil
}

// summarise returns quantiles by the nearest-rank method. It sorts durations.
func summarise(durations []time.Duration) Latency {
	if len(durations) == 0 {
		return Latency{}
	}
	slices.Sort(durations)
	quantile := func(percent int) float64 {
		return millis(durations[(len(durations)*percent+99)/100-1])
	}
	return Latency{Count: len(durations), P50: quantile(50), P99: quantile(99), Max: quantile(100)}
}
