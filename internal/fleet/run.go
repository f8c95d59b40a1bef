package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/memlimit"
	"github.com/tamarindring/tamarindring/internal/rolecost"
	"github.com/tamarindring/tamarindring/internal/workload/caller"
)

const (
	progressInterval  = 2 * time.Second
	doubleProbability = 0.1
	maxKeptCalls      = 1 << 20
	// callerAttempts with their doubling pauses last longer than the election of a new leader of the control nodes.
	callerAttempts = 8
)

// Run starts the deployment, lets callers, trainers and an operator use it for config.Duration, stops it and returns
// the report. An error means that the run itself failed; violations of invariants are in the report.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	if config.Folder == "" {
		return nil, trace.BadParameter("a fleet needs a folder")
	}
	f := newFleet(config)
	recorder, err := rolecost.Start()
	if err != nil {
		return nil, err
	}
	report, err := f.run(ctx, recorder)
	if report == nil {
		_, _ = recorder.Stop()
	}
	return report, err
}

func (f *fleet) run(ctx context.Context, recorder *rolecost.Recorder) (report *Report, err error) {
	defer func() { err = trace.NewAggregate(err, f.stop(context.WithoutCancel(ctx))) }()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	deployment := f.config.Deployment
	fmt.Fprintf(f.config.Progress, "%s: %d control nodes, %d gateways, %d coordinators, %d engines, %d application replicas are up after %.1f s\n",
		deployment.Name, len(f.control), len(f.gateways), len(f.rollouts.coordinators), len(f.engines), len(f.applications), time.Since(f.started).Seconds())
	calls, err := f.newCaller()
	if err != nil {
		return nil, err
	}
	if err := f.load(ctx, calls); err != nil {
		return nil, err
	}
	resident := memlimit.ResidentBytes()
	cost, err := recorder.Stop()
	if err != nil {
		return nil, err
	}
	if err := f.examineEnd(ctx, calls); err != nil {
		return nil, err
	}
	return f.report(calls.Stats(), cost, resident), nil
}

func (f *fleet) newCaller() (*caller.Caller, error) {
	return caller.New(caller.Config{Gateways: f.directory.list, Workload: f.config.Deployment.callers(f.config.LiveRate, f.config.OperationRate),
		Seed: f.config.Seed, MaxAttempts: callerAttempts, DoubleProbability: doubleProbability, KeepCalls: maxKeptCalls, Log: f.log("callers")})
}

// load runs the load and the faults for the configured duration and waits for the outstanding answers.
func (f *fleet) load(ctx context.Context, calls *caller.Caller) error {
	loadContext, cancel := context.WithTimeout(ctx, f.config.Duration)
	defer cancel()
	collecting, stopCollecting := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCollecting()
	var collectors, acting sync.WaitGroup
	collectors.Go(func() { f.collect(collecting) })
	collectors.Go(func() { f.showProgress(collecting, calls) })
	operator := newTableOperator(f)
	acting.Go(func() { rolecost.Do(loadContext, "operator", operator.run) })
	acting.Go(func() { rolecost.Do(loadContext, "callers", func(ctx context.Context) { _ = calls.Run(ctx) }) })
	stopError := f.plannedStops(loadContext, calls)
	if stopError == nil && f.config.Faults {
		stopError = newFaultPlan(f).run(loadContext)
	}
	acting.Wait()
	f.rollouts.finish()
	stopCollecting()
	collectors.Wait()
	return stopError
}

func (f *fleet) showProgress(ctx context.Context, calls *caller.Caller) {
	for pause(ctx, progressInterval) {
		stats := calls.Stats()
		var steps uint64
		samples := 0
		for _, one := range f.rollouts.trainers {
			account := one.Stats()
			steps, samples = steps+account.Steps, samples+account.Samples
		}
		summary := f.registry.Summary()
		fmt.Fprintf(f.config.Progress, "%5.1f s: %d answers, live p99 %.0f ms, %d refused, %d samples, %d steps, table version %d, %d violations\n",
			time.Since(f.started).Seconds(), stats.Total.Answered, stats.Live.Latency.P99, stats.Total.Refused, samples, steps,
			f.evidence.table.latestVersion(), summary.Violations)
	}
}

// examineEnd examines what can only be told at the end.
func (f *fleet) examineEnd(ctx context.Context, calls *caller.Caller) error {
	f.examineAnswers(calls.Stats())
	f.examineVerdicts(calls.Calls(), f.runs)
	f.examineAnsweredKeys(calls.Calls())
	f.examineLateArrivals()
	for _, one := range f.rollouts.trainers {
		f.examineTrainer(one.Stats())
	}
	return f.examineHistory(context.WithoutCancel(ctx))
}
