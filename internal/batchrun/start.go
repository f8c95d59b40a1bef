package batchrun

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/executorclient"
	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/recovery"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// spareConnections is the number of connections to a replica that are allowed above its slots, for connections that are
// still closing while others open.
const spareConnections = 2

// errNotAdmitted ends a call before it is sent, because the lease has expired or the table no longer permits it.
var errNotAdmitted = errors.New("batchrun: the lease or the table no longer permits the call")

// call is one run of an item. Its goroutine owns the stream and the text until it sends the call to
// termRunner.endedCalls.
type call struct {
	schedule.Start
	item       *wire.JobItem
	tenant     string // of the job
	text       *text
	stream     *stream
	isStopping bool   // its job has ended; counted in termRunner.stoppingCalls
	cancel     func() // stops the run, in this process or at an executor
	startedAt  time.Duration
	zone       string // of the replica, if executors may drive the run; empty otherwise
	// tableVersion is the version of the table that the run was scheduled with.
	tableVersion uint64
	takenOver    *executorclient.Held                    // a run that an earlier leader started; nil: a new run
	executor     atomic.Pointer[executorclient.Executor] // drives the run; nil: this node
	stopReason   stopReason                              // set by the loop when it stops the run
	move         schedule.Move                           // set with stopMoved
	outcome      replica.Outcome
	ending       schedule.Ending
	version      uint64          // last weight version that the replica reported; 0: unknown
	result       *wire.JobResult // set if the call completed its item

	guardRun *poisonguard.Run // nil: not permitted, or there is no guard
	judgment poison.Judgment  // why the run was not permitted, if guardRun is nil
}

// wholeResult returns the call's result with its complete text, including the part that checkpoints have committed.
func (c *call) wholeResult() *wire.JobResult {
	return batch.Completed(c.Item, c.text.data, c.text.versions)
}

// startRuns starts all items that the scheduler and the lease allow to start now.
func (t *termRunner) startRuns(ctx context.Context) {
	if len(t.jobs) == 0 {
		t.stopLeftoverRuns()
		return
	}
	view, ok := t.config.Session.AdmitView()
	if !ok {
		return
	}
	if t.view == nil || view.Version() != t.view.Version() {
		t.applyTable(view)
	}
	t.takeOverRuns(ctx)
	t.updateServing(t.config.Clock())
	if now := t.config.Clock(); t.mustAwaitServing(now) || t.mustAwaitExecutors(now) {
		return
	}
	for _, start := range t.scheduler.Starts(t.config.Clock()) {
		if t.stoppingCalls[start.Item] > 0 {
			t.postpone(start.Key)
			continue
		}
		t.start(ctx, start)
	}
	t.reportTurns()
}

// stoppingPause is the delay before an item is scheduled again whose run for an ended job is still being stopped.
const stoppingPause = 10 * time.Millisecond

// postpone reverts a scheduled start. A job may contain items whose runs for the previous job are still being stopped.
// Started now, such an item would run at two replicas at once, and from the beginning, because the text of the previous
// run is cached only once that run has ended.
func (t *termRunner) postpone(key schedule.Key) {
	now := t.config.Clock()
	t.scheduler.Ended(now, key, schedule.Stopped, 0)
	t.scheduler.Hold(key, now+stoppingPause, schedule.HeldFormerRun)
}

// start starts a run of an item. The run resumes after the item's partial text, or after a cached one of an ended job,
// if the job's version constraints allow it.
func (t *termRunner) start(ctx context.Context, start schedule.Start) {
	openJob := t.jobs[start.Job]
	entry := openJob.items[start.Item]
	minimum, single := openJob.submit.GetMinVersion(), openJob.submit.GetSingleVersion()
	if entry.text == nil {
		if cached := t.runner.textCache.take(openJob.submit.GetTenant(), entry.wire); cached != nil && cached.fits(minimum, single) {
			entry.text = cached
		}
	}
	if entry.text == nil || !entry.text.fits(minimum, single) {
		entry.text = newText()
	}
	t.commitBeforeRun(start, entry.text)
	t.startCall(ctx, &call{Start: start, item: entry.wire, tenant: openJob.submit.GetTenant(), text: entry.text})
}

