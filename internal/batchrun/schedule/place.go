package schedule

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/pace"
)

// lengthWeight is the weight of a new value in the moving averages of answer lengths and first-event delays.
const lengthWeight = 0.1

// replica is a known replica with its load, its suspensions and its measured pace.
type replica struct {
	Replica
	index          int                // position in pool.replicas
	draining       bool               // accepts no new work
	running        int                // number of runs
	criticalRuns   int                // critical ones among the runs
	suspectRuns    int                // suspects among the runs
	incomingMoves  int                // runs that the last call of PlanMoves moved here, in pools without reported paces
	items          map[*item]struct{} // items that run here or have a slot reserved here
	reservedSlots  int                // runs that are to continue here and have not started yet
	failuresInRow  int                // consecutive failures
	refusalsInRow  int                // consecutive rejections as full
	pausedUntil    time.Duration      // receives no items before this time
	onProbation    bool               // one item at a time until a run that started after probationStart delivers an event
	probationStart time.Duration      // start of the probation
	probe          *item              // item that is tried on a replica on probation or with old weights
	versions       map[string]version // by model; change them with setVersion
	indexedVersion map[string]uint64  // reported versions under which the pool's index has the replica, by model
	measuredPace   paceAverage
	lastingPace    pace.LastingEstimator // long-term pace
	pace           float64               // seconds between two events as measured; 0: unknown
	reportedPace   pace.ReportEstimator  // pace that the replica itself reports
	memoryUsage    *memoryUsage          // memory used by its items; nil: not computed yet
}

// pool is a pool with its replicas and the statistics of its answers.
type pool struct {
	replicas      []*replica // those that accept new work, by instance
	reported      versionIndex
	measuredPace  paceAverage
	pace          float64           // seconds between two events as measured; 0: unknown
	newestVersion map[string]uint64 // newest version heard, by model
	// meanEvents and meanLength are moving averages of the number of events and of the expected length in tokens of
	// complete answers; 0: none was seen. Their ratio converts an expected length into events.
	meanEvents, meanLength float64

	cachedFastestPace   float64   // of the fastest replica; 0: no pace is known
	cachedMedianPace    float64   // of the replicas whose pace is known; 0: no pace is known
	paceStatisticsValid bool      // the cached paces are up to date
	largestMemory       uint64    // of its replicas; unknownMemory if one is unknown, 0 without replicas
	paces               []float64 // buffer for sorting paces

	reportsPace         bool                   // replicas report their current pace
	slowdownDuration    pace.SlowdownEstimator // how long temporary slowdowns last
	overrun             float64                // quantile of actual / estimated length of complete answers; 0: none was seen
	meanFirstEventDelay float64                // seconds from the start of a run to its first event; 0: none was seen
}

// poolNamed returns a pool, creating it on first use.
func (s *Scheduler) poolNamed(name string) *pool {
	if s.pools[name] == nil {
		s.pools[name] = &pool{newestVersion: map[string]uint64{}, reported: versionIndex{}}
	}
	return s.pools[name]
}

// avoidanceLoad is the load added to a replica for an item whose last run ended badly there. Such a replica is used
// only if all others are full.
const avoidanceLoad = 2

// suspectLoad is the load that each suspect on a replica adds for another suspect. It outweighs a full replica and any
// slowness.
const suspectLoad = 10

// obstacle is what keeps a replica from starting an item.
type obstacle uint8

const (
	noObstacle      obstacle = iota
	obstacleFull             // all slots are in use or reserved
	obstaclePaused           // see replica.pausedUntil
	obstacleWeights          // its weights are reported to be too old or loading, or were tried too recently
	obstacleProbe            // it is on probation or has old weights, and tries another item
)

// canStart reports whether a replica can start an item now, apart from its memory.
func (s *Scheduler) canStart(candidate *replica, entry *item, now time.Duration) bool {
	return s.obstacleAt(candidate, entry, now) == noObstacle
}

// obstacleAt returns what keeps a replica from starting an item now, apart from its memory.
func (s *Scheduler) obstacleAt(candidate *replica, entry *item, now time.Duration) obstacle {
	if candidate.running+candidate.reservedSlots >= candidate.Slots {
		return obstacleFull
	}
	if candidate.pausedUntil > now {
		return obstaclePaused
	}
	known := candidate.versions[entry.job.Model]
	tooOld := candidate.isTooOldFor(entry.job)
	if s.isFresh(known, now) && (tooOld || known.loading) {
		return obstacleWeights
	}
	if (candidate.onProbation || tooOld) && candidate.probe != nil {
		return obstacleProbe
	}
	if tooOld && now < known.heardAt+s.settings.VersionPause {
		return obstacleWeights
	}
	return noObstacle
}

