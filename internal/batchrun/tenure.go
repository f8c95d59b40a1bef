package batchrun

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/executorclient"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/tenant"
	"github.com/tamarindring/tamarindring/internal/weights"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// termRunner runs the group's open jobs during one term of this node's leadership. Only its loop goroutine accesses it,
// except for the atomic fields and the channels through which the calls' goroutines report.
type termRunner struct {
	runner    *Runner
	config    *Config
	term      uint64
	scheduler *schedule.Scheduler
	committer *committer
	jobs      map[string]*job // open jobs by id
	revision  uint64          // of the group's jobs that were read last
	unread    bool            // the last attempt to read them failed

	hasStoredJobs  bool          // the group's state holds jobs, open or ended
	lastExpiryAt   time.Duration // up to when elapsed time was reported to the group, which counts it for retention
	expiring       atomic.Bool   // a JobExpire command is in flight
	fleetMetricsAt time.Duration // when the replica metrics were last updated
	// waitsReportedAt is when the items that wait beside idle replicas were last reported.
	waitsReportedAt time.Duration

	view            *table.View             // last table that the scheduler was updated from
	tenants         *tenant.Index           // tenants of view
	ownersTakeTurns bool                    // last logged state of the scheduler
	serving         *weights.Serving        // last serving report that the scheduler was updated from
	servedModels    map[string]bool         // models in any of these reports
	replicaRows     map[string][]*table.Row // back ends that the scheduler knows, by pool
	readyAt         time.Duration           // when this term could first have started items; 0: not yet

	calls map[schedule.Key]*call
	// stoppingCalls counts, by item id, the calls of ended jobs that are being stopped and have not ended yet.
	stoppingCalls map[string]int
	fleet         *executorclient.Fleet // nil: this node drives all runs itself
	endedCalls    chan *call

	// rewardCalls holds the reward calls in progress. Each is sent to endedRewardCalls when it ends.
	rewardCalls      map[schedule.Key]*rewardCall
	endedRewardCalls chan *rewardCall
	condemnedItems   chan schedule.Key // items whose reward calls are condemned requests
	routines         sync.WaitGroup
}

// job is an open job with the progress of its items under this leader. Times are readings of Config.Clock.
type job struct {
	submit   *wire.JobSubmit
	items    map[string]*item // by id
	openedAt time.Duration    // when this leader opened the job
	deadline time.Duration
	runs     runCounts
	listing  jobListing
}

type item struct {
	wire   *wire.JobItem
	text   *text // nil until the first run; owned by the item's running call, if there is one
	open   bool  // has no result yet
	timing itemTiming
	// suspicion is why the guard did not permit the item's last run. It is only valid while the item is held for that.
	suspicion suspicion
	// trialPause is the pause after the item's last trial, if that brought no answer and harmed nobody.
	trialPause time.Duration
}

// groupName returns the name of the item's group. An item without a group forms a group under its own id.
func (i *item) groupName() string { return cmp.Or(i.wire.GetGroup(), i.wire.GetId()) }

// stopReason is why the loop stopped a run or a reward call, as logs name it.
type stopReason string

const (
	stopJobEnded  stopReason = "job_ended"
	stopStalled   stopReason = "stalled"
	stopMoved     stopReason = "moved"     // another replica is faster
	stopRestarted stopReason = "restarted" // the replica process that ran the item has been replaced by a new one
	stopGivenUp   stopReason = "given_up"
)

// endedBuffer is the capacity of the channels through which calls report to the loop. Calls that end while the loop is
// busy don't block until the buffer is full.
const endedBuffer = 64

func newTermRunner(r *Runner, term uint64) *termRunner {
	return &termRunner{
		runner: r, config: &r.config, term: term, scheduler: schedule.New(r.config.Schedule),
		committer: newCommitter(&r.config, r.metrics), jobs: map[string]*job{},
		lastExpiryAt: r.config.Clock(), calls: map[schedule.Key]*call{}, servedModels: map[string]bool{}, stoppingCalls: map[string]int{}, endedCalls: make(chan *call, endedBuffer),
		rewardCalls: map[schedule.Key]*rewardCall{}, endedRewardCalls: make(chan *rewardCall, endedBuffer),
		condemnedItems: make(chan schedule.Key, endedBuffer),
	}
}

