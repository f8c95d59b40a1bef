package fleet

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	emulator "github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/standin/application"
	"github.com/tamarindring/tamarindring/internal/standin/engine"
)

const (
	leastFaultPause  = 300 * time.Millisecond
	mostFaultPause   = 900 * time.Millisecond
	leastFaultTime   = 300 * time.Millisecond
	mostFaultTime    = 2500 * time.Millisecond
	leastCutTime     = 3 * time.Second // cut duration, beyond every lease and beyond inForceBound
	mostCutTime      = 4 * time.Second
	faultsEnd        = 4 * time.Second // all is repaired this long before the end of the load
	faultProbability = 0.2             // per call, while a misbehaviour is switched on
	slowStoreReads   = 3.0             // per second
	slowStoreRead    = 300 * time.Millisecond
)

// fault is a kind of failure of one kind of part.
type fault struct {
	role      string
	maxFaulty int  // concurrently faulty parts of the role
	long      bool // lasts beyond every lease
	// begin injects the fault into a part. It returns the part's name, a description of the fault and the function
	// that repairs it. An empty name means that no part was available.
	begin func(*faultPlan) (name, what string, repair func(context.Context) error)
}

// faultPlan draws the faults of a run.
type faultPlan struct {
	fleet     *fleet
	random    *rand.Rand
	faults    []fault
	remaining []int // faults still to come before any is repeated

	mutex   sync.Mutex
	faulty  map[string]map[string]bool // names of the faulty parts, by role
	errors  []error
	running sync.WaitGroup
}

func newFaultPlan(f *fleet) *faultPlan {
	made := &faultPlan{fleet: f, random: rand.New(rand.NewSource(f.config.Seed)), faulty: map[string]map[string]bool{}}
	made.faults = []fault{
		{"control", 1, false, killOne(f.control)},
		{"control", 1, true, cutOne(f.control)},
		{"control", 2, false, killOne(f.control)}, // the quorum is lost for a while
		{"gateway", 2, false, killOne(f.gateways)},
		{"gateway", 2, true, cutOne(f.gateways)},
		{"engine", 3, false, crashEngine},
		{"engine", 3, false, cutOne(withoutLeaving(f.engines))},
		{"engine", 3, false, failSwap},
		{"engine", 3, false, disturbStreams},
		{"application", 2, false, crashApplication},
		{"application", 2, false, disturbCalls},
		{"weight-store", 1, false, throttleStore},
		{"coordinator", 2, false, killOne(f.rollouts.coordinators)},
		{"coordinator", 2, true, cutOne(f.rollouts.coordinators)},
		{"scorer", 1, false, stallScorer},
	}
	return made
}

// run injects faults until ctx ends or its deadline is near, then waits until all are repaired.
func (p *faultPlan) run(ctx context.Context) error {
	deadline, limited := ctx.Deadline()
	for pause(ctx, p.between(leastFaultPause, mostFaultPause)) {
		if limited && time.Until(deadline) < faultsEnd {
			break
		}
		p.next(context.WithoutCancel(ctx))
	}
	p.running.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return trace.NewAggregate(p.errors...)
}

func (p *faultPlan) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.random.Int63n(int64(most-least)))
}

