package experiment

import (
	"fmt"
	"math"
	mathrand "math/rand"
	"math/rand/v2"
	"time"

	"github.com/tamarindring/tamarindring/internal/rollout"
)

// trainer is the stand-in of one trainer: it wants steps one after the other, each with the version that
// the step before made.
type trainer struct {
	coordinator *coordinator
	index       int
	spec        *Trainer
	random      *rand.Rand
	steps       map[uint64]*trainerStep
	wanted      uint64 // number of the step that is wanted or was delivered last
	version     uint64 // of the trainer's weights
	waiting     bool
	waitedFrom  time.Duration
}

// trainerStep is an open step.
type trainerStep struct {
	number   uint64
	samples  []*sample
	finished int
}

func newTrainer(c *coordinator, index int) *trainer {
	s := c.simulation
	return &trainer{
		coordinator: c, index: index, spec: &s.scenario.Trainers[index], steps: map[uint64]*trainerStep{},
		random: newRandom(s.seed, uint64(index)<<8|streamTrainers),
	}
}

func (t *trainer) start() {
	if err := t.coordinator.scheduler.SetShare(t.spec.Name, t.spec.Share); err != nil {
		panic(err) // shares were validated
	}
	for number := range t.spec.StepsAhead + 1 {
		t.open(uint64(number) + 1)
	}
	t.want(1)
}

// open draws a step's samples and opens it. The draws depend on seed, trainer and step only, so that every
// policy gets the same work.
func (t *trainer) open(number uint64) {
	c := t.coordinator
	seed := mix(c.simulation.seed<<32 ^ uint64(t.index)<<24 ^ number<<8 ^ streamSamples)
	random := mathrand.New(mathrand.NewSource(int64(seed)))
	step := &trainerStep{number: number}
	request := rollout.Step{Trainer: t.spec.Name, Number: number, SamplesPerPrompt: t.spec.SamplesPerPrompt}
	for position := range t.spec.PromptsPerStep {
		prompt := rollout.Prompt{ID: fmt.Sprintf("p%d", position), MaxTokens: t.spec.OutputTokens.Max}
		request.Prompts = append(request.Prompts, prompt)
		t.addGroup(step, prompt.ID, seed+uint64(position), random)
	}
	t.steps[number] = step
	if err := c.scheduler.OpenStep(c.simulation.now, request); err != nil {
		panic(err) // sizes were validated
	}
}

func (t *trainer) addGroup(step *trainerStep, prompt string, name uint64, random *mathrand.Rand) {
	blockTokens := t.coordinator.simulation.scenario.Fleet.Engine.BlockTokens
	group := &promptGroup{tokens: t.spec.PromptTokens.Draw(random)}
	group.hashes = blockHashes(mix(name), group.tokens, blockTokens)
	group.blocks = routingBlocks(group.hashes, blockTokens)
	typical := float64(t.spec.OutputTokens.Draw(random))
	for index := range t.spec.SamplesPerPrompt {
		length := typical * math.Exp(t.spec.GroupSigma*random.NormFloat64())
		added := &sample{
			coordinator: t.coordinator, trainer: t, step: step, group: group,
			id:     rollout.SampleID{Trainer: t.spec.Name, Step: step.number, Prompt: prompt, Index: uint32(index)},
			length: int(min(max(length, 1), float64(t.spec.OutputTokens.Max))),
		}
		step.samples = append(step.samples, added)
		t.coordinator.samples[added.id] = added
	}
}

// want asks for a step with the version that the trainer has.
func (t *trainer) want(number uint64) {
	c := t.coordinator
	t.wanted, t.waiting, t.waitedFrom = number, true, c.simulation.now
	c.scheduler.Wanted(c.simulation.now, t.spec.Name, t.version)
	c.discardExpired()
	t.tryDeliver()
	c.dispatch()
}

// tryDeliver hands the wanted step over if all its samples are there and none is too old.
func (t *trainer) tryDeliver() {
	step := t.steps[t.wanted]
	if !t.waiting || step.finished < len(step.samples) {
		return
	}
	fresh := true
	for _, one := range step.samples {
		if t.version-one.oldest > t.coordinator.simulation.scenario.Table.StalenessBound {
			one.discard()
			fresh = false
		}
	}
	if fresh {
		t.deliver(step)
	}
}

func (t *trainer) deliver(step *trainerStep) {
	c := t.coordinator
	s := c.simulation
	t.waiting = false
	s.measure.delivered(t, step, s.now)
	c.scheduler.Delivered(s.now, t.spec.Name, step.number)
	for _, one := range step.samples {
		delete(c.samples, one.id)
	}
	delete(t.steps, step.number)
	t.open(step.number + uint64(t.spec.StepsAhead) + 1)
	trainTime := time.Duration(float64(t.spec.TrainTime) * math.Exp(t.spec.TrainJitter*t.random.NormFloat64()))
	s.measure.training(t.index, trainTime)
	s.after(trainTime, t.trained)
}

// trained publishes the new version and wants the next step.
func (t *trainer) trained() {
	t.version = t.wanted
	t.coordinator.released(t)
	t.want(t.wanted + 1)
}

// close counts a wait that is still open.
func (t *trainer) close() {
	if t.waiting {
		t.coordinator.simulation.measure.waited(t.index, t.waitedFrom, t.coordinator.simulation.now)
	}
}
