package batchrun

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/executorclient"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// executorSurveyTimeout is the longest time for which a new leader delays starts while it waits for all executors to
// report the runs that they hold. Starting an item that is still running at an executor would run it twice. A healthy
// executor reports within this time.
const executorSurveyTimeout = 250 * time.Millisecond

// Reasons why a run that an earlier leader started is stopped instead of taken over, as logs name them.
const (
	whyJobEnded  = "job_ended"
	whyFinished  = "finished"    // its item has a result
	whyBrokeOff  = "broke_off"   // it has ended without a complete answer
	whyGap       = "gap"         // it resumed after an event that was never committed
	whyWeights   = "old_weights" // the partial text violates the job's version constraints
	whyRestarted = "replica_restarted"
	whyElsewhere = "runs_elsewhere"
)

// startExecutorFleet connects to the executors, if any are configured.
func (t *termRunner) startExecutorFleet(ctx context.Context) error {
	if t.config.Executors == nil {
		return nil
	}
	fleet, err := executorclient.New(executorclient.Config{
		Term: t.term, Leader: t.config.Node, Peers: t.config.Executors, LastNumber: &t.runner.orderNumber,
		OnIgnoredReport: t.runner.metrics.ignoredReports.Inc, Clock: t.config.Clock, Log: t.config.Log,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	t.fleet = fleet
	t.routines.Go(func() { fleet.Run(ctx) })
	return nil
}

// mustAwaitExecutors reports whether starts are delayed until the executors have reported the runs that they hold.
func (t *termRunner) mustAwaitExecutors(now time.Duration) bool {
	return t.fleet != nil && now < t.readyAt+executorSurveyTimeout && !t.fleet.IsSurveyed()
}

// zoneOf returns the zone of a run's replica, or "" if no executor may drive the run.
func (t *termRunner) zoneOf(start schedule.Start) string {
	row := t.view.Backend(start.Instance)
	if t.fleet == nil || row == nil {
		return ""
	}
	return row.Zone
}

// commitBeforeRun commits a partial text before a run resumes from it. Without the text, the next leader could not take
// over the run.
func (t *termRunner) commitBeforeRun(start schedule.Start, partial *text) {
	if t.fleet != nil && len(partial.data) > partial.committed {
		t.committer.add(pendingEntry{job: start.Job, partial: partial.takeCheckpoint(start.Item)})
	}
}

// driveRun carries out a call. A run that was taken over stays at its executor. Another one is driven by an executor
// near its replica, or by this node if there is no such executor or it is full or shutting down.
func (t *termRunner) driveRun(ctx context.Context, c *call, request *replica.Call) replica.Outcome {
	if c.takenOver != nil {
		c.executor.Store(c.takenOver.Executor())
		return c.takenOver.Do(ctx, c.stream)
	}
	var chosen *executorclient.Executor
	if c.zone != "" {
		chosen = t.fleet.ChooseExecutor(c.zone, c.Instance)
	}
	if chosen == nil {
		return t.config.Caller.Do(ctx, request, c.stream)
	}
	if err := request.Admit(); err != nil {
		return replica.Outcome{Verdict: verdict.DidNotRun, Err: err}
	}
	c.executor.Store(chosen)
	outcome := chosen.Do(ctx, c.runStart(request), c.stream)
	switch executor.RefusedAs(outcome.Err) {
	case executor.Full, executor.Leaving:
		c.executor.Store(nil)
		return t.config.Caller.Do(ctx, request, c.stream)
	}
	return outcome
}

// executorName returns the name of the executor that drives the run, or "" if this node drives it.
func (c *call) executorName() string {
	if driving := c.executor.Load(); driving != nil {
		return driving.Name()
	}
	return ""
}

// runStart returns the order to an executor to drive the run.
func (c *call) runStart(request *replica.Call) *wire.RunStart {
	return &wire.RunStart{
		Key:    &wire.RunKey{Job: c.Job, Item: c.Item},
		Target: &wire.RunTarget{Instance: c.Instance, Address: c.Address, Pool: c.Pool},
		Item:   c.item, Tenant: c.tenant, Urgency: int32(c.Urgency), ExpectedVersion: request.ExpectedVersion,
		ResumeAfter: request.ResumeAfter, MaxConnections: uint32(request.MaxConnections), MinVersion: c.stream.minVersion,
		TableVersion: c.tableVersion,
	}
}

// firstNewEvent returns the id of the first event that the text does not contain yet. A run that is taken over repeats
// events that the text contains.
func (c *call) firstNewEvent() int64 {
	if c.takenOver == nil {
		return 0
	}
	return c.text.lastID + 1
}

// takeOverRuns takes over the runs that earlier leaders left at executors, and stops those that can't be used.
func (t *termRunner) takeOverRuns(ctx context.Context) {
	if t.fleet == nil {
		return
	}
	for _, held := range t.fleet.TakeHeld() {
		why := t.takeOverRun(ctx, held)
		if why != "" {
			held.Stop()
		}
		logging.Emit(t.config.Log, &events.RunTakenOver{
			Job: held.GetKey().GetJob(), Item: held.GetKey().GetItem(), Replica: held.GetTarget().GetInstance(), Executor: held.Executor().Name(),
			Term: held.GetTerm(), Bytes: held.GetReceived(), Why: why,
		})
	}
}

// stopLeftoverRuns stops all runs that earlier leaders left at executors. It is called while no job is open.
func (t *termRunner) stopLeftoverRuns() {
	if t.fleet == nil {
		return
	}
	for _, held := range t.fleet.TakeHeld() {
		held.Stop()
	}
}

// takeOverRun takes over a run, or returns why it can't be used.
func (t *termRunner) takeOverRun(ctx context.Context, held executorclient.Held) (why string) {
	openJob := t.jobs[held.GetKey().GetJob()]
	if openJob == nil {
		return whyJobEnded
	}
	entry := openJob.items[held.GetKey().GetItem()]
	if entry == nil || !entry.open {
		return whyFinished
	}
	if held.GetEnded() && !held.GetWhole() {
		return whyBrokeOff
	}
	if entry.text == nil {
		entry.text = newText()
	}
	switch {
	case held.GetResumeAfter() > entry.text.lastID:
		return whyGap
	case !entry.text.fits(openJob.submit.GetMinVersion(), openJob.submit.GetSingleVersion()):
		return whyWeights
	case t.view.HasRestarted(held.GetTarget().GetInstance()):
		return whyRestarted
	}
	key := schedule.Key{Job: held.GetKey().GetJob(), Item: held.GetKey().GetItem()}
	start, adopted := t.scheduler.Adopt(key, held.GetTarget().GetInstance(), t.config.Clock())
	if !adopted {
		return whyElsewhere
	}
	t.startCall(ctx, &call{Start: start, item: entry.wire, tenant: openJob.submit.GetTenant(), text: entry.text, takenOver: &held})
	return ""
}