// draw returns the next fault whose role has fewer than maxFaulty faulty parts. Each fault occurs once before any is
// repeated.
func (p *faultPlan) draw() (fault, bool) {
	if len(p.remaining) == 0 {
		p.remaining = p.random.Perm(len(p.faults))
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for position, index := range p.remaining {
		if drawn := p.faults[index]; len(p.faulty[drawn.role]) < drawn.maxFaulty {
			p.remaining = slices.Delete(p.remaining, position, position+1)
			return drawn, true
		}
	}
	return fault{}, false
}

// next injects a fault if one is possible now.
func (p *faultPlan) next(ctx context.Context) {
	drawn, possible := p.draw()
	if !possible {
		return
	}
	lasting := p.between(leastFaultTime, mostFaultTime)
	if drawn.long {
		lasting = p.between(leastCutTime, mostCutTime)
	}
	name, what, repair := drawn.begin(p)
	if name == "" {
		return
	}
	p.fleet.events.add("%s %s for %s", name, what, lasting.Round(time.Millisecond))
	p.setFaulty(drawn.role, name, true)
	p.running.Go(func() {
		pause(ctx, lasting)
		ctx, cancel := context.WithTimeout(ctx, startLimit)
		defer cancel()
		if err := repair(ctx); err != nil {
			p.mutex.Lock()
			p.errors = append(p.errors, fmt.Errorf("%s %s: %w", name, what, err))
			p.mutex.Unlock()
		}
		p.fleet.events.add("%s is repaired", name)
		p.setFaulty(drawn.role, name, false)
	})
}

func (p *faultPlan) setFaulty(role, name string, troubled bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.faulty[role] == nil {
		p.faulty[role] = map[string]bool{}
	}
	if troubled {
		p.faulty[role][name] = true
	} else {
		delete(p.faulty[role], name)
	}
}

// drawHealthy draws a part that is not faulty, or returns nil if there is none.
func drawHealthy[S server](p *faultPlan, parts []*process[S]) *process[S] {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, index := range p.random.Perm(len(parts)) {
		troubled := false
		for _, names := range p.faulty {
			troubled = troubled || names[parts[index].name]
		}
		if !troubled {
			return parts[index]
		}
	}
	return nil
}

// killOne stops a part abruptly. The repair starts it again with the data on its disk.
func killOne[S server](parts []*process[S]) func(*faultPlan) (string, string, func(context.Context) error) {
	return func(p *faultPlan) (string, string, func(context.Context) error) {
		part := drawHealthy(p, parts)
		if part == nil {
			return "", "", nil
		}
		killed := part.kill()
		return part.name, "is killed", func(ctx context.Context) error {
			return trace.NewAggregate(killed, part.start(ctx))
		}
	}
}

// cutOne cuts the cable of a part in one direction or both.
func cutOne[S server](parts []*process[S]) func(*faultPlan) (string, string, func(context.Context) error) {
	return func(p *faultPlan) (string, string, func(context.Context) error) {
		part := drawHealthy(p, parts)
		if part == nil {
			return "", "", nil
		}
		kinds := []struct {
			in, out bool
			what    string
		}{{true, true, "is cut off"}, {true, false, "hears nothing"}, {false, true, "is not heard"}}
		drawn := kinds[p.random.Intn(len(kinds))]
		part.cable.cut(drawn.in, drawn.out)
		return part.name, drawn.what, func(context.Context) error {
			part.cable.repair()
			return nil
		}
	}
}

// withoutLeaving returns the back ends without the last one, which leaves by plan.
func withoutLeaving[S server](parts []*process[S]) []*process[S] { return parts[:len(parts)-1] }

func drawHealthyEngine(p *faultPlan) (*process[*engine.Server], bool) {
	part := drawHealthy(p, withoutLeaving(p.fleet.engines))
	return part, part != nil
}

// crashEngine makes an engine lose its requests and its memory. It restarts with the weight version that it served.
func crashEngine(p *faultPlan) (string, string, func(context.Context) error) {
	part, ok := drawHealthyEngine(p)
	if !ok {
		return "", "", nil
	}
	version, number := part.current.Served()
	part.current.Crash()
	return part.name, "crashes", func(context.Context) error {
		part.current.Restart(version, number)
		return nil
	}
}

// failSwap makes an engine's next weight swap fail in one of the known ways.
func failSwap(p *faultPlan) (string, string, func(context.Context) error) {
	part, ok := drawHealthyEngine(p)
	if !ok {
		return "", "", nil
	}
	failures := []emulator.SwapFailure{emulator.SwapKeepsOld, emulator.SwapLosesWeights, emulator.SwapReportsFalseSuccess}
	part.current.FailNextSwap(failures[p.random.Intn(len(failures))])
	return part.name, "will fail its next swap", func(context.Context) error { return nil }
}

// disturbStreams cuts streamed answers of an engine and duplicates parts of them.
func disturbStreams(p *faultPlan) (string, string, func(context.Context) error) {
	part, ok := drawHealthyEngine(p)
	if !ok {
		return "", "", nil
	}
	part.current.SetFaults(engine.Faults{CutProbability: faultProbability, CutCleanly: p.random.Intn(2) == 0, DuplicateProbability: faultProbability})
	return part.name, "cuts and doubles streams", func(context.Context) error {
		part.current.SetFaults(engine.Faults{})
		return nil
	}
}

// crashApplication closes an application replica's connections. Requests that had begun to run count as run.
func crashApplication(p *faultPlan) (string, string, func(context.Context) error) {
	part := drawHealthy(p, withoutLeaving(p.fleet.applications))
	if part == nil {
		return "", "", nil
	}
	part.current.Crash()
	return part.name, "crashes", func(context.Context) error {
		part.current.Restart()
		return nil
	}
}

// disturbCalls closes connections before and after runs, and rejects calls.
func disturbCalls(p *faultPlan) (string, string, func(context.Context) error) {
	part := drawHealthy(p, withoutLeaving(p.fleet.applications))
	if part == nil {
		return "", "", nil
	}
	part.current.SetFaults(application.Faults{RefuseProbability: faultProbability, CrashAfterRunProbability: faultProbability,
		CrashBeforeRunProbability: faultProbability})
	return part.name, "loses calls and answers", func(context.Context) error {
		part.current.SetFaults(application.Faults{})
		return nil
	}
}

func stallScorer(p *faultPlan) (string, string, func(context.Context) error) {
	p.fleet.scorer.current.Stall(mostFaultTime)
	return p.fleet.scorer.name, "stalls", func(context.Context) error { return nil }
}

func throttleStore(p *faultPlan) (string, string, func(context.Context) error) {
	store := p.fleet.store
	store.current.SetReads(slowStoreReads, 1, slowStoreRead)
	return store.name, "throttles", func(context.Context) error {
		store.current.SetReads(0, 0, storeReadTime)
		return nil
	}
}
