package batchrun

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// leadershipPollInterval is how often a node that does not lead its ledger group checks whether it does.
	leadershipPollInterval = 100 * time.Millisecond
	// busyTickInterval is how often running calls, leadership and the table are checked while jobs are open, and
	// idleTickInterval while no job is open.
	busyTickInterval = 50 * time.Millisecond
	idleTickInterval = 200 * time.Millisecond
	// queryTimeout bounds one query to the ledger group.
	queryTimeout = time.Second
	// commitTimeout bounds the first attempt to commit results; see attemptTimeout for the following ones.
	commitTimeout = 2 * time.Second
	// maximumTextBytes is the largest answer of an item that is accepted.
	maximumTextBytes = batch.MaximumResultBytes
)

// Runner runs the items of a ledger group's batch jobs while its node leads the group.
type Runner struct {
	config       Config
	textCache    *textCache
	hasOpenJobs  atomic.Bool                             // this node leads and has open jobs to run
	demand       atomic.Pointer[map[string]uint64]       // see Demand; nil while this node does not run the jobs
	replicaRows  atomic.Pointer[map[string][]*table.Row] // back ends of the pools of open jobs, by pool; see Replicas
	orderNumber  atomic.Uint64                           // last number given to a stream or an order to an executor
	metrics      *runnerMetrics
	rewardCaller *rewardCaller
}

// New returns a Runner, which does nothing until Run is called. It returns an error if config lacks a group, a session
// or a caller.
func New(config Config) (*Runner, error) {
	if err := config.setDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	runner := &Runner{config: config, textCache: newTextCache(), metrics: newRunnerMetrics()}
	caller, err := newRewardCaller(&runner.config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	runner.rewardCaller = caller
	return runner, nil
}

// Busy reports whether this node leads the group and runs open jobs. It is safe for concurrent use.
func (r *Runner) Busy() bool { return r.hasOpenJobs.Load() }

// Demand returns, by model, the expected answer tokens of the newest job of that model. It returns nil while this node
// does not run the jobs. It is safe for concurrent use. Callers must not change the map.
func (r *Runner) Demand() map[string]uint64 {
	if demand := r.demand.Load(); demand != nil {
		return *demand
	}
	return nil
}

// Replicas returns the replicas that take items of the open jobs, according to the last table version that this node
// applied as leader. It is safe for concurrent use.
func (r *Runner) Replicas() []replica.Target {
	rows := r.replicaRows.Load()
	if rows == nil {
		return nil
	}
	var targets []replica.Target
	for pool, backends := range *rows {
		for _, serving := range replicasOf(pool, backends) {
			targets = append(targets, replica.Target{Instance: serving.Instance, Address: serving.Address})
		}
	}
	return targets
}

// Run runs the group's jobs whenever the node leads the group, until ctx ends. All calls have ended when it returns.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(leadershipPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if term, leading := r.config.Group.Leads(); leading {
			r.lead(ctx, term)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// lead runs the group's jobs until ctx ends or the node no longer leads in term. It waits for all calls to end.
func (r *Runner) lead(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work, err := r.queryOpenJobs(ctx, 0, r.config.Group.Query)
	if err != nil {
		logging.Emit(r.config.Log, &events.JobsUnread{Term: term, Cause: events.ErrorText(err)})
		return
	}
	logging.Emit(r.config.Log, &events.RunnerBegan{Term: term, Open: len(work.GetOpen()), Revision: work.GetRevision()})
	current := newTermRunner(r, term)
	if err := current.startExecutorFleet(ctx); err != nil {
		r.config.Log.WithError(err).Error("failed to create the executor client; this node drives all runs itself")
	}
	committed := make(chan struct{})
	go func() {
		defer close(committed)
		current.committer.run(ctx)
	}()
	current.applyOpenJobs(ctx, work)
	current.loop(ctx)
	ended := events.RunnerEnded{Term: term, Open: len(current.jobs), Running: len(current.calls)}
	cancel()
	current.wait(ctx)
	<-committed
	r.metrics.jobsOpen.Set(0)
	r.metrics.executors.Set(0)
	r.metrics.longestIdleWait.Set(0)
	r.hasOpenJobs.Store(false)
	r.demand.Store(nil)
	logging.Emit(r.config.Log, &ended)
}

// queryFunc sends a query to the ledger group. It is Group.Query or Group.LocalQuery.
type queryFunc func(ctx context.Context, query *wire.Query) (*wire.View, error)

// queryOpenJobs returns the ids of all open jobs, and the contents of those that were accepted after a revision.
func (r *Runner) queryOpenJobs(ctx context.Context, after uint64, query queryFunc) (*wire.JobWorkView, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	view, err := query(ctx, &wire.Query{Kind: &wire.Query_JobWork{JobWork: &wire.JobWorkQuery{AfterRevision: after}}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if view.GetJobWork() == nil {
		return nil, trace.BadParameter("the ledger group's answer to a job_work query has no job_work view")
	}
	return view.GetJobWork(), nil
}