// startCall registers a call and runs it in a new goroutine.
func (t *termRunner) startCall(ctx context.Context, started *call) {
	start, openJob := started.Start, t.jobs[started.Job]
	entry := openJob.items[start.Item]
	started.startedAt, started.zone, started.tableVersion = t.config.Clock(), t.zoneOf(start), t.view.Version()
	started.stream = &stream{
		clock: t.config.Clock, minVersion: openJob.submit.GetMinVersion(), singleVersion: openJob.submit.GetSingleVersion(), item: start.Item,
		text: started.text, firstNewID: started.firstNewEvent(),
		checkpointer: checkpointer{
			interval: t.config.Checkpoint,
			commit:   func(partial *wire.JobPartial) { t.committer.add(pendingEntry{job: start.Job, partial: partial}) },
		},
	}
	started.stream.parser.VersionField = t.config.VersionField
	t.calls[start.Key] = started
	entry.timing.startRun(started.startedAt)
	if openJob.countStart(started.startedAt) {
		t.runner.metrics.firstRunWait.WithLabelValues().Observe((started.startedAt - openJob.openedAt).Seconds())
	}
	t.logStart(started)
	callContext, cancel := context.WithCancelCause(ctx)
	started.cancel = func() { cancel(executorclient.ErrStop) }
	t.runner.metrics.itemsRunning.Inc()
	t.routines.Go(func() {
		defer t.runner.metrics.itemsRunning.Dec()
		defer cancel(nil)
		t.runRecovered(callContext, started)
		if started.ending == schedule.Completed {
			started.result = batch.CompletedAfter(started.Item, started.text.data, started.text.committed, started.text.versions)
		}
		t.endedCalls <- started
	})
}

// runRecovered carries out a call. A panic in it becomes a broken run.
func (t *termRunner) runRecovered(ctx context.Context, c *call) {
	err := recovery.Do(t.config.Log, c.Item, "run of an item", func() { t.run(ctx, c) })
	if err != nil {
		c.outcome, c.ending = replica.Outcome{Verdict: verdict.MayHaveRun, Err: err}, schedule.Broken
	}
}

// run carries out a call and records how it ended.
func (t *termRunner) run(ctx context.Context, c *call) {
	if c.text.whole {
		c.ending = schedule.Completed
		return
	}
	if !t.permit(ctx, c) {
		c.ending = schedule.Stopped
		return
	}
	request := t.replicaCall(c)
	request.Admit = func() error {
		if !t.isAdmitted(c) {
			return errNotAdmitted
		}
		return nil
	}
	outcome := t.driveRun(ctx, c, request)
	c.outcome = outcome
	if outcome.Verdict == verdict.DidNotRun {
		c.stream.storeLoadReport(outcome.Load, loadreport.FromRefusal)
	}
	c.version = c.stream.version
	c.ending = c.endingOf(outcome, request.ExpectedVersion > 0)
	if ctx.Err() != nil && c.ending != schedule.Completed {
		c.ending = schedule.Broken // the loop stopped the run, and the scheduler knows why
	}
	if errors.Is(c.stream.fault, errTooLong) {
		*c.text = *newText() // bytes that are no answer filled it, so no run could complete it
	}
	if errors.Is(c.stream.fault, errMixedVersion) || c.stream.singleVersion && request.ExpectedVersion > 0 && outcome.Refused == replica.RefusedWrongTarget {
		*c.text = *newText() // the replica no longer has the weight version that generated it
	}
	c.text.whole = c.ending == schedule.Completed
}

// endingOf classifies the end of a run that the loop did not stop. Runs that were rejected by this node or lost with
// their executor are not counted against the replica. expected is whether the call required a weight version.
func (c *call) endingOf(outcome replica.Outcome, expected bool) schedule.Ending {
	switch refusal := executor.RefusedAs(outcome.Err); {
	case errors.Is(outcome.Err, errNotAdmitted), refusal == executor.NotPermitted:
		return schedule.Stopped
	case errors.Is(outcome.Err, executorclient.ErrLost), errors.Is(outcome.Err, executor.ErrNotHeld), refusal != executor.Accepted:
		return schedule.Lost
	}
	return c.stream.ending(outcome, expected)
}

// isAdmitted checks the lease and the table again, immediately before a call is sent.
func (t *termRunner) isAdmitted(c *call) bool {
	view, ok := t.config.Session.AdmitView()
	return ok && PermitsRun(view, t.config.Route, c.item, &wire.RunTarget{Instance: c.Instance, Address: c.Address, Pool: c.Pool})
}

