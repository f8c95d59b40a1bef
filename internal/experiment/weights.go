package experiment

import (
	"strconv"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/wave"
)

// initialVersion is the weight version that all engines serve at the start.
const initialVersion = 1

// laggardTimeout limits how long after their release the newest weights are held back from rollouts by replicas that
// do not serve them yet. The production coordinator has the same limit.
const laggardTimeout = 10 * time.Second

// weightVersion is one combination of weights on a replica, with the newest weights of every trainer at its release.
// Engines know only its number.
type weightVersion struct {
	releasedAt      time.Duration
	trainerVersions []uint64 // weight version of each trainer
	serving         int      // number of replicas that serve this version or a newer one
}

// weightRollout distributes new weights to all replicas by executing the orders of the production planner.
type weightRollout struct {
	simulation    *simulation
	planner       *wave.Planner
	versions      []weightVersion // indexed by version number
	replicas      []replicaWeights
	activeFetches int
	onServed      func()
}

// replicaWeights is the rollout's state for one replica.
type replicaWeights struct {
	servedVersion  uint64 // last version that the replica is known to serve
	fetchedVersion uint64 // last version copied to the replica
	orderID        uint64 // ID of the order in progress, 0 if none
	orderIsSwap    bool   // whether the order in progress is a swap
}

// fencingToken is the token of all orders. It is constant because the pool has a single owner throughout a run.
const fencingToken = 1

func newWeightRollout(s *simulation) *weightRollout {
	settings := &s.scenario.Weights
	w := &weightRollout{
		simulation: s, versions: make([]weightVersion, initialVersion+1), replicas: make([]replicaWeights, len(s.replicas)),
		planner: wave.New(wave.Config{
			SwapShare: float64(settings.SwapShare) / 100, StageTime: s.scenario.Fleet.Engine.StageTime,
		}),
	}
	w.versions[initialVersion] = weightVersion{trainerVersions: make([]uint64, len(s.scenario.Trainers)), serving: len(s.replicas)}
	names := make([]string, len(s.replicas))
	for index, r := range s.replicas {
		names[index] = r.name
		w.replicas[index] = replicaWeights{servedVersion: initialVersion, fetchedVersion: initialVersion}
	}
	w.planner.SetReplicas(names)
	return w
}

// newest returns the number of the newest released weight version.
func (w *weightRollout) newest() uint64 { return uint64(len(w.versions) - 1) }

// trainerVersion returns the version of a trainer's weights within the weight version with the given number.
func (w *weightRollout) trainerVersion(number uint64, trainer int) uint64 {
	return w.versions[number].trainerVersions[trainer]
}

// release makes a trainer's new weights the target of all replicas.
func (w *weightRollout) release(trainer int, version uint64) {
	trainers := append([]uint64(nil), w.versions[w.newest()].trainerVersions...)
	trainers[trainer] = version
	w.versions = append(w.versions, weightVersion{releasedAt: w.simulation.now, trainerVersions: trainers})
	w.planner.Release(w.simulation.now, w.waveVersion(w.newest()))
	w.executeOrders()
}

func (w *weightRollout) waveVersion(number uint64) wave.Version {
	return wave.Version{Name: strconv.FormatUint(number, 10), Number: number}
}

// executeOrders executes the planner's orders that are due.
func (w *weightRollout) executeOrders() {
	for _, order := range w.planner.Next(w.simulation.now) {
		r := w.simulation.replica(order.Replica)
		state := &w.replicas[r.index]
		state.orderID, state.orderIsSwap = order.ID, order.Kind == wave.Swap
		delay := w.simulation.scenario.Fleet.ZoneDelay
		switch {
		case r.down:
			w.scheduleAnswer(r, order.ID, delay, wave.Answer{Outcome: wave.Failed})
		case order.Kind == wave.Stage:
			w.fetch(r, order)
		default:
			w.swap(r, order)
		}
	}
}

// scheduleAnswer reports the outcome of an order to the planner after a delay, unless the order has ended by then
// because of a crash.
func (w *weightRollout) scheduleAnswer(r *replica, order uint64, delay time.Duration, answer wave.Answer) {
	state := &w.replicas[r.index]
	w.simulation.after(delay, func() {
		if state.orderID != order {
			return
		}
		state.orderID = 0
		w.planner.Answered(w.simulation.now, order, answer)
		if answer.Outcome == wave.Done && state.orderIsSwap {
			w.recordServed(r, answer.Serving)
		}
		w.executeOrders()
	})
}

