package rollout

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Config holds the parameters of a Scheduler.
type Config struct {
	// Policy decides when and in which order samples start. Default: Paced{}.
	Policy Policy
	// InitialMargin is how long before the expected fetch a step is to be complete at first, as a share of the
	// training time. The margin then adapts to the waits of the trainer. Default: 0.3.
	InitialMargin float64
}

// Scheduler schedules the open steps of the trainers of one pool. It is not safe for concurrent use.
type Scheduler struct {
	policy    Policy
	margin    float64
	trainers  []*trainerState // sorted by name for reproducible runs
	samples   map[SampleID]*sample
	running   int
	tokenTime tokenTimeEstimate
	counters  Counters
}

// Counters counts events since the scheduler was created.
type Counters struct {
	Started         uint64
	Finished        uint64
	Interrupted     uint64
	Discarded       uint64
	FinishedTokens  uint64
	DiscardedTokens uint64 // tokens that were generated and then dropped
}

// New returns a scheduler without trainers or steps.
func New(config Config) *Scheduler {
	if config.Policy == nil {
		config.Policy = Paced{}
	}
	if config.InitialMargin <= 0 {
		config.InitialMargin = defaultMargin
	}
	return &Scheduler{policy: config.Policy, margin: config.InitialMargin, samples: map[SampleID]*sample{}}
}

// Policy returns the policy in use.
func (s *Scheduler) Policy() Policy { return s.policy }

// Counters returns the events counted so far.
func (s *Scheduler) Counters() Counters { return s.counters }

// Running returns the number of samples in generation.
func (s *Scheduler) Running() int { return s.running }

// SetShare sets the relative share of the capacity that a trainer gets. The default is 1. It returns
// trace.BadParameter if the share is not above 0.
func (s *Scheduler) SetShare(trainer string, share float64) error {
	if share <= 0 {
		return trace.BadParameter("share %v of trainer %q is not above 0", share, trainer)
	}
	s.trainer(trainer).share = share
	return nil
}

// OpenStep adds a step. It has no effect if the step is open already. It returns trace.BadParameter if the step has
// no samples.
func (s *Scheduler) OpenStep(now time.Duration, step Step) error {
	if step.SamplesPerPrompt <= 0 || len(step.Prompts) == 0 {
		return trace.BadParameter("step %d of trainer %q has no samples", step.Number, step.Trainer)
	}
	trainer := s.trainer(step.Trainer)
	position, exists := slices.BinarySearchFunc(trainer.steps, step.Number, compareStep)
	if exists {
		return nil
	}
	opened := &openStep{trainer: trainer, number: step.Number, openedAt: now, needsSort: true}
	for _, prompt := range step.Prompts {
		s.addGroup(opened, prompt, step.SamplesPerPrompt)
	}
	opened.waiting = slices.Clone(opened.samples)
	trainer.steps = slices.Insert(trainer.steps, position, opened)
	return nil
}

func (s *Scheduler) addGroup(step *openStep, prompt Prompt, size int) {
	group := &groupHistory{}
	step.groups = append(step.groups, group)
	for index := range size {
		id := SampleID{Trainer: step.trainer.name, Step: step.number, Prompt: prompt.ID, Index: uint32(index)}
		one := &sample{id: id, step: step, group: group, maxTokens: prompt.MaxTokens}
		s.samples[id] = one
		step.samples = append(step.samples, one)
	}
}

func compareStep(step *openStep, number uint64) int {
	switch {
	case step.number < number:
		return -1
	case step.number > number:
		return 1
	}
	return 0
}

// trainer returns the state of a trainer, which it creates if necessary.
func (s *Scheduler) trainer(name string) *trainerState {
	position, exists := slices.BinarySearchFunc(s.trainers, name, func(t *trainerState, name string) int {
		switch {
		case t.name < name:
			return -1
		case t.name > name:
			return 1
		}
		return 0
	})
	if exists {
		return s.trainers[position]
	}
	added := &trainerState{name: name, margin: s.margin, share: 1}
	s.trainers = slices.Insert(s.trainers, position, added)
	return added
}

// Next returns the samples to start now and counts them as running. Steps that would exceed the staleness bound when
// used are not started. Trainers share the capacity in proportion to their shares.
func (s *Scheduler) Next(now time.Duration, capacity Capacity) []Start {
	var starts []Start
	blocked := make([]bool, len(s.trainers))
	for s.running < capacity.Slots {
		position := s.leastLoadedTrainer(blocked)
		if position < 0 {
			break
		}
		one := s.nextSample(now, s.trainers[position], capacity)
		if one == nil {
			blocked[position] = true
			continue
		}
		starts = append(starts, s.markStarted(now, one))
	}
	return starts
}

// leastLoadedTrainer returns the index of the trainer with the fewest running samples relative to its share, or -1 if
// all trainers are blocked.
func (s *Scheduler) leastLoadedTrainer(blocked []bool) int {
	best := -1
	for position, trainer := range s.trainers {
		if blocked[position] {
			continue
		}
		if best < 0 || trainer.load() < s.trainers[best].load() {
			best = position
		}
	}
	return best
}

// load returns the number of running samples relative to the trainer's share.
func (t *trainerState) load() float64 { return float64(t.running) / t.share }