// loop starts runs and handles events until ctx ends or the node no longer leads in the term.
func (t *termRunner) loop(ctx context.Context) {
	timer := time.NewTimer(busyTickInterval)
	defer timer.Stop()
	for t.isLeader() {
		t.startRuns(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.config.Group.Changed():
			t.refresh(ctx)
		case ended := <-t.endedCalls:
			t.handleCallEnd(ctx, ended)
			t.drainEndedCalls(ctx)
		case call := <-t.endedRewardCalls:
			t.handleRewardCallEnd(call)
		case key := <-t.condemnedItems:
			t.scheduler.Condemn(key)
		case <-timer.C:
			t.tick(ctx)
			timer.Reset(t.tickInterval())
		}
	}
}

func (t *termRunner) isLeader() bool {
	term, leading := t.config.Group.Leads()
	return leading && term == t.term
}

func (t *termRunner) tickInterval() time.Duration {
	if len(t.jobs) > 0 {
		return busyTickInterval
	}
	return idleTickInterval
}

// drainEndedCalls handles all other calls that have ended, so that their slots are assigned in one scheduling pass.
func (t *termRunner) drainEndedCalls(ctx context.Context) {
	for {
		select {
		case ended := <-t.endedCalls:
			t.handleCallEnd(ctx, ended)
		default:
			return
		}
	}
}

// wait handles the remaining calls until all have ended. The caller must have cancelled their context.
func (t *termRunner) wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		t.routines.Wait()
		close(done)
	}()
	for {
		select {
		case ended := <-t.endedCalls:
			t.handleCallEnd(ctx, ended)
		case call := <-t.endedRewardCalls:
			t.handleRewardCallEnd(call)
		case <-done:
			return
		}
	}
}

// refresh reads which jobs were submitted and which have ended since the last time.
func (t *termRunner) refresh(ctx context.Context) {
	work, err := t.runner.queryOpenJobs(ctx, t.revision, t.config.Group.LocalQuery)
	t.unread = err != nil
	if err != nil {
		logging.Emit(t.config.Log, &events.JobsUnread{Term: t.term, Revision: t.revision, Cause: events.ErrorText(err)})
		return
	}
	t.applyOpenJobs(ctx, work)
}

// applyOpenJobs closes the jobs that have ended and opens the new ones.
func (t *termRunner) applyOpenJobs(ctx context.Context, work *wire.JobWorkView) {
	open := make(map[string]bool, len(work.GetOpen()))
	for _, id := range work.GetOpen() {
		open[id] = true
	}
	for id := range t.jobs {
		if !open[id] {
			t.closeJob(id)
		}
	}
	for _, taken := range work.GetJobs() {
		if t.jobs[taken.GetJob().GetId()] == nil {
			t.openJob(ctx, taken)
		}
	}
	t.revision, t.hasStoredJobs = work.GetRevision(), work.GetKept()
	t.runner.hasOpenJobs.Store(len(t.jobs) > 0)
}

// openJob adds a job to the scheduler. The queue TTL counts from now and not from the submitter's send time, so that a
// clock difference between machines never terminates items too early.
func (t *termRunner) openJob(ctx context.Context, taken *wire.JobWork) {
	submit, now := taken.GetJob(), t.config.Clock()
	added := &job{submit: submit, items: make(map[string]*item, len(submit.GetItems())), openedAt: now}
	described := schedule.Job{
		ID: submit.GetId(), Model: submit.GetModel(), MinVersion: submit.GetMinVersion(), Desired: int(submit.GetDesired()),
		MaxAttempts: int(submit.GetMaxAttempts()), OpenedAt: now, Deadline: now + millis(submit.GetDeadlineMillis()) - jobAge(submit),
		Tenant: submit.GetTenant(),
	}
	if submit.GetQueueTtlMillis() > 0 {
		described.GiveUp = now + millis(submit.GetQueueTtlMillis())
	}
	for _, entry := range submit.GetItems() {
		added.items[entry.GetId()] = &item{wire: entry, open: true}
		length, estimated := t.expectedLength(entry)
		described.Items = append(described.Items, schedule.Item{
			ID: entry.GetId(), Group: entry.GetGroup(), Length: length, Estimated: estimated, Prompt: t.promptTokens(entry),
			MaxTokens: entry.GetTokens() - t.promptTokens(entry),
			Scored:    needsScore(entry),
		})
	}
	for _, finished := range taken.GetFinished() {
		added.items[finished].open = false
	}
	for _, partial := range taken.GetPartials() {
		restored, err := restoreText(partial)
		if err != nil {
			t.config.Log.WithError(err).Error("failed to decode a committed partial text; its item restarts from the beginning")
			continue
		}
		added.items[partial.GetItem()].text = restored
	}
	added.deadline = described.Deadline
	t.jobs[submit.GetId()] = added
	t.logOpened(taken, added)
	unscored := make([]string, 0, len(taken.GetUnscored()))
	for _, committed := range taken.GetUnscored() {
		unscored = append(unscored, committed.GetItem())
	}
	t.scheduler.Open(described, taken.GetFinished(), unscored)
	t.beginListing(added)
	t.publishDemand(&described)
	t.resumeRewardCalls(ctx, submit.GetId(), taken.GetUnscored())
	t.view = nil // makes startRuns call applyTable, which routes the new items
}

