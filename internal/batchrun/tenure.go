package batchrun

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/executorclient"
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