// nextSample returns the next sample of the trainer to start, or nil if none may start now.
func (s *Scheduler) nextSample(now time.Duration, trainer *trainerState, capacity Capacity) *sample {
	for rank, step := range trainer.steps {
		staleness := trainer.expectedUseVersion(step) - trainer.availableVersion
		if staleness > capacity.StalenessBound {
			return nil
		}
		if len(step.waiting) == 0 {
			continue
		}
		s.sortWaiting(step)
		first := step.firstReady(now)
		if first == nil {
			continue
		}
		if s.policy.IsEligible(now, s.stepView(trainer, step, rank, staleness, capacity), s.sampleView(first)) {
			return first
		}
	}
	return nil
}

// stepView returns the information on a step for the policy.
func (s *Scheduler) stepView(trainer *trainerState, step *openStep, rank int, staleness uint64, capacity Capacity) StepView {
	view := StepView{Rank: rank, Staleness: staleness, TrainerWaiting: trainer.isWaiting, Running: trainer.running}
	if !trainer.hasTrainTime || !s.tokenTime.isReliable() {
		return view
	}
	view.HasEstimates = true
	view.ExpectedFetch = trainer.expectedFetch(rank)
	view.Margin = time.Duration(trainer.margin * float64(trainer.trainTime))
	view.NextVersionAt = trainer.expectedNextVersion()
	total := 0
	for _, before := range trainer.steps[:rank+1] {
		total += before.remainingTokens()
	}
	view.RemainingWork = s.tokenTime.estimate(total)
	view.MeanConcurrency = trainer.meanConcurrency(step, &s.tokenTime)
	view.FairShare = int(float64(capacity.Slots) * trainer.share / s.totalShare())
	view.LongestSampleTime = s.tokenTime.estimate(step.longestTokens())
	return view
}

// meanConcurrency returns the mean number of samples that must run concurrently to complete one step like the given
// one per training time.
func (t *trainerState) meanConcurrency(step *openStep, tokenTime *tokenTimeEstimate) int {
	return int(tokenTime.estimate(t.history.expectedLength(0)*len(step.samples)) / max(t.trainTime, 1))
}

// totalShare returns the sum of the shares of all trainers.
func (s *Scheduler) totalShare() float64 {
	sum := 0.0
	for _, trainer := range s.trainers {
		sum += trainer.share
	}
	return sum
}

// expectedFetch returns the time at which the trainer is expected to fetch its open step of the given rank. It
// requires a known training time.
func (t *trainerState) expectedFetch(rank int) time.Duration {
	if t.isWaiting {
		return t.waitingSince + t.trainTime*time.Duration(rank)
	}
	return t.deliveredAt + t.trainTime*time.Duration(rank+1)
}

// expectedNextVersion returns the time at which weights newer than the available ones are expected, which may be in
// the past. A version is announced with the fetch that uses it and becomes available a while later. It requires a
// known training time.
func (t *trainerState) expectedNextVersion() time.Duration {
	next := t.availableVersion + 1
	if next <= t.fetchedVersion {
		return t.fetchedAt + t.availabilityDelay
	}
	ahead := int(next - t.fetchedVersion)
	if t.isWaiting {
		return t.expectedFetch(ahead) + t.availabilityDelay
	}
	return t.expectedFetch(ahead-1) + t.availabilityDelay
}

// sortWaiting sorts the waiting samples in the order of the policy if enough samples have finished since the last
// time.
func (s *Scheduler) sortWaiting(step *openStep) {
	if !step.needsSort && step.finishedSinceSort <= len(step.samples)/refreshDivisor {
		return
	}
	step.needsSort = false
	step.finishedSinceSort = 0
	type entry struct {
		view SampleView
		one  *sample
	}
	entries := make([]entry, len(step.waiting))
	for position, one := range step.waiting {
		entries[position] = entry{view: s.sampleView(one), one: one}
	}
	slices.SortStableFunc(entries, func(first, second entry) int {
		if s.policy.StartsBefore(first.view, second.view) {
			return -1
		}
		if s.policy.StartsBefore(second.view, first.view) {
			return 1
		}
		return 0
	})
	for position := range entries {
		step.waiting[position] = entries[position].one
	}
}

// probeLengthFactor is the multiple of the mean length that a probe runs until its group is known to be long.
const probeLengthFactor = 2

// sampleView returns the information on a sample for the policy.
func (s *Scheduler) sampleView(one *sample) SampleView {
	view := SampleView{Index: one.id.Index, Generated: one.generated, GroupHasFinished: one.group.hasFinished()}
	view.MaxRemainingTokens = one.group.maxLikelyLength(one.step.longestTokens(), one.generated, one.maxTokens) - one.generated
	if view.isProbe() {
		view.MaxRemainingTokens += one.step.trainer.history.expectedLength(0) * probeLengthFactor
	}
	if s.tokenTime.isReliable() {
		view.MaxRemainingTime = s.tokenTime.estimate(view.MaxRemainingTokens)
	}
	return view
}

// markStarted counts a waiting sample as running.
func (s *Scheduler) markStarted(now time.Duration, one *sample) Start {
	one.step.dequeue(one)
	one.phase = running
	one.startedAt = now
	one.tokensAtStart = one.generated
	one.step.estimate.changes++
	one.step.running++
	one.step.trainer.running++
	s.running++
	s.counters.Started++
	return Start{
		ID: one.id, Edition: one.edition, PrefixTokens: one.generated, PredictedTokens: one.predictedTokens(),
	}
}
