package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the latency histograms. Latencies are recorded in microseconds, clamped to the bounds.
const (
	minLatencyMicros         = 100
	maxLatencyMicros         = 600_000_000
	latencySignificantDigits = 3
)

// timelinePoints is the number of fleet snapshots taken in a run for the plots.
const timelinePoints = 240

// measurement collects the results of one run. Events before the end of the warm-up are recorded only in timeline and
// in the trainers' waits.
type measurement struct {
	scenario          *Scenario
	trainers          []trainerMeasurement
	live              liveMeasurement
	rollouts          struct{ tokens, discarded, delivered uint64 }
	slotPreemptions   uint64
	enginePreemptions uint64
	migrations        uint64
	weightDelays      []time.Duration // from the release of weights until all replicas serve them
	timeline          []fleetSnapshot
}

type trainerMeasurement struct {
	idle          time.Duration
	waits         []timeRange // over the whole run, for the plot of idle time
	samplesByAge  []uint64    // number of delivered samples, indexed by staleness in versions
	steps         []stepMeasurement
	sampleLengths []int // of delivered samples
}

type timeRange struct{ from, to time.Duration }

// stepMeasurement holds the figures of one delivered step.
type stepMeasurement struct {
	deliveredAt         time.Duration
	wait                time.Duration
	trainTime           time.Duration
	sampleTokens        int
	promptTokens        int // summed over the samples, so that a prompt counts once per sample
	longestSampleTokens int
	// contextTokens is the context length attended to, summed over all generated tokens. It does not depend on the
	// schedule.
	contextTokens float64
}

type liveMeasurement struct {
	arrived, answered, rejected, lost uint64
	outputTokens                      uint64
	latency, firstToken               *hdrhistogram.Histogram
	latencyInWaves                    *hdrhistogram.Histogram // for calls that arrived during a rollout of new weights
}

// fleetSnapshot is the state of the fleet at one time.
type fleetSnapshot struct {
	at                time.Duration
	replicasByVersion map[uint64]int // number of replicas that serve each version
}

func newMeasurement(scenario *Scenario) *measurement {
	return &measurement{
		scenario: scenario, trainers: make([]trainerMeasurement, len(scenario.Trainers)),
		live: liveMeasurement{latency: newHistogram(), firstToken: newHistogram(), latencyInWaves: newHistogram()},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
}

func recordLatency(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// isMeasured reports whether an event at the given time is after the warm-up and counts in the results.
func (m *measurement) isMeasured(at time.Duration) bool { return at >= m.scenario.Warmup }

func (m *measurement) countLiveArrival(at time.Duration) {
	if m.isMeasured(at) {
		m.live.arrived++
	}
}

func (m *measurement) countLiveRejection(at time.Duration) {
	if m.isMeasured(at) {
		m.live.rejected++
	}
}

func (m *measurement) countLiveLoss(at time.Duration) {
	if m.isMeasured(at) {
		m.live.lost++
	}
}

func (m *measurement) recordLiveAnswer(call *liveCall, now time.Duration) {
	if !m.isMeasured(call.arrivedAt) {
		return
	}
	m.live.answered++
	m.live.outputTokens += uint64(call.call.OutputTokens)
	recordLatency(m.live.latency, now-call.arrivedAt)
	recordLatency(m.live.firstToken, call.firstTokenAt-call.arrivedAt)
	if call.arrivedDuringWave {
		recordLatency(m.live.latencyInWaves, now-call.arrivedAt)
	}
}

func (m *measurement) addRolloutTokens(at time.Duration, count int) {
	if m.isMeasured(at) {
		m.rollouts.tokens += uint64(count)
	}
}

func (m *measurement) addDiscardedTokens(at time.Duration, count int) {
	if m.isMeasured(at) {
		m.rollouts.discarded += uint64(count)
	}
}

func (m *measurement) countSlotPreemption(at time.Duration) {
	if m.isMeasured(at) {
		m.slotPreemptions++
	}
}

func (m *measurement) countMigration(at time.Duration) {
	if m.isMeasured(at) {
		m.migrations++
	}
}

func (m *measurement) countEnginePreemption(at time.Duration) {
	if m.isMeasured(at) {
		m.enginePreemptions++
	}
}

func (m *measurement) recordWeightDelay(at, took time.Duration) {
	if m.isMeasured(at) {
		m.weightDelays = append(m.weightDelays, took)
	}
}

// addWait records a trainer's wait. Only the part after the warm-up counts as idle time.
func (m *measurement) addWait(trainer int, from, to time.Duration) {
	one := &m.trainers[trainer]
	one.waits = append(one.waits, timeRange{from: from, to: to})
	one.idle += max(to-max(from, m.scenario.Warmup), 0)
}

// recordStep records a delivered step and the trainer's wait for it.
func (m *measurement) recordStep(t *trainer, step *trainerStep, now time.Duration) {
	m.addWait(t.index, t.waitingSince, now)
	if !m.isMeasured(now) {
		return
	}
	one := &m.trainers[t.index]
	recorded := stepMeasurement{deliveredAt: now, wait: now - t.waitingSince}
	for _, sample := range step.samples {
		age := int(t.version - sample.oldestVersion)
		for len(one.samplesByAge) <= age {
			one.samplesByAge = append(one.samplesByAge, 0)
		}
		one.samplesByAge[age]++
		one.sampleLengths = append(one.sampleLengths, sample.targetTokens)
		recorded.sampleTokens += sample.targetTokens
		recorded.promptTokens += sample.group.promptTokens
		recorded.contextTokens += float64(sample.targetTokens) * (float64(sample.group.promptTokens) + float64(sample.targetTokens)/2)
		recorded.longestSampleTokens = max(recorded.longestSampleTokens, sample.targetTokens)
	}
	m.rollouts.delivered += uint64(recorded.sampleTokens)
	one.steps = append(one.steps, recorded)
}

// setTrainTime sets the training time of the trainer's last delivered step.
func (m *measurement) setTrainTime(trainer int, length time.Duration) {
	if steps := m.trainers[trainer].steps; len(steps) > 0 {
		steps[len(steps)-1].trainTime = length
	}
}

// scheduleTimeline takes fleet snapshots at regular intervals.
func (s *simulation) scheduleTimeline() {
	interval := max(s.scenario.Duration/timelinePoints, time.Millisecond)
	var takeSnapshot func()
	takeSnapshot = func() {
		versions := make(map[uint64]int)
		for _, r := range s.replicas {
			if !r.down {
				versions[r.engine.Version()]++
			}
		}
		s.measurement.timeline = append(s.measurement.timeline, fleetSnapshot{at: s.now, replicasByVersion: versions})
		s.after(interval, takeSnapshot)
	}
	s.after(0, takeSnapshot)
}
