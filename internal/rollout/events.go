package rollout

import (
	"slices"
	"time"
)

// Learning constants.
const (
	trainTimeWeight  = 0.5 // weight of the newest training time
	spreadTimeWeight = 0.3 // weight of the newest time from a fetch until its version is available
	defaultMargin    = 0.3
	marginDecay      = 0.97 // factor after a step that did not make its trainer wait
	marginLeast      = 0.02
	marginMost       = 1.0
	tolerableWait    = 0.01 // share of the training time that counts as no wait
	rateWeight       = 0.05 // weight of the newest sample's token time
	rateLeastSamples = 4
)

// rateEstimate learns the time per token of one running sample.
type rateEstimate struct {
	perToken float64 // seconds
	samples  int
}

func (r *rateEstimate) learn(elapsed time.Duration, tokens int) {
	if tokens <= 0 || elapsed <= 0 {
		return
	}
	newest := elapsed.Seconds() / float64(tokens)
	r.samples++
	weight := max(rateWeight, 1/float64(r.samples))
	r.perToken += (newest - r.perToken) * weight
}

func (r *rateEstimate) known() bool { return r.samples >= rateLeastSamples }

func (r *rateEstimate) time(tokens int) time.Duration {
	return time.Duration(r.perToken * float64(tokens) * float64(time.Second))
}

// Wanted records a fetch: the trainer waits now, at the given weight version.
func (s *Scheduler) Wanted(now time.Duration, name string, version uint64) {
	trainer := s.trainer(name)
	if version > trainer.using {
		trainer.using, trainer.fetchedAt = version, now
	}
	trainer.pending = 0
	if trainer.waitingNow {
		return
	}
	trainer.waitingNow = true
	trainer.waitedFrom = now
	if !trainer.delivered {
		return
	}
	trainer.delivered = false
	newest := now - trainer.deliveredAt
	if !trainer.hasTrain {
		trainer.trainTime = newest
		trainer.hasTrain = true
		return
	}
	trainer.trainTime += time.Duration(float64(newest-trainer.trainTime) * trainTimeWeight)
}

// Released records that a trainer's new weights are available to the pool. That may be long after the
// trainer fetched with them, and after it received the next step.
func (s *Scheduler) Released(now time.Duration, name string, version uint64) {
	trainer := s.trainer(name)
	if version <= trainer.released {
		return
	}
	if version == trainer.using {
		trainer.spreadTime += time.Duration(float64(now-trainer.fetchedAt-trainer.spreadTime) * spreadTimeWeight)
	}
	trainer.released = version
}

// Delivered records that a whole step was handed over and closes it. Samples of it that are not finished
// are forgotten. The trainer now computes the next version.
func (s *Scheduler) Delivered(now time.Duration, name string, number uint64) {
	trainer := s.trainer(name)
	position, exists := slices.BinarySearchFunc(trainer.steps, number, compareStep)
	if !exists {
		return
	}
	trainer.adaptMargin(now)
	trainer.pending = 1
	trainer.waitingNow = false
	trainer.delivered = true
	trainer.deliveredAt = now
	s.removeStep(trainer, position)
}

// Closed drops a step that its trainer turns out to have already, because another coordinator handed it
// over. Nothing is learned from it. A step that is not open is left alone.
func (s *Scheduler) Closed(name string, number uint64) {
	trainer := s.trainer(name)
	if position, exists := slices.BinarySearchFunc(trainer.steps, number, compareStep); exists {
		s.removeStep(trainer, position)
	}
}

// removeStep forgets a step; what runs of it stops.
func (s *Scheduler) removeStep(trainer *trainerState, position int) {
	for _, one := range trainer.steps[position].samples {
		if one.phase == running {
			s.stop(one)
		}
		delete(s.samples, one.id)
	}
	trainer.steps = slices.Delete(trainer.steps, position, position+1)
}

// adaptMargin follows what the trainer sees: a wait is added to the margin, no wait shrinks it.
func (t *trainerState) adaptMargin(now time.Duration) {
	if !t.hasTrain || !t.waitingNow {
		return
	}
	waited := float64(now-t.waitedFrom) / float64(max(t.trainTime, 1))
	if waited > tolerableWait {
		t.margin = min(t.margin+waited, marginMost)
		return
	}
	t.margin = max(t.margin*marginDecay, marginLeast)
}

// Progress records a running sample's tokens so far and the version that made the newest of them.
func (s *Scheduler) Progress(_ time.Duration, id SampleID, tokens int, version uint64) {
	one := s.samples[id]
	if one == nil || one.phase != running || tokens <= one.generated {
		return
	}
	one.generated = tokens
	one.group.longestSoFar = max(one.group.longestSoFar, tokens)
	if !one.hasVersion || version < one.oldest {
		one.oldest = version
	}
	one.hasVersion = true
}

