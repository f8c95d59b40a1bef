package experiment

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/defaults"
)

// Options controls the execution of a scenario.
type Options struct {
	// Parallel is the number of runs that execute concurrently. Default 4.
	Parallel int
	// Progress, if not nil, is called every ProgressInterval with the progress of all runs. All calls come from one
	// goroutine.
	Progress func(Progress)
	// ProgressInterval is the wall-clock time between two calls of Progress. Default 2s.
	ProgressInterval time.Duration
}

// Progress describes how much of an experiment is complete.
type Progress struct {
	// RunsDone is the number of completed runs out of Runs.
	RunsDone, Runs int
	// Virtual is the virtual time simulated so far out of Total, each summed over the runs.
	Virtual, Total time.Duration
}

const defaultParallel = 4

// Execute runs every policy with every seed. The report's content, including the order of its runs, does not depend
// on options. If a run fails or ctx ends, Execute returns the error of the first failed run and no report.
func Execute(ctx context.Context, scenario Scenario, options Options) (*Report, error) {
	defaults.Set(&options.Parallel, defaultParallel)
	defaults.Set(&options.ProgressInterval, 2*time.Second)
	set := newRunSet(&scenario)
	stop := set.reportProgress(options)
	var group sync.WaitGroup
	for range min(options.Parallel, len(set.runs)) {
		group.Add(1)
		go func() {
			defer group.Done()
			set.executePending(ctx)
		}()
	}
	group.Wait()
	stop()
	for _, err := range set.errors {
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return newReport(&scenario, set.runs), nil
}

// runSet holds the runs of one experiment and their progress. Its slices are indexed by run: policy by policy, and
// by seed within a policy.
type runSet struct {
	scenario      *Scenario
	nextRun       atomic.Int64
	completedRuns atomic.Int64
	simulated     []atomic.Int64 // virtual time simulated by each run
	runs          []Run
	errors        []error
}

func newRunSet(scenario *Scenario) *runSet {
	count := len(scenario.Policies) * len(scenario.Seeds)
	return &runSet{scenario: scenario, simulated: make([]atomic.Int64, count), runs: make([]Run, count), errors: make([]error, count)}
}

// executePending executes runs that no other worker has taken, until none is left.
func (b *runSet) executePending(ctx context.Context) {
	for {
		index := int(b.nextRun.Add(1)) - 1
		if index >= len(b.runs) {
			return
		}
		b.runs[index], b.errors[index] = b.run(ctx, index)
		b.completedRuns.Add(1)
	}
}

func (b *runSet) run(ctx context.Context, index int) (Run, error) {
	policy := &b.scenario.Policies[index/len(b.scenario.Seeds)]
	seed := b.scenario.Seeds[index%len(b.scenario.Seeds)]
	started := time.Now()
	instance, err := newSimulation(b.scenario, policy, seed)
	if err != nil {
		return Run{}, err
	}
	if err := instance.run(ctx, func(now time.Duration) { b.simulated[index].Store(int64(now)) }); err != nil {
		return Run{}, err
	}
	b.simulated[index].Store(int64(b.scenario.Duration))
	return newRun(instance, time.Since(started)), nil
}

// reportProgress calls options.Progress periodically until the returned function is called.
func (b *runSet) reportProgress(options Options) (stop func()) {
	if options.Progress == nil {
		return func() {}
	}
	stopRequested, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(options.ProgressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stopRequested:
				return
			case <-ticker.C:
				options.Progress(b.progress())
			}
		}
	}()
	return func() {
		close(stopRequested)
		<-stopped
	}
}

func (b *runSet) progress() Progress {
	progress := Progress{RunsDone: int(b.completedRuns.Load()), Runs: len(b.runs), Total: b.scenario.Duration * time.Duration(len(b.runs))}
	for index := range b.simulated {
		progress.Virtual += time.Duration(b.simulated[index].Load())
	}
	return progress
}
