package rollout

import "time"

// phase is the state of a sample in its life cycle.
type phase uint8

const (
	waiting phase = iota
	running
	finished
)

// sample is the scheduler's state of one slot.
type sample struct {
	id        SampleID
	step      *openStep
	group     *groupHistory
	maxTokens int
	phase     phase
	edition   uint32
	generated int
	// hasVersion is set once the sample has tokens, and oldestVersion is valid only then.
	hasVersion    bool
	oldestVersion uint64
	startedAt     time.Duration
	tokensAtStart int           // tokens kept when the current attempt started
	notBefore     time.Duration // earliest time of the next attempt
}

// openStep is a step that has not been delivered.
type openStep struct {
	trainer           *trainerState
	number            uint64
	openedAt          time.Duration
	samples           []*sample
	groups            []*groupHistory
	waiting           []*sample // sorted by the last sortWaiting
	needsSort         bool      // waiting must be sorted before its first element is used
	finishedSinceSort int
	running           int
	finished          int
	estimate          estimate
	longest           estimate
}

// estimate is a cached prediction for a step. Exact sums over thousands of samples at each start would cost more than
// their accuracy is worth.
type estimate struct {
	total int
	valid bool
	// changes decides when the prediction is outdated. It counts the events since the computation for
	// openStep.estimate, and is the predictor's sampleCount at the computation for openStep.longest.
	changes int
}

// refreshDivisor defines when cached predictions of a step are renewed: once more than one in refreshDivisor of its
// samples have changed.
const refreshDivisor = 32

// trainerState is the state of one trainer.
type trainerState struct {
	name             string
	steps            []*openStep // sorted by number
	history          predictor
	availableVersion uint64 // newest version available to the pool
	fetchedVersion   uint64 // newest version named by a fetch
	// versionsInTraining is 1 from the delivery of a step until the fetch with the version that results from it, else
	// 0.
	versionsInTraining uint64
	// isWaiting is set while a fetch waits for samples.
	isWaiting         bool
	waitingSince      time.Duration
	deliveredAt       time.Duration
	awaitingFetch     bool
	trainTime         time.Duration // learned time from the delivery of a step to the next fetch
	hasTrainTime      bool
	margin            float64       // as a share of trainTime
	fetchedAt         time.Duration // time of the first fetch with fetchedVersion
	availabilityDelay time.Duration // learned time from a fetch until its version is available
	running           int
	share             float64
}

// expectedUseVersion returns the version that the trainer is expected to have when it uses the step.
func (t *trainerState) expectedUseVersion(step *openStep) uint64 {
	return max(t.fetchedVersion+t.versionsInTraining, t.availableVersion) + uint64(t.rank(step))
}

// rank returns the number of open steps before the given one.
func (t *trainerState) rank(step *openStep) int {
	for index, candidate := range t.steps {
		if candidate == step {
			return index
		}
	}
	return len(t.steps)
}

// remainingTokens predicts the number of tokens that the step still needs.
func (s *openStep) remainingTokens() int {
	if s.estimate.valid && s.estimate.changes <= len(s.samples)/refreshDivisor {
		return s.estimate.total
	}
	total := 0
	for _, one := range s.samples {
		if one.phase != finished {
			total += one.predictedTokens() - one.generated
		}
	}
	s.estimate = estimate{total: total, valid: true}
	return total
}

// longestTokens predicts the length of the step's longest sample as the length exceeded by one sample in as many as
// the step has groups.
func (s *openStep) longestTokens() int {
	if !s.longest.valid || s.trainer.history.sampleCount-s.longest.changes > len(s.samples)/refreshDivisor {
		total := s.trainer.history.lengthExceededBy(0, 1/float64(len(s.groups)))
		s.longest = estimate{total: total, valid: true, changes: s.trainer.history.sampleCount}
	}
	return s.longest.total
}

// predictedTokens returns the expected total length.
func (s *sample) predictedTokens() int {
	return s.group.predict(&s.step.trainer.history, s.generated, s.maxTokens)
}
