package weights

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/wave"
)

// runCycle plans orders, sends them and publishes the serving state once, if this process leads. It returns the time
// spent on its own work, without the requests to the control group.
func (d *Driver) runCycle(ctx context.Context, readVersions bool) (spent time.Duration) {
	if !d.config.IsLeader() {
		d.dropToken()
		d.published.Store(nil)
		d.resetSurvey()
		return 0
	}
	if d.planners == nil {
		d.resetPlans()
	}
	view := d.config.View()
	if view == nil {
		return 0
	}
	d.cancelObsoleteLoads(view)
	measure := func(step func()) {
		began := d.config.Clock()
		step()
		spent += d.config.Clock() - began
	}
	measure(func() { readVersions = d.reviewReplicas(view) || readVersions })
	d.survey(ctx, view)
	if readVersions {
		d.startVersionRead(ctx, slices.Collect(maps.Keys(d.planners)))
	}
	measure(d.queueOrders)
	if d.token != 0 || d.takeOver(ctx) {
		measure(func() { d.sendAll(ctx, view) })
	}
	measure(d.publish)
	return spent
}

// resetPlans begins the plans of a leadership. All replicas that have reported are reviewed.
func (d *Driver) resetPlans() {
	d.planners, d.loadedVersions, d.served = map[string]*wave.Planner{}, map[replicaModel]uint64{}, newServingState()
	d.placed, d.seenRows, d.modelPools = map[string][]string{}, nil, map[string]bool{}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for instance := range d.reportedVersions {
		d.toReview[instance] = true
	}
}

// newestVersions holds the newest registered version of each model as of one read.
type newestVersions map[string]wave.Version

// startVersionRead reads the newest registered versions from the control group in the background and delivers them to
// Run through versionReads. A request during a read causes one more read after it. A single request takes a quorum
// round trip of some milliseconds: when the requests were sent one after the other, those for six models left free
// slots unused for a sixth of the time.
func (d *Driver) startVersionRead(ctx context.Context, models []string) {
	if d.versionReadRunning {
		d.readVersionsAgain = true
		return
	}
	d.versionReadRunning, d.readVersionsAgain = true, false
	d.background.Go(func() { d.versionReads <- d.readNewestVersions(ctx, models) })
}

// readNewestVersions reads the newest versions of the models concurrently. Models whose read fails are omitted.
func (d *Driver) readNewestVersions(ctx context.Context, models []string) newestVersions {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var mutex sync.Mutex
	var requests sync.WaitGroup
	versions := newestVersions{}
	for _, model := range models {
		requests.Go(func() {
			newest, err := NewestVersion(ctx, d.config.Control, model)
			if err != nil {
				d.config.Log.WithError(err).Debugf("failed to read the newest version of model %q", model)
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			versions[model] = newest
		})
	}
	requests.Wait()
	return versions
}

// setTargets sets the versions as the targets of their planners if they are newer.
func (d *Driver) setTargets(versions newestVersions) {
	d.versionReadRunning = false
	for model, newest := range versions {
		planner := d.planners[model]
		if planner == nil || newest.Number <= planner.Target().Number {
			continue
		}
		planner.Release(d.config.Clock(), newest)
		logging.Emit(d.config.Log, &events.VersionReleased{Model: model, Version: newest.Number, Replicas: planner.Status().Replicas})
	}
}

// queueOrders queues the next orders of all planners.
func (d *Driver) queueOrders() {
	now := d.config.Clock()
	for model, planner := range d.planners {
		for _, order := range planner.Next(now) {
			d.queue = append(d.queue, queuedOrder{model, order})
		}
	}
}

// maxLoadSlots bounds the replicas that load at the same time, whatever the size of the fleet.
const maxLoadSlots = 64

// loadSlotsFor returns how many of the replicas that serve models may load at the same time.
func (d *Driver) loadSlotsFor(replicas int) int {
	share := int(math.Round(d.config.ConcurrentLoadShare * float64(replicas)))
	return min(max(share, d.config.MaxConcurrentLoads), maxLoadSlots)
}

// forget removes the state of an instance that was removed or has ended.
func (d *Driver) forget(instance string) {
	d.withdraw(instance, nil)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, one := range d.reportedVersions[instance] {
		delete(d.loadedVersions, replicaModel{instance, one.Model})
	}
	delete(d.reportedVersions, instance)
	delete(d.reported, instance)
	delete(d.surveyedAt, instance)
}
