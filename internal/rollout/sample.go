package rollout

import "time"

// phase is a sample's place in its life.
type phase uint8

const (
	waiting phase = iota
	running
	finished
)

// sample is the scheduler's record of one slot.
type sample struct {
	id        SampleID
	step      *openStep
	group     *groupHistory
	maxTokens int
	phase     phase
	edition   uint32
	generated int
	// hasVersion says that oldest is set: some token exists.
	hasVersion bool
	oldest     uint64
	startedAt  time.Duration
	startedOn  int // tokens kept when the running attempt started
}

// openStep is a step that is not wholly delivered.
type openStep struct {
	trainer  *trainerState
	number   uint64
	openedAt time.Duration
	samples  []*sample
	groups   []*groupHistory
	waiting  []*sample // sorted as of the last sortWaiting
	dirty    bool      // waiting must be sorted before its first is taken
	changes  int       // finished samples since the last sort
	running  int
	finished int
	estimate estimate
	longest  estimate
}

// estimate is a cached prediction of a step's remaining work: exact sums over thousands of samples at each
// start would cost more than they tell.
type estimate struct {
	total   int
	valid   bool
	changes int // events since it was computed
}

// refreshShare is the part of a step's samples that may change before cached predictions are renewed.
const refreshShare = 32

// trainerState is what is known of one trainer.
type trainerState struct {
	name     string
	steps    []*openStep // by number, lowest first
	history  predictor
	released uint64 // newest announced version
	using    uint64 // version named by the last fetch
	// pending is 1 between the delivery of a whole step and the fetch with the version it leads to.
	pending uint64
	// waitingNow is set while a fetch waits for samples.
	waitingNow  bool
	waitedFrom  time.Duration
	deliveredAt time.Duration
	delivered   bool
	trainTime   time.Duration // learned time between the delivery of a step and the next fetch
	hasTrain    bool
	margin      float64       // part of trainTime
	fetchedAt   time.Duration // of the first fetch with the version in use
	spreadTime  time.Duration // learned time from a fetch until its version is available
	running     int
	share       float64
}

// useVersion is the version at which the trainer is expected to use the step.
func (t *trainerState) useVersion(step *openStep) uint64 {
	return max(t.using+t.pending, t.released) + uint64(t.rank(step))
}

// rank is the number of open steps before step.
func (t *trainerState) rank(step *openStep) int {
	for index, candidate := range t.steps {
		if candidate == step {
			return index
		}
	}
	return len(t.steps)
}

// remainingTokens predicts the tokens that the step still needs.
func (s *openStep) remainingTokens() int {
	if s.estimate.valid && s.estimate.changes <= len(s.samples)/refreshShare {
		return s.estimate.total
	}
	total := 0
	for _, one := range s.samples {
		if one.phase != finished {
			total += one.predicted() - one.generated
		}
	}
	s.estimate = estimate{total: total, valid: true}
	return total
}

// longestTokens predicts the length of the step's longest sample: what one group in as many as the step has
// surpasses.
func (s *openStep) longestTokens() int {
	if !s.longest.valid || s.trainer.history.learned-s.longest.changes > len(s.samples)/refreshShare {
		total := s.trainer.history.upper(0, 1/float64(len(s.groups)))
		s.longest = estimate{total: total, valid: true, changes: s.trainer.history.learned}
	}
	return s.longest.total
}

// predicted is the expected whole length.
func (s *sample) predicted() int {
	return s.group.predict(&s.step.trainer.history, s.generated, s.maxTokens)
}