// fetch copies the weights to the replica, either from the store or from a replica that has them. Each such replica
// serves one copy in addition to the streams of the store. A fetch beyond these limits is throttled.
func (w *weightRollout) fetch(r *replica, order wave.Order) {
	state := &w.replicas[r.index]
	settings := &w.simulation.scenario.Weights
	if w.activeFetches >= settings.StoreStreams+w.countHolders(order.Version.Number) {
		w.scheduleAnswer(r, order.ID, 0, wave.Answer{Outcome: wave.Throttled, RetryAfter: settings.FetchTime})
		return
	}
	w.activeFetches++
	w.simulation.after(settings.FetchTime, func() {
		w.activeFetches--
		answer := wave.Answer{Outcome: wave.Done}
		if r.down || r.engine.StageWeights(w.simulation.now, order.Version.Number, fencingToken) != nil {
			answer.Outcome = wave.Failed
		} else {
			state.fetchedVersion = order.Version.Number
			w.simulation.wakeForEvent(r)
		}
		w.scheduleAnswer(r, order.ID, 0, answer)
	})
}

// countHolders returns the number of replicas that can serve copies of a weight version.
func (w *weightRollout) countHolders(number uint64) int {
	count := 0
	for index := range w.replicas {
		if w.replicas[index].fetchedVersion == number {
			count++
		}
	}
	return count
}

func (w *weightRollout) swap(r *replica, order wave.Order) {
	w.simulation.advance(r)
	delay := w.simulation.scenario.Fleet.ZoneDelay
	if r.engine.SwapWeights(w.simulation.now, order.Version.Number, fencingToken) != nil {
		w.scheduleAnswer(r, order.ID, delay, wave.Answer{Outcome: wave.Failed})
		return
	}
	if load := r.engine.Load(w.simulation.now); load.Version == order.Version.Number && !load.Refusing {
		w.scheduleAnswer(r, order.ID, delay, wave.Answer{Outcome: wave.Done, Serving: load.Version})
		return
	}
	w.simulation.wakeForEvent(r)
}

// handleSwapEnd answers a replica's swap order with the version that the replica actually serves, because a swap can
// be reported as done without having taken effect.
func (w *weightRollout) handleSwapEnd(r *replica) {
	state := &w.replicas[r.index]
	w.simulation.interruptOnSwap(r)
	if state.orderID != 0 && state.orderIsSwap {
		w.scheduleAnswer(r, state.orderID, w.simulation.scenario.Fleet.ZoneDelay, wave.Answer{Outcome: wave.Done, Serving: r.engine.Version()})
	}
}

// recordServed records the weight version that a replica actually serves.
func (w *weightRollout) recordServed(r *replica, version uint64) {
	state := &w.replicas[r.index]
	for number := state.servedVersion + 1; number <= version; number++ {
		w.versions[number].serving++
		if w.versions[number].serving == len(w.replicas) {
			w.simulation.measurement.recordWeightDelay(w.simulation.now, w.simulation.now-w.versions[number].releasedAt)
		}
	}
	state.servedVersion = version
	if w.onServed != nil {
		w.onServed()
	}
}

// reportLoad forwards a replica's load report to the planner.
func (w *weightRollout) reportLoad(r *replica, load engine.Load) {
	w.planner.Report(w.simulation.now, r.name, wave.Report{
		Version: w.waveVersion(load.Version), Staged: load.Staged, RefusesWork: load.Refusing,
	})
}

// handleCrash fails the order in progress at a crashed replica.
func (w *weightRollout) handleCrash(r *replica) {
	state := &w.replicas[r.index]
	if state.orderID != 0 {
		w.scheduleAnswer(r, state.orderID, w.simulation.scenario.Fleet.ZoneDelay, wave.Answer{Outcome: wave.Failed})
	}
	if w.onServed != nil {
		w.onServed()
	}
}

// handleRestart records the weight version that a restarted replica serves.
func (w *weightRollout) handleRestart(r *replica) { w.recordServed(r, r.engine.Version()) }

// availableVersion returns the oldest version of a trainer's weights on any replica that is up. A sample that starts
// now is generated with this version or a newer one. From laggardTimeout after the release of the newest weights,
// replicas that do not serve them yet are ignored.
func (w *weightRollout) availableVersion(trainer int) uint64 {
	oldest := w.newest()
	if w.simulation.now >= w.versions[oldest].releasedAt+laggardTimeout {
		return w.trainerVersion(oldest, trainer)
	}
	for index, r := range w.simulation.replicas {
		if !r.down {
			oldest = min(oldest, w.replicas[index].servedVersion)
		}
	}
	return w.trainerVersion(oldest, trainer)
}

// isUpdating reports whether some replica does not serve the newest weights yet.
func (w *weightRollout) isUpdating() bool { return w.versions[w.newest()].serving < len(w.replicas) }

// isServedEverywhere reports whether all replicas that are up serve the newest weights.
func (w *weightRollout) isServedEverywhere() bool {
	for index, r := range w.simulation.replicas {
		if !r.down && w.replicas[index].servedVersion < w.newest() {
			return false
		}
	}
	return true
}
