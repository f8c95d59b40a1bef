package rollout

import (
	"slices"
	"time"
)

// Parameters of the learned estimates.
const (
	trainTimeWeight         = 0.5 // weight of the latest training time
	availabilityDelayWeight = 0.3 // weight of the latest time from a fetch until its version is available
	defaultMargin           = 0.3
	marginDecay             = 0.97 // factor applied after a step that did not make its trainer wait
	minMargin               = 0.02
	maxMargin               = 1.0
	toleratedWaitShare      = 0.01 // share of the training time up to which a wait is ignored
	tokenTimeWeight         = 0.05 // weight of the latest sample's time per token
	minTokenTimeSamples     = 4
)

// tokenTimeEstimate learns the time per token of one running sample.
type tokenTimeEstimate struct {
	perToken float64 // in seconds
	samples  int
}

func (r *tokenTimeEstimate) learn(elapsed time.Duration, tokens int) {
	if tokens <= 0 || elapsed <= 0 {
		return
	}
	newest := elapsed.Seconds() / float64(tokens)
	r.samples++
	weight := max(tokenTimeWeight, 1/float64(r.samples))
	r.perToken += (newest - r.perToken) * weight
}

func (r *tokenTimeEstimate) isReliable() bool { return r.samples >= minTokenTimeSamples }

func (r *tokenTimeEstimate) estimate(tokens int) time.Duration {
	return time.Duration(r.perToken * float64(tokens) * float64(time.Second))
}

// FetchStarted records that a trainer fetches its next step and waits for it. The trainer now uses the given weight
// version.
func (s *Scheduler) FetchStarted(now time.Duration, name string, version uint64) {
	trainer := s.trainer(name)
	if version > trainer.fetchedVersion {
		trainer.fetchedVersion, trainer.fetchedAt = version, now
	}
	trainer.versionsInTraining = 0
	if trainer.isWaiting {
		return
	}
	trainer.isWaiting = true
	trainer.waitingSince = now
	if !trainer.awaitingFetch {
		return
	}
	trainer.awaitingFetch = false
	newest := now - trainer.deliveredAt
	if !trainer.hasTrainTime {
		trainer.trainTime = newest
		trainer.hasTrainTime = true
		return
	}
	trainer.trainTime += time.Duration(float64(newest-trainer.trainTime) * trainTimeWeight)
}

// Released records that new weights of a trainer are available to the pool. That may be long after the fetch with
// this version, and even after the trainer received the step it fetched.
func (s *Scheduler) Released(now time.Duration, name string, version uint64) {
	trainer := s.trainer(name)
	if version <= trainer.availableVersion {
		return
	}
	if version == trainer.fetchedVersion {
		trainer.availabilityDelay += time.Duration(float64(now-trainer.fetchedAt-trainer.availabilityDelay) * availabilityDelayWeight)
	}
	trainer.availableVersion = version
}

// Delivered records that a complete step was handed over to its trainer, and closes it. Its unfinished samples are
// dropped. The trainer is assumed to compute its next version from now on.
func (s *Scheduler) Delivered(now time.Duration, name string, number uint64) {
	trainer := s.trainer(name)
	position, exists := slices.BinarySearchFunc(trainer.steps, number, compareStep)
	if !exists {
		return
	}
	trainer.adaptMargin(now)
	trainer.versionsInTraining = 1
	trainer.isWaiting = false
	trainer.awaitingFetch = true
	trainer.deliveredAt = now
	s.removeStep(trainer, position)
}

// StepClosed drops a step that its trainer already has because another coordinator handed it over. Estimates are not
// updated. A step that is not open is ignored.
func (s *Scheduler) StepClosed(name string, number uint64) {
	trainer := s.trainer(name)
	if position, exists := slices.BinarySearchFunc(trainer.steps, number, compareStep); exists {
		s.removeStep(trainer, position)
	}
}

// removeStep drops a step and stops counting its running samples.
func (s *Scheduler) removeStep(trainer *trainerState, position int) {
	for _, one := range trainer.steps[position].samples {
		if one.phase == running {
			s.markStopped(one)
		}
		delete(s.samples, one.id)
	}
	trainer.steps = slices.Delete(trainer.steps, position, position+1)
}

// adaptMargin adapts the margin to the wait of the trainer for the step delivered now. A wait is added to the margin,
// and a step in time shrinks it.
func (t *trainerState) adaptMargin(now time.Duration) {
	if !t.hasTrainTime || !t.isWaiting {
		return
	}
	waited := float64(now-t.waitingSince) / float64(max(t.trainTime, 1))
	if waited > toleratedWaitShare {
		t.margin = min(t.margin+waited, maxMargin)
		return
	}
	t.margin = max(t.margin*marginDecay, minMargin)
}

// Progress records the number of tokens that a running sample has so far, and the version that generated the latest
// ones.
func (s *Scheduler) Progress(_ time.Duration, id SampleID, tokens int, version uint64) {
	one := s.samples[id]
	if one == nil || one.phase != running || tokens <= one.generated {
		return
	}
	one.generated = tokens
	one.group.longestSoFar = max(one.group.longestSoFar, tokens)
	if !one.hasVersion || version < one.oldestVersion {
		one.oldestVersion = version
	}
	one.hasVersion = true
}

