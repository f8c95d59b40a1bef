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
	// InitialMargin is how much earlier than its trainer wants it a step is to be whole at first, as a part
	// of the training time; the margin then follows what trainers see. Default 0.3.
	InitialMargin float64
}

// Scheduler keeps the open steps of one pool's trainers. It is not safe for concurrent use.
type Scheduler struct {
	policy   Policy
	margin   float64
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
	if config.InitialMargin <= 0 {
		config.InitialMargin = defaultMargin
	}
	return &Scheduler{policy: config.Policy, margin: config.InitialMargin, samples: map[SampleID]*sample{}}
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
	added := &trainerState{name: name, margin: s.margin, share: 1}
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
	view := StepView{Rank: rank, Lag: lag, TrainerWaiting: trainer.waitingNow, Running: trainer.running}
	if !trainer.hasTrain || !s.rate.known() {
		return view
	}
	view.Known = true
	view.Due = trainer.due(rank)
	view.Margin = time.Duration(trainer.margin * float64(trainer.trainTime))
	view.NextVersion = trainer.nextVersion()
	total := 0
	for _, before := range trainer.steps[:rank+1] {
		total += before.remainingTokens()
	}
	view.Work = s.rate.time(total)
	view.Level = trainer.level(step, &s.rate)
	view.Room = int(float64(room.Slots) * trainer.share / s.shares())
	view.LongestLead = s.rate.time(step.longestTokens())
	return view
}

// level is how many samples of steps like this one must run at once, on average, for one step per training time.
func (t *trainerState) level(step *openStep, rate *rateEstimate) int {
	return int(rate.time(t.history.above(0)*len(step.samples)) / max(t.trainTime, 1))
}

// shares is the sum of all trainers' shares.
func (s *Scheduler) shares() float64 {
	sum := 0.0
	for _, trainer := range s.trainers {
		sum += trainer.share
	}
	return sum
}

// due is when the trainer is expected to fetch its open step of the given rank. Needs a training time.
func (t *trainerState) due(rank int) time.Duration {
	if t.waitingNow {
		return t.waitedFrom + t.trainTime*time.Duration(rank)
	}
	return t.deliveredAt + t.trainTime*time.Duration(rank+1)
}

// nextVersion is when weights newer than the newest available ones are expected. Each is announced with the
// fetch that it is made for and available a while later. It may be in the past. Needs a training time.
func (t *trainerState) nextVersion() time.Duration {
	next := t.released + 1
	if next <= t.using {
		return t.fetchedAt + t.spreadTime
	}
	ahead := int(next - t.using)
	if t.waitingNow {
		return t.due(ahead) + t.spreadTime
	}
	return t.due(ahead-1) + t.spreadTime
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

// revealFactor is how many mean lengths a probe runs until its group can be called long.
const revealFactor = 2

func (s *Scheduler) sampleView(one *sample) SampleView {
	view := SampleView{Index: one.id.Index, Generated: one.generated, GroupKnown: one.group.known()}
	view.MayNeed = one.group.mayReach(one.step.longestTokens(), one.generated, one.maxTokens) - one.generated
	if view.probe() {
		view.MayNeed += one.step.trainer.history.above(0) * revealFactor
	}
	if s.rate.known() {
		view.Lead = s.rate.time(view.MayNeed)
	}
	return view
}

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
