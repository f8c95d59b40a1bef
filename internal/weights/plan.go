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
	"github.com/tamarindring/tamarindring/internal/table"
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
		d.planners, d.loadedVersions, d.serving = map[string]*wave.Planner{}, map[replicaModel]uint64{}, map[string]map[string]uint64{}
	}
	view := d.config.View()
	if view == nil {
		return 0
	}
	d.cancelObsoleteLoads(view)
	d.survey(ctx, view)
	measure := func(step func()) {
		began := d.config.Clock()
		step()
		spent += d.config.Clock() - began
	}
	var replicas map[string]map[string]uint64
	measure(func() {
		replicas = d.activeReplicas(view)
		readVersions = d.updatePlanners(replicas) || readVersions
	})
	if readVersions {
		d.startVersionRead(ctx, slices.Collect(maps.Keys(replicas)))
	}
	measure(func() { d.queueOrders(replicas) })
	if d.token != 0 || d.takeOver(ctx) {
		measure(func() { d.sendAll(ctx, view) })
	}
	measure(d.publish)
	return spent
}

// updatePlanners passes the reported versions to the planners, creates missing planners and reports whether it
// created any.
func (d *Driver) updatePlanners(replicas map[string]map[string]uint64) (added bool) {
	d.loadSlots = d.loadSlotsFor(replicas)
	now := d.config.Clock()
	for model, reports := range replicas {
		planner := d.planners[model]
		if planner == nil {
			planner = wave.New(wave.Config{MaxConcurrentSwaps: d.loadSlots, StageTime: 1, OldestFirst: true})
			d.planners[model] = planner
			added = true
		}
		planner.SetMaxConcurrentSwaps(d.loadSlots)
		planner.SetReplicas(slices.Collect(maps.Keys(reports)))
		for name, number := range reports {
			planner.Report(now, name, wave.Report{Version: wave.Version{Number: number}})
		}
	}
	return added
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
func (d *Driver) queueOrders(replicas map[string]map[string]uint64) {
	for model, reports := range replicas {
		d.queueModelOrders(model, d.planners[model], reports)
	}
}

// maxLoadSlots bounds the replicas that load at the same time, whatever the size of the fleet.
const maxLoadSlots = 64

// loadSlotsFor returns the number of replicas that may load at the same time.
func (d *Driver) loadSlotsFor(byModel map[string]map[string]uint64) int {
	holders := map[string]bool{}
	for _, replicas := range byModel {
		for name := range replicas {
			holders[name] = true
		}
	}
	share := int(math.Round(d.config.ConcurrentLoadShare * float64(len(holders))))
	return min(max(share, d.config.MaxConcurrentLoads), maxLoadSlots)
}

// activeReplicas returns the last reported version of each active replica by model. It also removes the state of
// instances that were removed or have restarted.
func (d *Driver) activeReplicas(view *table.View) map[string]map[string]uint64 {
	found := map[string]map[string]uint64{}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for instance, models := range d.reportedVersions {
		row := view.Backend(instance)
		if view.HasRestarted(instance) || row != nil && row.State == table.Removed {
			d.forget(instance)
			continue
		}
		if row == nil {
			continue
		}
		for _, one := range models {
			if found[one.Model] == nil {
				found[one.Model] = map[string]uint64{}
			}
			if row.State == table.Active {
				found[one.Model][instance] = one.Number
			}
		}
	}
	return found
}

// forget removes the state of an instance that was removed or has ended. The caller holds the mutex.
func (d *Driver) forget(instance string) {
	delete(d.reportedVersions, instance)
	delete(d.reported, instance)
	delete(d.surveyedAt, instance)
	maps.DeleteFunc(d.loadedVersions, func(key replicaModel, _ uint64) bool { return key.replica == instance })
}

// queueModelOrders queues the next orders of a planner. These replicas have no staging, so stage orders are answered
// as done without being sent. The answer names the version that the replica serves according to its last load or its
// last report, whichever is newer.
func (d *Driver) queueModelOrders(model string, planner *wave.Planner, reports map[string]uint64) {
	now := d.config.Clock()
	d.serving[model] = make(map[string]uint64, len(reports))
	for name, number := range reports {
		d.serving[model][name] = max(number, d.loadedVersions[replicaModel{name, model}])
	}
	for _, order := range planner.Next(now) {
		if order.Kind == wave.Stage {
			serving := d.serving[model][order.Replica]
			planner.Answered(now, order.ID, wave.Answer{Outcome: wave.Done, Serving: serving})
			continue
		}
		d.queue = append(d.queue, queuedOrder{model, order})
	}
	for _, order := range planner.Next(now + 1) {
		d.queue = append(d.queue, queuedOrder{model, order})
	}
}