// publishDemand publishes the expected tokens of a model's newest job. They stay published when the job ends, because
// the model's next job usually follows soon.
func (t *termRunner) publishDemand(opened *schedule.Job) {
	tokens := uint64(0)
	for _, entry := range opened.Items {
		tokens += entry.Length
	}
	demand := maps.Clone(t.runner.Demand())
	if demand == nil {
		demand = map[string]uint64{}
	}
	demand[opened.Model] = tokens
	t.runner.demand.Store(&demand)
}

func millis(value uint32) time.Duration { return time.Duration(value) * time.Millisecond }

// jobAge returns how long ago a job was sent, by the wall clocks of two machines. It is clamped to between 0 and the
// job's deadline.
func jobAge(submit *wire.JobSubmit) time.Duration {
	sent := time.UnixMilli(submit.GetSentUnixMillis())
	return min(max(0, time.Since(sent)), millis(submit.GetDeadlineMillis()))
}

// closeJob stops the running items of a job that has ended. Their texts are cached for a later job with the same items.
func (t *termRunner) closeJob(id string) {
	owner := t.jobs[id].submit.GetTenant()
	running := t.scheduler.End(id)
	for _, key := range running {
		t.stopEndedJobsCall(key)
	}
	t.logClosed(t.jobs[id], len(running))
	for _, entry := range t.jobs[id].items {
		t.stopRewardCall(schedule.Key{Job: id, Item: entry.wire.GetId()}, stopJobEnded)
		if t.calls[schedule.Key{Job: id, Item: entry.wire.GetId()}] == nil {
			t.runner.textCache.store(owner, entry.wire, entry.text)
		}
	}
	delete(t.jobs, id)
}

// stopEndedJobsCall stops a call whose job has ended, and counts it in stoppingCalls.
func (t *termRunner) stopEndedJobsCall(key schedule.Key) {
	if running := t.calls[key]; running != nil && !running.isStopping {
		running.isStopping = true
		t.stoppingCalls[key.Item]++
	}
	t.stopCall(key)
}

// uncountStopping removes a call that has ended from stoppingCalls, if stopEndedJobsCall counted it there.
func (t *termRunner) uncountStopping(c *call) {
	if !c.isStopping {
		return
	}
	if t.stoppingCalls[c.Item]--; t.stoppingCalls[c.Item] == 0 {
		delete(t.stoppingCalls, c.Item)
	}
}

// stopCall cancels a call, which then reports through endedCalls.
func (t *termRunner) stopCall(key schedule.Key) {
	if running := t.calls[key]; running != nil {
		running.stopReason = stopJobEnded
		running.cancel()
	}
}

// tick does the periodic work: progress of runs, stalled and slow runs, expired items, listings and metrics.
func (t *termRunner) tick(ctx context.Context) {
	t.runner.metrics.jobsOpen.Set(float64(len(t.jobs)))
	now := t.config.Clock()
	if t.unread {
		t.refresh(ctx)
	}
	t.updateFleetMetrics(now)
	t.reportWaits(now)
	t.updateServing(now)
	for _, running := range t.calls {
		t.reportProgress(running)
	}
	for _, key := range t.scheduler.Stalled(now) {
		if running := t.calls[key]; running != nil {
			running.stopReason = stopStalled
			running.cancel()
		}
	}
	for _, move := range t.scheduler.PlanMoves(now) {
		if running := t.calls[move.Key]; running != nil {
			running.stopReason, running.move = stopMoved, move
			running.cancel()
		}
	}
	for _, key := range t.scheduler.TerminateExpired(now) {
		t.terminate(key, whyTooOld)
	}
	for _, openJob := range t.jobs {
		t.updateExpectedEnd(openJob)
		t.releaseResults(openJob)
	}
	t.expireEndedJobs(ctx, now)
}

