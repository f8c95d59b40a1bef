package experiment

import (
	"strconv"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/wave"
)

// firstVersion is what the engines serve at the start.
const firstVersion = 1

// laggardPatience is how long a replica that does not serve the newest weights keeps them from counting as
// available to rollouts, as in the coordinator.
const laggardPatience = 10 * time.Second

// weightVersion is one content of the replicas: the newest weights of every trainer. Engines know its
// number only.
type weightVersion struct {
	released time.Duration
	trainers []uint64 // version number per trainer
	serving  int      // replicas that serve it or a newer one
}

// weightRollout brings new weights to all replicas: it carries out the orders of the production planner.
type weightRollout struct {
	simulation *simulation
	planner    *wave.Planner
	versions   []weightVersion // by number
	replicas   []replicaWeights
	fetching   int
	complete   func()
}

// replicaWeights is what the rollout knows about one replica.
type replicaWeights struct {
	served  uint64 // as verified
	fetched uint64 // on the machine
	order   uint64 // under way; 0 when none
	swap    bool   // the order is a swap
}

// fence is the token of all orders: one run has one owner of the pool.
const fence = 1

func newWeightRollout(s *simulation) *weightRollout {
	settings := &s.scenario.Weights
	w := &weightRollout{
		simulation: s, versions: make([]weightVersion, firstVersion+1), replicas: make([]replicaWeights, len(s.replicas)),
		planner: wave.New(wave.Config{
			SwapShare: float64(settings.SwapShare) / 100, StageTime: s.scenario.Fleet.Engine.StageTime,
		}),
	}
	w.versions[firstVersion] = weightVersion{trainers: make([]uint64, len(s.scenario.Trainers)), serving: len(s.replicas)}
	names := make([]string, len(s.replicas))
	for index, r := range s.replicas {
		names[index] = r.name
		w.replicas[index] = replicaWeights{served: firstVersion, fetched: firstVersion}
	}
	w.planner.SetReplicas(names)
	return w
}

// newest is the number of the newest released weights.
func (w *weightRollout) newest() uint64 { return uint64(len(w.versions) - 1) }

// trainerVersion is a trainer's version number in served weights.
func (w *weightRollout) trainerVersion(number uint64, trainer int) uint64 {
	return w.versions[number].trainers[trainer]
}

// release makes a trainer's new version the target of all replicas.
func (w *weightRollout) release(trainer int, version uint64) {
	trainers := append([]uint64(nil), w.versions[w.newest()].trainers...)
	trainers[trainer] = version
	w.versions = append(w.versions, weightVersion{released: w.simulation.now, trainers: trainers})
	w.planner.Release(w.simulation.now, w.name(w.newest()))
	w.drive()
}

func (w *weightRollout) name(number uint64) wave.Version {
	return wave.Version{Name: strconv.FormatUint(number, 10), Number: number}
}

// drive carries out the orders that are due.
func (w *weightRollout) drive() {
	for _, order := range w.planner.Next(w.simulation.now) {
		r := w.simulation.replica(order.Replica)
		state := &w.replicas[r.index]
		state.order, state.swap = order.ID, order.Kind == wave.Swap
		delay := w.simulation.scenario.Fleet.ZoneDelay
		switch {
		case r.down:
			w.answer(r, order.ID, delay, wave.Answer{Outcome: wave.Failed})
		case order.Kind == wave.Stage:
			w.fetch(r, order)
		default:
			w.swap(r, order)
		}
	}
}

// answer brings the end of an order back, unless a crash has ended it before.
func (w *weightRollout) answer(r *replica, order uint64, delay time.Duration, answer wave.Answer) {
	state := &w.replicas[r.index]
	w.simulation.after(delay, func() {
		if state.order != order {
			return
		}
		state.order = 0
		w.planner.Answered(w.simulation.now, order, answer)
		if answer.Outcome == wave.Done && state.swap {
			w.verified(r, answer.Serving)
		}
		w.drive()
	})
}

