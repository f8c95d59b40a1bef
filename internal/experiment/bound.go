package experiment

import (
	"time"
)

// Bound holds lower bounds on the step time and the idle time of any scheduler, given the work of one run.
type Bound struct {
	// Capacity is the rate of rollout tokens per second that the fleet can generate in addition to its live traffic,
	// with every replica always running a full batch.
	Capacity float64 `json:"capacity_tokens_per_second"`
	// StepTime is the lower bound on the mean time between two delivered steps: the maximum of Train, Work and Longest.
	StepTime Seconds `json:"step_time_seconds"`
	// Train is the mean training time. Work is the time to generate all tokens of a step at Capacity. Longest is the
	// time that the longest sample of a step needs on an otherwise empty engine, spread over the steps that may
	// overlap.
	Train   Seconds `json:"train_seconds"`
	Work    Seconds `json:"work_seconds"`
	Longest Seconds `json:"longest_seconds"`
	// IdleShare is the lower bound on the share of its time that a trainer waits, 0 to 1.
	IdleShare float64 `json:"idle_share"`
}

// deliveredWork sums the work of a trainer's delivered steps.
type deliveredWork struct {
	steps                                           int
	sampleTokens, promptTokens, longestSampleTokens int     // summed over the steps; a prompt counts once per group
	contextTokens                                   float64 // context length attended to, summed over the generated tokens
	trainTime                                       time.Duration
}

func (m *measurement) sumDeliveredWork(trainer int) deliveredWork {
	var sum deliveredWork
	spec := &m.scenario.Trainers[trainer]
	for _, step := range m.trainers[trainer].steps {
		if step.trainTime == 0 {
			continue
		}
		sum.steps++
		sum.sampleTokens += step.sampleTokens
		sum.promptTokens += step.promptTokens / spec.SamplesPerPrompt
		sum.longestSampleTokens += step.longestSampleTokens
		sum.contextTokens += step.contextTokens
		sum.trainTime += step.trainTime
	}
	return sum
}

// computeBound computes the lower bounds. It assumes that all trainers have similar demand and share the capacity
// equally.
func (m *measurement) computeBound() Bound {
	var result Bound
	stepWork, train, longest := 0.0, 0.0, 0.0
	countedTrainers := 0
	for trainer := range m.trainers {
		sum := m.sumDeliveredWork(trainer)
		if sum.steps == 0 {
			continue
		}
		countedTrainers++
		spec := &m.scenario.Trainers[trainer]
		capacity := m.rolloutCapacity(sum)
		result.Capacity = max(result.Capacity, capacity)
		stepWork += float64(sum.sampleTokens) / float64(sum.steps) / capacity
		meanTrain := sum.trainTime.Seconds() / float64(sum.steps)
		train += meanTrain
		longest += m.boundByLongestSample(spec, meanTrain, float64(sum.longestSampleTokens)/float64(sum.steps))
	}
	if countedTrainers == 0 {
		return result
	}
	result.Train, result.Longest = Seconds(train/float64(countedTrainers)), Seconds(longest/float64(countedTrainers))
	result.Work = Seconds(stepWork)
	result.StepTime = max(result.Train, result.Work, result.Longest)
	if result.StepTime > 0 {
		result.IdleShare = 1 - float64(result.Train/result.StepTime)
	}
	return result
}

// rolloutCapacity returns the maximum rate of rollout tokens per second that the live traffic leaves.
func (m *measurement) rolloutCapacity(sum deliveredWork) float64 {
	parameters := m.scenario.Fleet.Engine
	measured := (m.scenario.Duration - m.scenario.Warmup).Seconds()
	batch := parameters.MaxBatch
	context := float64(batch) * sum.contextTokens / float64(sum.sampleTokens)
	step := parameters.StepTime(batch, int(context), 0).Seconds()
	fullRate := float64(m.scenario.Fleet.Replicas()*batch) / step
	prefill := float64(sum.promptTokens) / float64(sum.sampleTokens) / parameters.PrefillRate * fullRate / float64(m.scenario.Fleet.Replicas())
	return max((fullRate-float64(m.live.outputTokens)/measured)/(1+prefill), 1)
}

// boundByLongestSample returns the lower bound on the step time, in seconds, due to the longest sample of a step. The
// sample cannot start before its step is open, nor before the release of the oldest weight version that the staleness
// bound permits.
func (m *measurement) boundByLongestSample(spec *Trainer, trainSeconds, longestTokens float64) float64 {
	running := longestTokens * m.scenario.Fleet.Engine.StepTime(1, 0, 0).Seconds()
	byStep := running / float64(spec.StepsAhead+1)
	byVersion := (trainSeconds + running) / float64(m.scenario.Table.StalenessBound+1)
	return max(byStep, byVersion)
}
