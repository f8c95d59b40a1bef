package experiment

import (
	"fmt"
	"math"
	mathrand "math/rand"
	"math/rand/v2"
	"time"

	"github.com/tamarindring/tamarindring/internal/rollout"
)

// trainer simulates one trainer. It waits for a step, trains on it, releases the resulting weight version and then
// waits for the next step.
type trainer struct {
	coordinator  *coordinator
	index        int
	spec         *Trainer
	random       *rand.Rand
	steps        map[uint64]*trainerStep
	wantedStep   uint64 // number of the requested step or, during training, of the step that was delivered last
	version      uint64 // of the trainer's current weights
	waiting      bool
	waitingSince time.Duration
}

// trainerStep is a step whose samples are being generated.
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
		panic(err) // cannot happen: Validate checks the shares
	}
	for number := range t.spec.StepsAhead + 1 {
		t.openStep(uint64(number) + 1)
	}
	t.requestStep(1)
}

// openStep draws the samples of a step and opens it at the scheduler. The draws depend only on seed, trainer and step,
// so that every policy gets the same work.
func (t *trainer) openStep(number uint64) {
	c := t.coordinator
	seed := mixBits(c.simulation.seed<<32 ^ uint64(t.index)<<24 ^ number<<8 ^ streamSamples)
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
		panic(err) // cannot happen: Validate checks the sizes
	}
}

func (t *trainer) addGroup(step *trainerStep, prompt string, hashSeed uint64, random *mathrand.Rand) {
	blockTokens := t.coordinator.simulation.scenario.Fleet.Engine.BlockTokens
	group := &promptGroup{promptTokens: t.spec.PromptTokens.Draw(random)}
	group.blockHashes = hashBlocks(mixBits(hashSeed), group.promptTokens, blockTokens)
	group.routingBlocks = selectRoutingBlocks(group.blockHashes, blockTokens)
	typical := float64(t.spec.OutputTokens.Draw(random))
	for index := range t.spec.SamplesPerPrompt {
		length := typical * math.Exp(t.spec.GroupSigma*random.NormFloat64())
		added := &sample{
			coordinator: t.coordinator, trainer: t, step: step, group: group,
			id:           rollout.SampleID{Trainer: t.spec.Name, Step: step.number, Prompt: prompt, Index: uint32(index)},
			targetTokens: int(min(max(length, 1), float64(t.spec.OutputTokens.Max))),
		}
		step.samples = append(step.samples, added)
		t.coordinator.samples[added.id] = added
	}
}

// requestStep starts the trainer's wait for a step, with the trainer's current weight version.
func (t *trainer) requestStep(number uint64) {
	c := t.coordinator
	t.wantedStep, t.waiting, t.waitingSince = number, true, c.simulation.now
	c.scheduler.FetchStarted(c.simulation.now, t.spec.Name, t.version)
	c.discardExpired()
	t.tryDeliver()
	c.dispatch()
}

// tryDeliver delivers the requested step if all its samples are scored and none exceeds the staleness bound. Samples
// over the bound are discarded and generated again.
func (t *trainer) tryDeliver() {
	step := t.steps[t.wantedStep]
	if !t.waiting || step.finished < len(step.samples) {
		return
	}
	allFresh := true
	for _, one := range step.samples {
		if t.version-one.oldestVersion > t.coordinator.simulation.scenario.Table.StalenessBound {
			one.discard()
			allFresh = false
		}
	}
	if allFresh {
		t.deliver(step)
	}
}

func (t *trainer) deliver(step *trainerStep) {
	c := t.coordinator
	s := c.simulation
	t.waiting = false
	s.measurement.recordStep(t, step, s.now)
	c.scheduler.Delivered(s.now, t.spec.Name, step.number)
	for _, one := range step.samples {
		delete(c.samples, one.id)
	}
	delete(t.steps, step.number)
	t.openStep(step.number + uint64(t.spec.StepsAhead) + 1)
	trainTime := time.Duration(float64(t.spec.TrainTime) * math.Exp(t.spec.TrainJitter*t.random.NormFloat64()))
	s.measurement.setTrainTime(t.index, trainTime)
	s.after(trainTime, t.finishTraining)
}

// finishTraining releases the new weight version and requests the next step.
func (t *trainer) finishTraining() {
	t.version = t.wantedStep
	t.coordinator.releaseWeights(t)
	t.requestStep(t.wantedStep + 1)
}

// close records a wait that is still open at the end of the run.
func (t *trainer) close() {
	if t.waiting {
		t.coordinator.simulation.measurement.addWait(t.index, t.waitingSince, t.coordinator.simulation.now)
	}
}
