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

// changeTimeout bounds one change until it is in force.
const changeTimeout = 30 * time.Second

// changes makes the table changes of one size, one after another at the configured pace.
func (r *run) changes(ctx context.Context, point *Point) error {
	interval := time.Duration(float64(time.Second) / r.config.ChangesPerSecond)
	var accepted, inForce, lastNode []time.Duration
	began := time.Now()
	for index := range r.config.Changes {
		if err := pause.For(ctx, time.Until(began.Add(time.Duration(index)*interval))); err != nil {
			return err
		}
		times, err := r.oneChange(ctx, index)
		if err != nil {
			point.Refused++
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

// changeTimes are one change's times: accepted counts from the request, the others from accepted.
type changeTimes struct {
	accepted time.Duration
	inForce  time.Duration
	lastNode time.Duration
}

func (r *run) oneChange(ctx context.Context, index int) (changeTimes, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	weight := strconv.Itoa(1 + (r.number % 999))
	sent := time.Now()
	change, err := r.change(ctx, []*wire.CellChange{{Row: rowName(index % r.config.Rows), Column: "weight", Value: weight}})
	if err != nil {
		return changeTimes{}, err
	}
	accepted := time.Now()
	if err := r.inForce(ctx, change); err != nil {
		return changeTimes{}, err
	}
	inForce := time.Now()
	last, err := r.fleet.progress.wait(ctx, r.version)
	if err != nil {
		return changeTimes{}, trace.Wrap(err, "not every node acted on table version %d", r.version)
	}
	return changeTimes{accepted: accepted.Sub(sent), inForce: inForce.Sub(accepted), lastNode: max(last.Sub(accepted), 0)}, nil
}

// summarise returns the quantiles of a few durations by the nearest rank.
func summarise(durations []time.Duration) Latency {
	if len(durations) == 0 {
		return Latency{}
	}
	slices.Sort(durations)
	rank := func(percent int) float64 {
		return millis(durations[(len(durations)*percent+99)/100-1])
	}
	return Latency{Count: len(durations), P50: rank(50), P99: rank(99), Max: rank(100)}
}