// fetch brings the weights to the machine: from the store, or from replicas that have them, which take as
// many streams as there are.
func (w *weightRollout) fetch(r *replica, order wave.Order) {
	state := &w.replicas[r.index]
	settings := &w.simulation.scenario.Weights
	if w.fetching >= settings.StoreStreams+w.holders(order.Version.Number) {
		w.answer(r, order.ID, 0, wave.Answer{Outcome: wave.Throttled, RetryAfter: settings.FetchTime})
		return
	}
	w.fetching++
	w.simulation.after(settings.FetchTime, func() {
		w.fetching--
		answer := wave.Answer{Outcome: wave.Done}
		if r.down || r.engine.StageWeights(w.simulation.now, order.Version.Number, fence) != nil {
			answer.Outcome = wave.Failed
		} else {
			state.fetched = order.Version.Number
			w.simulation.wakeForEvent(r)
		}
		w.answer(r, order.ID, 0, answer)
	})
}

// holders is how many replicas can pass weights on.
func (w *weightRollout) holders(number uint64) int {
	count := 0
	for index := range w.replicas {
		if w.replicas[index].fetched == number {
			count++
		}
	}
	return count
}

func (w *weightRollout) swap(r *replica, order wave.Order) {
	w.simulation.advance(r)
	delay := w.simulation.scenario.Fleet.ZoneDelay
	if r.engine.SwapWeights(w.simulation.now, order.Version.Number, fence) != nil {
		w.answer(r, order.ID, delay, wave.Answer{Outcome: wave.Failed})
		return
	}
	if load := r.engine.Load(w.simulation.now); load.Version == order.Version.Number && !load.Refusing {
		w.answer(r, order.ID, delay, wave.Answer{Outcome: wave.Done, Serving: load.Version})
		return
	}
	w.simulation.wakeForEvent(r)
}

// swapEnded answers the order with the version that the replica serves: only that tells whether a swap that
// is reported as done really is.
func (w *weightRollout) swapEnded(r *replica) {
	state := &w.replicas[r.index]
	w.simulation.interruptOnSwap(r)
	if state.order != 0 && state.swap {
		w.answer(r, state.order, w.simulation.scenario.Fleet.ZoneDelay, wave.Answer{Outcome: wave.Done, Serving: r.engine.Version()})
	}
}

// verified notes the version that a replica really serves.
func (w *weightRollout) verified(r *replica, version uint64) {
	state := &w.replicas[r.index]
	for number := state.served + 1; number <= version; number++ {
		w.versions[number].serving++
		if w.versions[number].serving == len(w.replicas) {
			w.simulation.measure.weightsServed(w.simulation.now, w.simulation.now-w.versions[number].released)
		}
	}
	state.served = version
	if w.complete != nil {
		w.complete()
	}
}

// report passes a replica's load report on to the planner.
func (w *weightRollout) report(r *replica, load engine.Load) {
	w.planner.Report(w.simulation.now, r.name, wave.Report{
		Version: w.name(load.Version), Staged: load.Staged, Refusing: load.Refusing,
	})
}

// crashed ends the order that is under way at a replica.
func (w *weightRollout) crashed(r *replica) {
	state := &w.replicas[r.index]
	if state.order != 0 {
		w.answer(r, state.order, w.simulation.scenario.Fleet.ZoneDelay, wave.Answer{Outcome: wave.Failed})
	}
	if w.complete != nil {
		w.complete()
	}
}

// restarted reads what a replica that is back serves.
func (w *weightRollout) restarted(r *replica) { w.verified(r, r.engine.Version()) }

// available is the oldest version of a trainer that a replica serves which is up and no laggard: what
// starts now is made by this version or a newer one.
func (w *weightRollout) available(trainer int) uint64 {
	oldest := w.newest()
	if w.simulation.now >= w.versions[oldest].released+laggardPatience {
		return w.trainerVersion(oldest, trainer)
	}
	for index, r := range w.simulation.replicas {
		if !r.down {
			oldest = min(oldest, w.replicas[index].served)
		}
	}
	return w.trainerVersion(oldest, trainer)
}

// spreading says that new weights are on their way to some replica.
func (w *weightRollout) spreading() bool { return w.versions[w.newest()].serving < len(w.replicas) }

// everywhere says that all replicas that are up serve the newest weights.
func (w *weightRollout) everywhere() bool {
	for index, r := range w.simulation.replicas {
		if !r.down && w.replicas[index].served < w.newest() {
			return false
		}
	}
	return true
}
