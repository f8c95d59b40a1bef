package experiment

import "time"

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

// weightRollout brings new weights to all replicas.
type weightRollout struct {
	simulation *simulation
	versions   []weightVersion // by number
	fence      uint64
	replicas   []replicaWeights
	swapping   int
	fetching   int
	complete   func()
}

// replicaWeights is what the rollout knows about one replica.
type replicaWeights struct {
	served   uint64 // as verified
	fetched  uint64 // on the machine
	fetching bool
	swapping bool
	epoch    int // rises with each crash, so that late news of before are dropped
}

func newWeightRollout(s *simulation) *weightRollout {
	w := &weightRollout{simulation: s, fence: 1, versions: make([]weightVersion, firstVersion+1)}
	w.versions[firstVersion] = weightVersion{trainers: make([]uint64, len(s.scenario.Trainers)), serving: len(s.replicas)}
	w.replicas = make([]replicaWeights, len(s.replicas))
	for index := range w.replicas {
		w.replicas[index] = replicaWeights{served: firstVersion, fetched: firstVersion}
	}
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
	w.continueRollout()
}

// continueRollout starts as many fetches and swaps as are allowed now.
func (w *weightRollout) continueRollout() {
	for _, r := range w.simulation.replicas {
		w.fetch(r)
		w.swap(r)
	}
}

func (w *weightRollout) fetch(r *replica) {
	state := &w.replicas[r.index]
	settings := &w.simulation.scenario.Weights
	if r.down || state.fetching || state.fetched == w.newest() || w.fetching >= settings.StoreStreams+w.holders() {
		return
	}
	version, epoch := w.newest(), state.epoch
	state.fetching = true
	w.fetching++
	w.simulation.after(settings.FetchTime, func() {
		w.fetching--
		if state.epoch == epoch {
			state.fetching = false
			state.fetched = version
			_ = r.engine.StageWeights(w.simulation.now, version, w.fence)
			w.simulation.wakeForEvent(r)
		}
		w.continueRollout()
	})
}

// holders is how many replicas can pass the newest weights on.
func (w *weightRollout) holders() int {
	count := 0
	for index := range w.replicas {
		if w.replicas[index].fetched == w.newest() {
			count++
		}
	}
	return count
}

func (w *weightRollout) swapLimit() int {
	return max(len(w.replicas)*w.simulation.scenario.Weights.SwapShare/100, 1)
}

func (w *weightRollout) swap(r *replica) {
	state := &w.replicas[r.index]
	if r.down || state.swapping || state.fetched <= state.served || w.swapping >= w.swapLimit() {
		return
	}
	w.simulation.advance(r)
	if r.engine.SwapWeights(w.simulation.now, state.fetched, w.fence) != nil {
		return
	}
	w.swapping++
	state.swapping = true
	w.simulation.wakeForEvent(r)
}

// swapEnded reads the served version from the replica's next load report: only that tells whether a swap
// that is reported as done really is.
func (w *weightRollout) swapEnded(r *replica) {
	state := &w.replicas[r.index]
	epoch := state.epoch
	version := r.engine.Version()
	w.simulation.interruptOnSwap(r)
	w.simulation.after(w.simulation.scenario.Fleet.ZoneDelay, func() {
		if state.epoch != epoch || !state.swapping {
			return
		}
		w.swapping--
		state.swapping = false
		w.verified(r, version)
		w.continueRollout()
	})
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

// everywhere says that all replicas that are up serve the newest weights.
func (w *weightRollout) everywhere() bool {
	for index, r := range w.simulation.replicas {
		if !r.down && w.replicas[index].served < w.newest() {
			return false
		}
	}
	return true
}

func (w *weightRollout) crashed(r *replica) {
	state := &w.replicas[r.index]
	state.epoch++
	state.fetching = false
	if state.swapping {
		w.swapping--
		state.swapping = false
	}
	if w.complete != nil {
		w.complete()
	}
	w.simulation.after(0, w.continueRollout)
}

// restarted reads what a replica that is back serves.
func (w *weightRollout) restarted(r *replica) {
	w.verified(r, r.engine.Version())
	w.continueRollout()
}
