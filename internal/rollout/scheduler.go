package rollout

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Config holds a Scheduler's fixed parameters.
type Config struct {
	// Policy decides on start times and order. Default Paced{}.
	Policy Policy
	// InitialSafety is the first factor on the predicted lead of a step; it then follows what trainers
	// see. Default 1.5.
	InitialSafety float64
}

// Scheduler keeps the open steps of one pool's trainers. It is not safe for concurrent use.
type Scheduler struct {
	policy   Policy
	safety   float64
	trainers []*trainerState // sorted by name, so that runs can be repeated
	samples  map[SampleID]*sample
	running  int
	rate     rateEstimate
	counters Counters
}

// Counters count what happened since the start.
type Counters struct {
	Started         uint64
	Finished        uint64
	Interrupted     uint64
	Discarded       uint64
	FinishedTokens  uint64
	DiscardedTokens uint64 // generated and thrown away
}

// New returns a scheduler without steps.
func New(config Config) *Scheduler {
	if config.Policy == nil {
		config.Policy = Paced{}
	}
	if config.InitialSafety < 1 {
		config.InitialSafety = 1.5
	}
	return &Scheduler{policy: config.Policy, safety: config.InitialSafety, samples: map[SampleID]*sample{}}
}

// Policy returns the policy in use.
func (s *Scheduler) Policy() Policy { return s.policy }

// Counters returns what happened so far.
func (s *Scheduler) Counters() Counters { return s.counters }

// Running returns the number of samples in generation.
func (s *Scheduler) Running() int { return s.running }

// SetShare sets a trainer's relative share of the room, above 0. Default 1.
func (s *Scheduler) SetShare(trainer string, share float64) error {
	if share <= 0 {
		return trace.BadParameter("share %v of trainer %q is not above 0", share, trainer)
	}
	s.trainer(trainer).share = share
	return nil
}

// OpenStep adds a step. A step that is open already is left as it is.
func (s *Scheduler) OpenStep(now time.Duration, step Step) error {
	if step.SamplesPerPrompt <= 0 || len(step.Prompts) == 0 {
		return trace.BadParameter("step %d of trainer %q has no samples", step.Number, step.Trainer)
	}
	trainer := s.trainer(step.Trainer)
	position, exists := slices.BinarySearchFunc(trainer.steps, step.Number, compareStep)
	if exists {
		return nil
	}
	opened := &openStep{trainer: trainer, number: step.Number, openedAt: now, dirty: true}
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
	added := &trainerState{name: name, safety: s.safety, share: 1}
	s.trainers = slices.Insert(s.trainers, position, added)
	return added
}

// Next returns the samples to start now, already counted as running. Samples that could not be fresh when
// they are used are not started; trainers get equal parts of the room by their share.
func (s *Scheduler) Next(now time.Duration, room Room) []Start {
	var starts []Start
	blocked := make([]bool, len(s.trainers))
	for s.running < room.Slots {
		position := s.neediest(blocked)
		if position < 0 {
			break
		}
		one := s.pick(now, s.trainers[position], room)
		if one == nil {
			blocked[position] = true
			continue
		}
		starts = append(starts, s.start(now, one))
	}
	return starts
}

// neediest returns the position of the trainer with the least running work for its share, or -1.
func (s *Scheduler) neediest(blocked []bool) int {
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

func (t *trainerState) load() float64 { return float64(t.running) / t.share }

// pick returns the trainer's next sample, or nil.
func (s *Scheduler) pick(now time.Duration, trainer *trainerState, room Room) *sample {
	for rank, step := range trainer.steps {
		lag := trainer.useVersion(step) - trainer.released
		if lag > room.StalenessBound {
			return nil
		}
		if len(step.waiting) == 0 {
			continue
		}
		s.sortWaiting(step)
		first := step.waiting[0]
		if s.policy.Eligible(now, s.view(trainer, step, rank, lag, room), s.sampleView(first)) {
			return first
		}
	}
	return nil
}

func (s *Scheduler) view(trainer *trainerState, step *openStep, rank int, lag uint64, room Room) StepView {
	view := StepView{Rank: rank, Lag: lag, TrainerWaiting: trainer.waitingNow, Safety: trainer.safety}
	view.Due, view.DueKnown = trainer.due(rank)
	if !s.rate.known() {
		return view
	}
	view.LeadKnown = true
	total := 0
	for _, before := range trainer.steps[:rank+1] {
		total += before.remainingTokens()
	}
	slots := max(1, int(float64(room.Slots)*trainer.share/s.totalShare()))
	view.Lead = s.rate.time(total) / time.Duration(slots)
	view.LongestLead = s.rate.time(step.longestTokens())
	return view
}

func (s *Scheduler) totalShare() float64 {
	total := 0.0
	for _, trainer := range s.trainers {
		if len(trainer.steps) > 0 {
			total += trainer.share
		}
	}
	return total
}

// due is when the trainer is expected to fetch its open step of the given rank.
func (t *trainerState) due(rank int) (time.Duration, bool) {
	if !t.hasTrain {
		return 0, false
	}
	if t.waitingNow {
		return t.waitedFrom + t.trainTime*time.Duration(rank), true
	}
	return t.deliveredAt + t.trainTime*time.Duration(rank+1), true
}

// sortWaiting brings the waiting samples into the policy's order, if enough has been learned since.
func (s *Scheduler) sortWaiting(step *openStep) {
	if !step.dirty && step.changes <= len(step.samples)/refreshShare {
		return
	}
	step.dirty = false
	step.changes = 0
	type entry struct {
		view SampleView
		one  *sample
	}
	entries := make([]entry, len(step.waiting))
	for position, one := range step.waiting {
		entries[position] = entry{view: s.sampleView(one), one: one}
	}
	slices.SortStableFunc(entries, func(first, second entry) int {
		if s.policy.Before(first.view, second.view) {
			return -1
		}
		if s.policy.Before(second.view, first.view) {
			return 1
		}
		return 0
	})
	for position := range entries {
		step.waiting[position] = entries[position].one
	}
}

func (s *Scheduler) sampleView(one *sample) SampleView {
	view := SampleView{
		Index: one.id.Index, Predicted: one.predicted(), Generated: one.generated, GroupKnown: one.group.known(),
	}
	history := &one.step.trainer.history
	if view.probe() {
		view.Lead = s.rate.time(one.step.longestTokens() + history.above(0)*revealFactor)
		return view
	}
	view.Lead = s.rate.time(one.group.mayReach(history, one.generated, one.maxTokens) - one.generated)
	return view
}

// revealFactor is how many mean lengths a probe runs until its group can be called long.
const revealFactor = 2

func (s *Scheduler) start(now time.Duration, one *sample) Start {
	one.step.waiting = slices.Delete(one.step.waiting, 0, 1)
	one.phase = running
	one.startedAt = now
	one.startedOn = one.generated
	one.step.estimate.changes++
	one.step.running++
	one.step.trainer.running++
	s.running++
	s.counters.Started++
	return Start{
		ID: one.id, Edition: one.edition, PrefixTokens: one.generated, PredictedTokens: one.predicted(),
	}
}
