package experiment

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/defaults"
)

// Options are how a scenario is run.
type Options struct {
	// Parallel is how many runs go side by side. Default 4.
	Parallel int
	// Progress is told now and then, from one goroutine, how far all runs are. May be nil.
	Progress func(Progress)
	// ProgressInterval is the wall time between calls of Progress. Default 2s.
	ProgressInterval time.Duration
}

// Progress is how far an experiment is.
type Progress struct {
	RunsDone, Runs int
	// Virtual is the virtual time simulated so far, of Total, summed over the runs.
	Virtual, Total time.Duration
}

const defaultParallel = 4

// Execute runs every policy with every seed. The order of the runs in the report, and all of its content, do
// not depend on Options.
func Execute(ctx context.Context, scenario Scenario, options Options) (*Report, error) {
	defaults.Set(&options.Parallel, defaultParallel)
	defaults.Set(&options.ProgressInterval, 2*time.Second)
	batch := newBatch(&scenario)
	stop := batch.follow(options)
	var group sync.WaitGroup
	for range min(options.Parallel, len(batch.runs)) {
		group.Add(1)
		go func() {
			defer group.Done()
			batch.work(ctx)
		}()
	}
	group.Wait()
	stop()
	for _, err := range batch.errors {
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return newReport(&scenario, batch.runs), nil
}

// batch is all runs of one experiment.
type batch struct {
	scenario *Scenario
	next     atomic.Int64
	done     atomic.Int64
	virtual  []atomic.Int64 // time simulated, per run
	runs     []Run
	errors   []error
}

func newBatch(scenario *Scenario) *batch {
	count := len(scenario.Policies) * len(scenario.Seeds)
	return &batch{scenario: scenario, virtual: make([]atomic.Int64, count), runs: make([]Run, count), errors: make([]error, count)}
}

// work runs what nobody has taken yet.
func (b *batch) work(ctx context.Context) {
	for {
		index := int(b.next.Add(1)) - 1
		if index >= len(b.runs) {
			return
		}
		b.runs[index], b.errors[index] = b.run(ctx, index)
		b.done.Add(1)
	}
}

func (b *batch) run(ctx context.Context, index int) (Run, error) {
	policy := &b.scenario.Policies[index/len(b.scenario.Seeds)]
	seed := b.scenario.Seeds[index%len(b.scenario.Seeds)]
	started := time.Now()
	made, err := newSimulation(b.scenario, policy, seed)
	if err != nil {
		return Run{}, err
	}
	if err := made.run(ctx, func(now time.Duration) { b.virtual[index].Store(int64(now)) }); err != nil {
		return Run{}, err
	}
	b.virtual[index].Store(int64(b.scenario.Duration))
	return newRun(made, time.Since(started)), nil
}

// follow reports progress until the returned function is called.
func (b *batch) follow(options Options) (stop func()) {
	if options.Progress == nil {
		return func() {}
	}
	ended, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(options.ProgressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
				options.Progress(b.progress())
			}
		}
	}()
	return func() {
		close(ended)
		<-stopped
	}
}

func (b *batch) progress() Progress {
	progress := Progress{RunsDone: int(b.done.Load()), Runs: len(b.runs), Total: b.scenario.Duration * time.Duration(len(b.runs))}
	for index := range b.virtual {
		progress.Virtual += time.Duration(b.virtual[index].Load())
	}
	return progress
}