// PermitsRun reports whether a table permits an item to run at a replica. The back end must be serving under the
// target's instance, address and pool, and the item's route must include that pool.
func PermitsRun(view *table.View, routeOf RouteFunc, item *wire.JobItem, target *wire.RunTarget) bool {
	row := view.Backend(target.GetInstance())
	if row == nil || !row.Serving() || row.Address != target.GetAddress() || row.Pool != target.GetPool() {
		return false
	}
	found, matched := routeOf(view, item.GetHost(), item.GetPath())
	return matched && slices.ContainsFunc(found.Pools, func(share schedule.Share) bool { return share.Pool == target.GetPool() })
}

// replicaCall returns the request that runs an item at its replica.
func (t *termRunner) replicaCall(c *call) *replica.Call {
	request := &replica.Call{
		Target: replica.Target{Instance: c.Instance, Address: c.Address}, AttemptID: c.item.GetId(),
		Method: c.item.GetMethod(), Path: c.item.GetPath(), Host: c.item.GetHost(), Tenant: c.tenant, Body: c.item.GetBody(),
		Urgency: c.Urgency, ResumeAfter: c.text.lastID, MaxConnections: c.Slots + spareConnections,
		ExpectedVersion: c.ExpectedVersion,
	}
	for _, header := range c.item.GetHeaders() {
		request.Header = append(request.Header, replica.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	if c.stream.singleVersion && len(c.text.versions) > 0 {
		request.ExpectedVersion = c.text.versions[0]
	}
	return request
}

// reportProgress passes a call's progress and its replica's load report to the scheduler.
func (t *termRunner) reportProgress(c *call) {
	if report := c.stream.loadReport.Swap(nil); report != nil {
		t.scheduler.Reported(c.Instance, *report)
	}
	if driving := c.executor.Load(); driving != nil {
		// LastReportAt is read before the progress, so that it does not cover a report whose events the progress lacks.
		t.scheduler.SetHeardUntil(c.Key, driving.LastReportAt())
	} else if t.fleet != nil {
		// This node drives the run itself, possibly after an executor rejected it.
		t.scheduler.SetHeardUntil(c.Key, t.config.Clock())
	}
	events, last, version := c.stream.progress()
	t.scheduler.Progress(c.Key, events, last, version)
}

// handleCallEnd updates the scheduler, the guard, metrics and logs after the end of a call. It lists the result of a
// finished item, and caches the text of one whose job has ended.
func (t *termRunner) handleCallEnd(ctx context.Context, c *call) {
	delete(t.calls, c.Key)
	t.uncountStopping(c)
	t.reportProgress(c)
	events, _, _ := c.stream.progress()
	if c.stopReason == stopMoved && c.ending == schedule.Broken {
		c.ending = schedule.Moved
	}
	if openJob := t.jobs[c.Job]; openJob != nil {
		openJob.countEnd(c.ending)
	}
	t.timingOf(c.Key).endRun(t.config.Clock()-c.startedAt, events)
	next := t.scheduler.Ended(t.config.Clock(), c.Key, c.ending, c.version)
	t.reportToGuard(ctx, c)
	t.runner.metrics.observeRun(c.ending, t.config.Clock()-c.startedAt)
	t.logEnd(c, events, next)
	switch next {
	case schedule.Done:
		t.finish(c.Key, c.result, c.wholeResult)
	case schedule.GivenUp:
		t.terminate(c.Key, giveUpReason(c.ending))
	case schedule.ToScore:
		t.scoreText(ctx, c)
	case schedule.Forgotten:
		if c.stopReason == stopJobEnded {
			t.runner.textCache.store(c.tenant, c.item, c.text)
		}
	}
}

// expectedLength returns the expected answer length of an item in tokens: the estimate in its length header, or else
// its token limit. estimated is true if it is the estimate.
func (t *termRunner) expectedLength(entry *wire.JobItem) (tokens uint64, estimated bool) {
	if hint, err := strconv.ParseUint(headerValue(entry, t.config.LengthHeader), 10, 64); err == nil {
		return hint, true
	}
	return entry.GetTokens(), false
}

// promptTokens returns the prompt length of an item in tokens, or 0 if the item does not tell it.
func (t *termRunner) promptTokens(entry *wire.JobItem) uint64 {
	text, _, _ := strings.Cut(headerValue(entry, t.config.UsageHeader), ",")
	tokens, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return min(tokens, entry.GetTokens())
}

// headerValue returns the value of an item's header, or "" if the item has no such header.
func headerValue(entry *wire.JobItem, name string) string {
	for _, field := range entry.GetHeaders() {
		if name != "" && strings.EqualFold(field.GetName(), name) {
			return field.GetValue()
		}
	}
	return ""
}
