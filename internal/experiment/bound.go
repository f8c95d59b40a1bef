package experiment

import (
	"time"
)

// Bound is what no scheduler can beat on the work of one run.
type Bound struct {
	// Capacity is the rollout tokens a second that the fleet could make beside its live traffic, with every
	// replica always at its full batch.
	Capacity float64 `json:"capacity_tokens_per_second"`
	// StepTime is the least mean time from one delivered step to the next.
	StepTime Seconds `json:"step_time_seconds"`
	// Train, Work and Longest are the parts whose greatest StepTime is: training itself, all tokens over
	// the capacity, and the longest sample at the speed of an empty engine, as far ahead as steps may start.
	Train   Seconds `json:"train_seconds"`
	Work    Seconds `json:"work_seconds"`
	Longest Seconds `json:"longest_seconds"`
	// IdleShare is the least share of a trainer's time that it waits.
	IdleShare float64 `json:"idle_share"`
}

// work is what the delivered steps of a run asked for.
type work struct {
	steps                    int
	tokens, prompts, longest int     // summed over the steps; prompts once per group
	context                  float64 // attended to, summed over the tokens
	train                    time.Duration
}

func (m *measurement) work(trainer int) work {
	var sum work
	spec := &m.scenario.Trainers[trainer]
	for _, step := range m.trainers[trainer].steps {
		if step.trainTime == 0 {
			continue
		}
		sum.steps++
		sum.tokens += step.tokens
		sum.prompts += step.prompts / spec.SamplesPerPrompt
		sum.longest += step.longest
		sum.context += step.context
		sum.train += step.trainTime
	}
	return sum
}

// bound computes the lower bound. Trainers are taken to be alike: together they cannot get more than the
// capacity, and each gets its part.
func (m *measurement) bound() Bound {
	var result Bound
	stepWork, train, longest := 0.0, 0.0, 0.0
	counted := 0
	for trainer := range m.trainers {
		sum := m.work(trainer)
		if sum.steps == 0 {
			continue
		}
		counted++
		spec := &m.scenario.Trainers[trainer]
		capacity := m.capacity(sum)
		result.Capacity = max(result.Capacity, capacity)
		stepWork += float64(sum.tokens) / float64(sum.steps) / capacity
		meanTrain := sum.train.Seconds() / float64(sum.steps)
		train += meanTrain
		longest += m.longestBound(spec, meanTrain, float64(sum.longest)/float64(sum.steps))
	}
	if counted == 0 {
		return result
	}
	result.Train, result.Longest = Seconds(train/float64(counted)), Seconds(longest/float64(counted))
	result.Work = Seconds(stepWork)
	result.StepTime = max(result.Train, result.Work, result.Longest)
	if result.StepTime > 0 {
		result.IdleShare = 1 - float64(result.Train/result.StepTime)
	}
	return result
}

// capacity is the rollout tokens a second beside the live traffic.
func (m *measurement) capacity(sum work) float64 {
	parameters := m.scenario.Fleet.Engine
	measured := (m.scenario.Duration - m.scenario.Warmup).Seconds()
	batch := parameters.MaxBatch
	context := float64(batch) * sum.context / float64(sum.tokens)
	step := parameters.StepTime(batch, int(context), 0).Seconds()
	full := float64(m.scenario.Fleet.Replicas()*batch) / step
	prefill := float64(sum.prompts) / float64(sum.tokens) / parameters.PrefillRate * full / float64(m.scenario.Fleet.Replicas())
	return max((full-float64(m.live.tokens)/measured)/(1+prefill), 1)
}

// longestBound is the least step time in seconds that the longest sample permits: it starts no earlier than
// its step is open and than the oldest version that it may name.
func (m *measurement) longestBound(spec *Trainer, train, longest float64) float64 {
	running := longest * m.scenario.Fleet.Engine.StepTime(1, 0, 0).Seconds()
	byStep := running / float64(spec.StepsAhead+1)
	byVersion := (train + running) / float64(m.scenario.Table.StalenessBound+1)
	return max(byStep, byVersion)
}