// updateServing passes the weight versions that the replicas serve to the scheduler, if there is a new report.
func (t *termRunner) updateServing(now time.Duration) {
	serving := t.config.Serving()
	if serving == nil || serving == t.serving || t.view == nil {
		return
	}
	update := serving.UpdateFrom(t.serving.Position())
	t.serving = serving
	if update.IsWhole() {
		t.scheduler.ForgetServedVersions()
	}
	update.Each(func(model, replica string, served weights.Served) {
		t.servedModels[model] = true
		t.setServed(model, replica, served, now)
	})
	t.scheduler.ConfirmServedVersions(now)
}

// setServed passes what a replica serves of a model to the scheduler.
func (t *termRunner) setServed(model, replica string, served weights.Served, now time.Duration) {
	if served.Version == 0 {
		t.scheduler.ForgetServedVersion(replica, model)
		return
	}
	t.scheduler.SetServedVersion(replica, model, served.Version, served.Loading, now)
}

// setServedOf passes what replicas that are new to the scheduler serve, since it may have been reported before.
func (t *termRunner) setServedOf(added []string) {
	now := t.config.Clock()
	for model := range t.servedModels {
		for _, replica := range added {
			t.setServed(model, replica, t.serving.Replica(model, replica), now)
		}
	}
}

// mustAwaitServing reports whether starts are delayed until the replicas' weight versions are known. A run at a replica
// whose weights are too old costs its item 0.1 s, and the next replica is chosen as blindly. Without the wait, a new
// leader of a fleet of 128 replicas made 170 such runs in its first two seconds, with the items closest to their latest
// start.
func (t *termRunner) mustAwaitServing(now time.Duration) bool {
	if t.readyAt == 0 {
		t.readyAt = now
	}
	return !t.serving.HasVersions() && now < t.readyAt+t.config.ServingWait
}

// terminate gives an item up and lists its terminated result.
func (t *termRunner) terminate(key schedule.Key, why string) {
	t.stopRewardCall(key, stopGivenUp)
	t.logTerminated(key, why)
	t.finish(key, &wire.JobResult{Item: key.Item, State: wire.JobItemState_JOB_ITEM_STATE_TERMINATED}, nil)
}

// finish records and lists an item's result. whole returns the result with its complete text, for the case that result
// refers to a committed checkpoint that the group does not hold; nil: result refers to none.
func (t *termRunner) finish(key schedule.Key, result *wire.JobResult, whole func() *wire.JobResult) {
	openJob := t.jobs[key.Job]
	if openJob == nil || !openJob.items[key.Item].open {
		return
	}
	openJob.items[key.Item].open, openJob.items[key.Item].timing.finishedAt = false, t.config.Clock()
	t.runner.metrics.observeResult(result.GetState(), t.config.Clock()-openJob.openedAt)
	if result.GetState() == wire.JobItemState_JOB_ITEM_STATE_COMPLETED {
		t.logCompleted(key, result.GetVersions())
	}
	t.list(openJob, pendingEntry{job: key.Job, result: result, wholeResult: whole})
}

// expireEndedJobs regularly reports the elapsed time to the group, which drops ended jobs past their retention. The
// time of a report that is lost is not reported again, so jobs are retained longer then.
func (t *termRunner) expireEndedJobs(ctx context.Context, now time.Duration) {
	if !t.hasStoredJobs || now-t.lastExpiryAt < expiryInterval(t.config.Retention) || !t.expiring.CompareAndSwap(false, true) {
		return
	}
	command := &wire.JobExpire{RetentionMillis: uint64(t.config.Retention.Milliseconds()),
		ElapsedMillis: uint64((now - t.lastExpiryAt).Milliseconds())}
	t.lastExpiryAt = now
	t.routines.Go(func() {
		defer t.expiring.Store(false)
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		if _, err := t.config.Group.Propose(ctx, &wire.Command{Kind: &wire.Command_JobExpire{JobExpire: command}}); err != nil {
			t.config.Log.WithError(err).Debug("failed to expire ended batch jobs")
		}
	})
	t.refresh(ctx)
}

// expiriesPerRetention is how many expiry commands are sent per retention time. An ended job may stay in memory for two
// expiry intervals beyond its retention.
const expiriesPerRetention = 32

// expiryInterval returns the time between two expiry commands.
func expiryInterval(retention time.Duration) time.Duration {
	return max(retention/expiriesPerRetention, time.Millisecond)
}