// loadWith returns the load of a replica with one more item, as a fraction of its slots, plus the cost of its pace. For
// an item that is not critical, critical runs count more, because each concurrent run slows them down. A suspect shares
// a replica with another suspect only if all replicas run one.
func (s *Scheduler) loadWith(candidate *replica, pool *pool, key placementKey) float64 {
	load := float64(candidate.running+1) / float64(candidate.Slots)
	if !key.critical {
		load += s.settings.InterferenceCost * float64(candidate.criticalRuns) / float64(candidate.Slots)
	}
	if key.suspected {
		load += suspectLoad * float64(candidate.suspectRuns)
	}
	return load + s.paceCost(candidate, pool, key)
}

// fastestPace returns the seconds between two events on the pool's fastest replica; 0 if no pace is known.
func (p *pool) fastestPace() float64 {
	p.updatePaceStatistics()
	return p.cachedFastestPace
}

// medianPace returns the median of the replicas' seconds between two events; 0 if no pace is known.
func (p *pool) medianPace() float64 {
	p.updatePaceStatistics()
	return p.cachedMedianPace
}

// updatePaceStatistics recomputes the fastest and the median pace if a pace or the set of replicas has changed.
func (p *pool) updatePaceStatistics() {
	if p.paceStatisticsValid {
		return
	}
	p.cachedFastestPace, p.cachedMedianPace, p.paceStatisticsValid = 0, 0, true
	p.paces = p.paces[:0]
	for _, candidate := range p.replicas {
		if candidate.pace > 0 {
			p.paces = append(p.paces, candidate.pace)
		}
	}
	if len(p.paces) == 0 {
		return
	}
	slices.Sort(p.paces)
	p.cachedFastestPace, p.cachedMedianPace = p.paces[0], p.paces[len(p.paces)/2]
}

// notePace records that events of a run took some seconds together. last is when the last of them arrived.
func (p *pool) notePace(replica *replica, run *run, last time.Duration, seconds float64, events int) {
	run.pace.add(seconds, events)
	replica.measuredPace.add(seconds, events, replicaPaceHalfLife)
	replica.lastingPace.Add(last, seconds, events)
	p.measuredPace.add(seconds, events, poolPaceHalfLife)
	replica.pace, p.pace = p.paceOf(replica), p.measuredPace.value(0)
	p.paceStatisticsValid = false
}

// noteAnswer records the number of events of a complete answer and its expected length in tokens.
func (p *pool) noteAnswer(events int, length uint64) {
	if events == 0 || length == 0 {
		return
	}
	updateMean(&p.meanEvents, float64(events))
	updateMean(&p.meanLength, float64(length))
	p.learnOverrun(events, length)
}

// addItem records an item that runs on the replica or has a slot reserved there.
func (r *replica) addItem(entry *item) {
	r.items[entry] = struct{}{}
	r.memoryUsage.invalidate()
}

// removeItem reverses addItem.
func (r *replica) removeItem(entry *item) {
	delete(r.items, entry)
	r.memoryUsage.invalidate()
}

// startRun counts an item as running on a replica and returns the weight version to ask for, 0 for any. Every second
// attempt on a replica with too old weights asks for none, because the replica may be ahead of all others.
func (s *Scheduler) startRun(entry *item, replica *replica, now time.Duration) (expected uint64) {
	s.releaseReservation(entry)
	entry.state = running
	entry.run = run{instance: replica.Instance, started: now, lastEvent: now}
	entry.group.lastInstance = replica.Instance
	replica.running++
	replica.addItem(entry)
	if entry.critical {
		replica.criticalRuns++
	}
	if entry.suspected {
		replica.suspectRuns++
	}
	entry.run.suspected = entry.suspected
	entry.moving = false
	entry.condemned = false
	model := entry.job.Model
	if replica.isTooOldFor(entry.job) {
		known := replica.versions[model]
		if known.tries%2 == 0 {
			expected = max(s.poolNamed(replica.Pool).newestVersion[model], entry.job.MinVersion)
		}
		known.tries++
		known.heardAt = now
		s.setVersion(replica, model, known)
		replica.probe = entry
	} else if replica.onProbation {
		replica.probe = entry
	}
	return expected
}

// endRun removes a running item from its replica. The caller sets the item's next state.
func (s *Scheduler) endRun(entry *item) {
	if replica := s.replicas[entry.run.instance]; replica != nil {
		replica.running--
		replica.removeItem(entry)
		if entry.critical {
			replica.criticalRuns--
		}
		if entry.run.suspected {
			replica.suspectRuns--
		}
		if replica.probe == entry {
			replica.probe = nil
		}
		if replica.draining && replica.running == 0 {
			delete(s.replicas, replica.Instance)
		}
	}
	entry.earlierEvents += entry.run.events
	entry.run = run{}
}
