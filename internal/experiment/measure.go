package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	latencyLowest  = 100
	latencyHighest = 600_000_000
	latencyDigits  = 3
)

// timelinePoints is how many moments of a run are kept for plots.
const timelinePoints = 240

// measurement collects what one run shows. What happens before warmup counts only for the timeline.
type measurement struct {
	scenario *Scenario
	trainers []trainerMeasurement
	live     liveMeasurement
	generate struct{ tokens, thrown, delivered uint64 }
	yields   uint64
	preempts uint64
	moves    uint64
	spread   []time.Duration // release of weights to the last replica serving them
	timeline []moment
}

type trainerMeasurement struct {
	idle      time.Duration
	waits     []interval // all of the run, for the timeline
	staleness []uint64   // samples by age in versions
	steps     []stepMeasurement
	lengths   []int // of delivered samples
}

type interval struct{ from, to time.Duration }

// stepMeasurement is one delivered step.
type stepMeasurement struct {
	delivered time.Duration
	wait      time.Duration
	trainTime time.Duration
	tokens    int
	prompts   int // tokens of the prompts
	longest   int
	// context is the sum over all tokens of the context that each attended to: no schedule changes it.
	context float64
}

type liveMeasurement struct {
	arrived, answered, refused, lost uint64
	tokens                           uint64
	latency, firstToken              *hdrhistogram.Histogram
	inWaves                          *hdrhistogram.Histogram // latency of the calls that arrived in a wave of weights
}

// moment is the state of the fleet at one time.
type moment struct {
	at       time.Duration
	versions map[uint64]int // replicas by number of the version served
}

func newMeasurement(scenario *Scenario) *measurement {
	return &measurement{
		scenario: scenario, trainers: make([]trainerMeasurement, len(scenario.Trainers)),
		live: liveMeasurement{latency: newHistogram(), firstToken: newHistogram(), inWaves: newHistogram()},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(value.Microseconds(), latencyLowest), latencyHighest))
}

// measured says that an event at that time counts.
func (m *measurement) measured(at time.Duration) bool { return at >= m.scenario.Warmup }

func (m *measurement) liveArrived(at time.Duration) {
	if m.measured(at) {
		m.live.arrived++
	}
}

func (m *measurement) liveRefused(at time.Duration) {
	if m.measured(at) {
		m.live.refused++
	}
}

func (m *measurement) liveLost(at time.Duration) {
	if m.measured(at) {
		m.live.lost++
	}
}

func (m *measurement) liveAnswered(call *liveCall, now time.Duration) {
	if !m.measured(call.arrived) {
		return
	}
	m.live.answered++
	m.live.tokens += uint64(call.call.OutputTokens)
	record(m.live.latency, now-call.arrived)
	record(m.live.firstToken, call.firstToken-call.arrived)
	if call.inWave {
		record(m.live.inWaves, now-call.arrived)
	}
}

func (m *measurement) rolloutTokens(at time.Duration, count int) {
	if m.measured(at) {
		m.generate.tokens += uint64(count)
	}
}

func (m *measurement) thrownAway(at time.Duration, count int) {
	if m.measured(at) {
		m.generate.thrown += uint64(count)
	}
}

func (m *measurement) yielded(at time.Duration) {
	if m.measured(at) {
		m.yields++
	}
}

func (m *measurement) moved(at time.Duration) {
	if m.measured(at) {
		m.moves++
	}
}

func (m *measurement) preempted(at time.Duration) {
	if m.measured(at) {
		m.preempts++
	}
}

func (m *measurement) weightsServed(at, took time.Duration) {
	if m.measured(at) {
		m.spread = append(m.spread, took)
	}
}

// waited counts a trainer's wait.
func (m *measurement) waited(trainer int, from, to time.Duration) {
	one := &m.trainers[trainer]
	one.waits = append(one.waits, interval{from: from, to: to})
	one.idle += max(to-max(from, m.scenario.Warmup), 0)
}

// delivered counts a step that was handed over.
func (m *measurement) delivered(t *trainer, step *trainerStep, now time.Duration) {
	m.waited(t.index, t.waitedFrom, now)
	if !m.measured(now) {
		return
	}
	one := &m.trainers[t.index]
	made := stepMeasurement{delivered: now, wait: now - t.waitedFrom}
	for _, sample := range step.samples {
		age := int(t.version - sample.oldest)
		for len(one.staleness) <= age {
			one.staleness = append(one.staleness, 0)
		}
		one.staleness[age]++
		one.lengths = append(one.lengths, sample.length)
		made.tokens += sample.length
		made.prompts += sample.group.tokens
		made.context += float64(sample.length) * (float64(sample.group.tokens) + float64(sample.length)/2)
		made.longest = max(made.longest, sample.length)
	}
	m.generate.delivered += uint64(made.tokens)
	one.steps = append(one.steps, made)
}

// training notes the training time of the step that was delivered last.
func (m *measurement) training(trainer int, length time.Duration) {
	if steps := m.trainers[trainer].steps; len(steps) > 0 {
		steps[len(steps)-1].trainTime = length
	}
}

// scheduleSamples keeps moments for the timeline.
func (s *simulation) scheduleSamples() {
	interval := max(s.scenario.Duration/timelinePoints, time.Millisecond)
	var look func()
	look = func() {
		versions := make(map[uint64]int)
		for _, r := range s.replicas {
			if !r.down {
				versions[r.engine.Version()]++
			}
		}
		s.measure.timeline = append(s.measure.timeline, moment{at: s.now, versions: versions})
		s.after(interval, look)
	}
	s.after(0, look)
}
