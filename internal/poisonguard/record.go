package poisonguard

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/batching"
	"github.com/tamarindring/tamarindring/internal/configure"
	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// maximumBatch bounds the steps of one change. An engine that crashes ends as many runs as it has slots.
	maximumBatch = 64
	// changeTimeout bounds the time for one change, including repetitions after conflicts.
	changeTimeout = time.Second
	// sendTimeout bounds how long a caller waits for a step, so that a control group without a leader does not delay a
	// harmless request for longer.
	sendTimeout = 150 * time.Millisecond
)

// pendingStep is a step that is queued for the record.
type pendingStep struct {
	poison.StepRequest
	outcome poison.Outcome // set before the call finishes
}

// send queues a step for the record, where it is batched with others, and returns its outcome. After an error it is
// unknown whether the step was or will be taken.
func (g *Guard) send(ctx context.Context, request poison.StepRequest) (poison.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	sent := &pendingStep{StepRequest: request}
	if err := g.queue.Do(ctx, sent); err != nil {
		g.counts.steps.WithLabelValues(request.Step.String(), "failed").Inc()
		return poison.Outcome{}, err
	}
	outcome := "taken"
	if !sent.outcome.Done {
		outcome = "overtaken"
	}
	g.counts.steps.WithLabelValues(request.Step.String(), outcome).Inc()
	g.logStep(request, sent.outcome)
	return sent.outcome, nil
}

// takeDistinct returns how many of the waiting steps, from the first, go into the next batch: at most maximumBatch, and
// none from the second step of the same suspect on.
func takeDistinct(waiting []*batching.Call[*pendingStep]) int {
	taken := map[poison.Digest]bool{}
	for count, call := range waiting {
		if count == maximumBatch || taken[call.Value.Digest] {
			return count
		}
		taken[call.Value.Digest] = true
	}
	return len(waiting)
}

// commit performs a batch of steps with one change of the table.
func (g *Guard) commit(batch []*batching.Call[*pendingStep]) (postponed []*batching.Call[*pendingStep]) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	requests := make([]poison.StepRequest, 0, len(batch))
	for _, call := range batch {
		requests = append(requests, call.Value.StepRequest)
	}
	outcomes, err := g.applySteps(ctx, requests)
	for position, call := range batch {
		if err == nil {
			call.Value.outcome = outcomes[position]
		}
		call.Finish(err)
	}
	return nil
}

// applySteps changes the table as the steps want. The change is planned on the view that this process follows. If that
// view is too old, because a cell has changed or a row to remove has gone, the change is planned again on the newest
// view.
func (g *Guard) applySteps(ctx context.Context, requests []poison.StepRequest) ([]poison.Outcome, error) {
	view := g.followedView()
	if !g.canRecord(view) {
		return nil, errNotRecorded
	}
	fresh := false
	for {
		if view == nil {
			var err error
			if view, err = configure.ReadView(ctx, g.config.Control, g.followedView()); err != nil {
				return nil, trace.Wrap(err)
			}
			fresh = true
		}
		planned := poison.Plan(view, requests, g.config.Settings)
		if !fresh && slices.ContainsFunc(planned.Outcomes, func(outcome poison.Outcome) bool { return !outcome.Changed }) {
			view = nil // only the newest view can show that a step needs no change
			continue
		}
		if len(planned.Change.Cells)+len(planned.Change.RemoveRows) == 0 {
			return planned.Outcomes, nil
		}
		planned.Change.ChangeId, planned.Change.Operator = rand.Text(), g.config.Operator
		result, _, err := g.config.Control.ChangeTable(ctx, planned.Change, false)
		switch {
		case err != nil:
			return nil, trace.Wrap(err)
		case result.GetOutcome() == wire.TableOutcome_TABLE_OUTCOME_ACCEPTED:
			return planned.Outcomes, nil
		case result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_CONFLICT && fresh:
			return nil, trace.BadParameter("the table refused a step of a suspect: %v", result.GetRefusals())
		}
		view = nil
	}
}

// errNotRecorded rejects a step while some process may not understand rows of suspects. The step is sent again later.
var errNotRecorded = trace.LimitExceeded("suspects cannot be recorded: a process of an older build would not understand their rows")

// canRecord reports whether suspects may be recorded. If the table has some already, every running build understands
// them.
func (g *Guard) canRecord(view *table.View) bool {
	return g.config.Recorded == nil || view != nil && len(view.Suspects()) > 0 || g.config.Recorded()
}

// followedView returns the table as this process follows it; nil before the first view.
func (g *Guard) followedView() *table.View {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.view
}