// Finished records that a sample was generated, scored and stored. After a takeover it is also used to record samples
// that were stored before.
func (s *Scheduler) Finished(now time.Duration, id SampleID, tokens int, oldestVersion uint64) {
	one := s.samples[id]
	if one == nil || one.phase == finished {
		return
	}
	if one.phase == running {
		s.tokenTime.learn(now-one.startedAt, tokens-one.tokensAtStart)
		s.markStopped(one)
		s.counters.Finished++
		s.counters.FinishedTokens += uint64(tokens)
	} else {
		one.step.dequeue(one)
	}
	one.phase = finished
	one.generated = tokens
	one.oldestVersion = oldestVersion
	one.hasVersion = true
	one.step.finished++
	one.group.finished++
	one.group.finishedTokens += tokens
	one.group.longestSoFar = max(one.group.longestSoFar, tokens)
	one.step.trainer.history.learn(tokens)
	one.step.finishedSinceSort++
	if one.group.finished == 1 {
		one.step.needsSort = true // the expected length of the group changes with its first result
	}
	one.step.estimate.changes++
}

// Interrupted records that a running sample was interrupted. The sample waits again, and keeps its tokens if the
// policy keeps prefixes. It returns the number of tokens from which generation continues.
func (s *Scheduler) Interrupted(_ time.Duration, id SampleID) int {
	one := s.samples[id]
	if one == nil || one.phase != running {
		return 0
	}
	s.markStopped(one)
	s.counters.Interrupted++
	if !s.policy.KeepsPrefix() {
		s.discardTokens(one)
	}
	one.enqueue()
	return one.generated
}

// Hold prevents a waiting sample from starting before a given time. Other samples of its step start meanwhile.
func (s *Scheduler) Hold(id SampleID, until time.Duration) {
	if one := s.samples[id]; one != nil {
		one.notBefore = until
	}
}

// Discarded records that a sample was discarded for its staleness. Its tokens are dropped, and it waits again under
// the given edition.
func (s *Scheduler) Discarded(_ time.Duration, id SampleID, edition uint32) {
	one := s.samples[id]
	if one == nil {
		return
	}
	switch one.phase {
	case running:
		s.markStopped(one)
	case finished:
		one.step.finished--
		one.group.finished--
		one.group.finishedTokens -= one.generated
	case waiting:
		one.step.dequeue(one)
	}
	one.edition = edition
	s.counters.Discarded++
	s.discardTokens(one)
	one.enqueue()
}

// PreemptionCandidates returns up to count running samples to interrupt in favour of live traffic. Samples of later
// steps come first, and among those the ones with the fewest tokens. The caller interrupts them and calls
// Interrupted.
func (s *Scheduler) PreemptionCandidates(count int) []SampleID {
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

// Expired returns the samples whose tokens will exceed the staleness bound when they are used. The caller durably
// stops or discards them and calls Discarded.
func (s *Scheduler) Expired(bound uint64) []SampleID {
	var expired []SampleID
	for _, trainer := range s.trainers {
		for _, step := range trainer.steps {
			use := trainer.expectedUseVersion(step)
			for _, one := range step.samples {
				if one.hasVersion && use > one.oldestVersion+bound {
					expired = append(expired, one.id)
				}
			}
		}
	}
	return expired
}

// HasOpenSteps reports whether any step is open.
func (s *Scheduler) HasOpenSteps() bool {
	for _, trainer := range s.trainers {
		if len(trainer.steps) > 0 {
			return true
		}
	}
	return false
}

// Forget drops a trainer and its open steps because another coordinator schedules them now.
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

// markStopped counts a running sample as waiting again, without queueing it.
func (s *Scheduler) markStopped(one *sample) {
	one.phase = waiting
	one.step.running--
	one.step.trainer.running--
	s.running--
}

// discardTokens drops the tokens of a sample.
func (s *Scheduler) discardTokens(one *sample) {
	s.counters.DiscardedTokens += uint64(one.generated)
	one.generated = 0
	one.hasVersion = false
}

// enqueue adds the sample to the waiting ones of its step.
func (s *sample) enqueue() {
	s.phase = waiting
	s.step.waiting = append(s.step.waiting, s)
	s.step.needsSort = true
	s.step.estimate.valid = false
}

// firstReady returns the first of the waiting samples that may start now, or nil.
func (s *openStep) firstReady(now time.Duration) *sample {
	position := slices.IndexFunc(s.waiting, func(one *sample) bool { return one.notBefore <= now })
	if position < 0 {
		return nil
	}
	return s.waiting[position]
}

// dequeue removes a sample from the waiting ones, if it is among them.
func (s *openStep) dequeue(one *sample) {
	if position := slices.Index(s.waiting, one); position >= 0 {
		s.waiting = slices.Delete(s.waiting, position, position+1)
	}
}
