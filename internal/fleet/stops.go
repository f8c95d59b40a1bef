package fleet

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/workload/caller"
)

const (
	firstStop = 2 * time.Second
	// directoryLag is how long callers still use a gateway that has begun to stop.
	directoryLag = 100 * time.Millisecond
	// settleTime is the wait after each restart until the requests affected by the stop have ended.
	settleTime = time.Second
)

// plannedStops drains and restarts one part of each role, one after another, and lets one engine and one application
// replica leave. No request may fail meanwhile.
func (f *fleet) plannedStops(ctx context.Context, calls *caller.Caller) error {
	if !pause(ctx, firstStop) {
		return nil
	}
	f.leaveBackends()
	stops := []struct {
		name string
		stop func(context.Context) error
	}{
		{"gateway-2", f.restartGateway},
		{"control-1", func(ctx context.Context) error { return restart(ctx, f.control[0]) }},
		{"coordinator-1", f.rollouts.restartFirst},
	}
	for _, planned := range stops {
		before := calls.Stats()
		f.events.add("planned stop of %s", planned.name)
		if err := planned.stop(context.WithoutCancel(ctx)); err != nil {
			return err
		}
		f.events.add("%s is back", planned.name)
		running := pause(ctx, settleTime)
		f.examineStop(planned.name, before, calls.Stats())
		if !running {
			return nil
		}
	}
	return nil
}

func restart[S server](ctx context.Context, part *process[S]) error {
	if err := part.drain(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	return part.start(ctx)
}

// restartGateway restarts the second gateway. Callers stop using it after directoryLag.
func (f *fleet) restartGateway(ctx context.Context) error {
	part := f.gateways[1]
	forget := time.AfterFunc(directoryLag, func() { f.directory.remove(part.address) })
	defer forget.Stop()
	if err := restart(ctx, part); err != nil {
		return err
	}
	forget.Stop()
	f.directory.add(part.address)
	return nil
}

// leaveBackends makes the last engine and the last application replica leave.
func (f *fleet) leaveBackends() {
	engine, application := f.engines[len(f.engines)-1], f.applications[len(f.applications)-1]
	engine.current.Leave()
	f.evidence.recordLeave(time.Now(), engine.name)
	application.current.Leave()
	f.evidence.recordLeave(time.Now(), application.name, narrowRow(application.name))
	f.events.add("%s and %s leave", engine.name, application.name)
}

// examineStop compares the callers' statistics from before and after a planned stop. Every call that ended in between
// must have been answered, and no attempt cut off.
func (f *fleet) examineStop(name string, before, after caller.Stats) {
	for index, source := range after.Sources {
		earlier := before.Sources[index]
		if source.Name == sourceBursts {
			source.Refused = earlier.Refused // the narrow pool rejects by its limits, independent of the stop
		}
		refused, lost, cut := source.Refused-earlier.Refused, source.Lost-earlier.Lost, source.Cut-earlier.Cut
		for count := range source.Requests - earlier.Requests {
			f.registry.Examine(invariant.PlannedStop, count >= refused+lost+cut, "calls of %s failed while %s stopped: %d refused, %d lost, %d cut; newest failure of the run: %v",
				source.Name, name, refused, lost, cut, last(source.FailedExamples))
		}
	}
}

func last(examples []string) string {
	if len(examples) == 0 {
		return "it was cut off and sent again"
	}
	return examples[len(examples)-1]
}

// pause waits for duration. It returns false if ctx ends first.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