// Finished records a sample that is generated, scored and stored. It is also used to tell a scheduler
// about stored samples after a takeover.
func (s *Scheduler) Finished(now time.Duration, id SampleID, tokens int, oldest uint64) {
	one := s.samples[id]
	if one == nil || one.phase == finished {
		return
	}
	if one.phase == running {
		s.rate.learn(now-one.startedAt, tokens-one.startedOn)
		s.stop(one)
		s.counters.Finished++
		s.counters.FinishedTokens += uint64(tokens)
	} else {
		one.step.unqueue(one)
	}
	one.phase = finished
	one.generated = tokens
	one.oldest = oldest
	one.hasVersion = true
	one.step.finished++
	one.group.finished++
	one.group.finishedTotal += tokens
	one.group.longestSoFar = max(one.group.longestSoFar, tokens)
	one.step.trainer.history.learn(tokens)
	one.step.changes++
	if one.group.finished == 1 {
		one.step.dirty = true // the group's length is known now
	}
	one.step.estimate.changes++
}

// Interrupted records that a running sample was cut; it waits again, with its tokens if the policy keeps
// them. The returned number of tokens is where generation will go on.
func (s *Scheduler) Interrupted(_ time.Duration, id SampleID) int {
	one := s.samples[id]
	if one == nil || one.phase != running {
		return 0
	}
	s.stop(one)
	s.counters.Interrupted++
	if !s.policy.KeepsPrefix() {
		s.drop(one)
	}
	one.enqueue()
	return one.generated
}

// Discarded records that a sample was too old: its tokens are dropped, its edition is the given one, and
// it waits again.
func (s *Scheduler) Discarded(_ time.Duration, id SampleID, edition uint32) {
	one := s.samples[id]
	if one == nil {
		return
	}
	switch one.phase {
	case running:
		s.stop(one)
	case finished:
		one.step.finished--
		one.group.finished--
		one.group.finishedTotal -= one.generated
	case waiting:
		one.step.unqueue(one)
	}
	one.edition = edition
	s.counters.Discarded++
	s.drop(one)
	one.enqueue()
}

// Yield chooses count running samples to interrupt so that live traffic gets their room: those of the
// latest steps and with the fewest tokens first. The caller interrupts them and calls Interrupted.
func (s *Scheduler) Yield(count int) []SampleID {
	var candidates []*sample
	for _, trainer := range s.trainers {
		for _, step := range trainer.steps {
			for _, one := range step.samples {
				if one.phase == running {
					candidates = append(candidates, one)
				}
			}
		}
	}
	slices.SortStableFunc(candidates, func(first, second *sample) int {
		firstRank := first.step.trainer.rank(first.step)
		secondRank := second.step.trainer.rank(second.step)
		if firstRank != secondRank {
			return secondRank - firstRank
		}
		return first.generated - second.generated
	})
	chosen := make([]SampleID, 0, min(count, len(candidates)))
	for _, one := range candidates[:min(max(count, 0), len(candidates))] {
		chosen = append(chosen, one.id)
	}
	return chosen
}

// Expired returns the samples whose tokens will be older than the bound when they are used: the caller
// stops or discards them durably and calls Discarded.
func (s *Scheduler) Expired(bound uint64) []SampleID {
	var expired []SampleID
	for _, trainer := range s.trainers {
		for _, step := range trainer.steps {
			use := trainer.useVersion(step)
			for _, one := range step.samples {
				if one.hasVersion && use > one.oldest+bound {
					expired = append(expired, one.id)
				}
			}
		}
	}
	return expired
}

// Open reports whether any step is open.
func (s *Scheduler) Open() bool {
	for _, trainer := range s.trainers {
		if len(trainer.steps) > 0 {
			return true
		}
	}
	return false
}

// Forget drops a trainer with its open steps, because another coordinator schedules them now.
func (s *Scheduler) Forget(name string) {
	s.trainers = slices.DeleteFunc(s.trainers, func(trainer *trainerState) bool {
		if trainer.name != name {
			return false
		}
		for _, step := range trainer.steps {
			for _, one := range step.samples {
				delete(s.samples, one.id)
			}
		}
		s.running -= trainer.running
		return true
	})
}

func (s *Scheduler) stop(one *sample) {
	one.phase = waiting
	one.step.running--
	one.step.trainer.running--
	s.running--
}

func (s *Scheduler) drop(one *sample) {
	s.counters.DiscardedTokens += uint64(one.generated)
	one.generated = 0
	one.hasVersion = false
}

func (s *sample) enqueue() {
	s.phase = waiting
	s.step.waiting = append(s.step.waiting, s)
	s.step.dirty = true
	s.step.estimate.valid = false
}

func (s *openStep) unqueue(one *sample) {
	if position := slices.Index(s.waiting, one); position >= 0 {
		s.waiting = slices.Delete(s.waiting, position, position+1)
	}
}
