package schedule

import (
	"cmp"
	"math"
	"slices"
)

// The memory of a replica is a second limit besides its slots. It holds the prompts and answers of all runs there. A
// replica that runs out of memory preempts a run and later processes its prompt and text again, which costs that run
// its time and delays all others.

// tokensPerEvent returns how many tokens an event carries, from the estimated lengths of complete answers; 0 if none
// was seen.
func (p *pool) tokensPerEvent() float64 {
	if p.meanEvents == 0 {
		return 0
	}
	return p.meanLength / p.meanEvents
}

// answerMemory is the memory that an answer uses on a replica.
type answerMemory struct {
	produced  float64 // tokens so far
	remaining float64 // tokens that are expected to follow
}

// answerMemoryOf returns the memory that an item's answer uses on its replica. More tokens are expected to follow even
// if the answer has exceeded its estimate, but it never exceeds the maximum length of its request.
func (p *pool) answerMemoryOf(entry *item) answerMemory {
	expected := float64(entry.Length)
	if p.overrun > 0 {
		expected *= p.overrun
	}
	produced := float64(entry.earlierEvents+entry.run.events) * p.tokensPerEvent()
	remaining := math.Max(expected-produced, likelyRemainingShare*produced)
	if entry.MaxTokens > 0 {
		remaining = math.Max(math.Min(remaining, float64(entry.MaxTokens)-produced), 0)
	}
	return answerMemory{produced: produced, remaining: remaining}
}

// computePeak returns the peak memory use of answers that progress concurrently at the same pace. answers is sorted by
// remaining tokens in descending order. When an answer ends, its memory is freed, and the others grow until the next
// one ends.
func computePeak(answers []answerMemory) float64 {
	peak, produced := 0.0, 0.0
	for i, one := range answers {
		produced += one.produced
		peak = math.Max(peak, produced+float64(i+1)*one.remaining)
	}
	return peak
}

// computePeakWith returns the peak memory use of answers and one more answer.
func computePeakWith(answers []answerMemory, added answerMemory) float64 {
	position, _ := slices.BinarySearchFunc(answers, added, byRemainingDescending)
	peak, produced := computePeak(answers[:position]), added.produced
	for _, one := range answers[:position] {
		produced += one.produced
	}
	peak = math.Max(peak, produced+float64(position+1)*added.remaining)
	for i, one := range answers[position:] {
		produced += one.produced
		peak = math.Max(peak, produced+float64(position+i+2)*one.remaining)
	}
	return peak
}

// byRemainingDescending compares answers for sorting by remaining tokens, the largest first.
func byRemainingDescending(a, b answerMemory) int { return cmp.Compare(b.remaining, a.remaining) }

// memoryUsage is the memory used by the items of a replica. It is cached between changes, because placing one item
// queries many replicas.
type memoryUsage struct {
	valid        bool              // the items have not changed since it was computed
	revision     uint64            // Scheduler.revision for which it was computed
	answers      []answerMemory    // sorted by remaining tokens in descending order
	prompts      map[*group]uint64 // tokens of the prompt shared by a group's items
	promptTokens uint64            // tokens of all prompts
}

// memoryUsageOf returns the memory used by the items that run on a replica or have a slot reserved there.
func (s *Scheduler) memoryUsageOf(replica *replica) *memoryUsage {
	if replica.memoryUsage == nil {
		replica.memoryUsage = &memoryUsage{prompts: map[*group]uint64{}}
	}
	usage, pool := replica.memoryUsage, s.poolNamed(replica.Pool)
	if usage.valid && usage.revision == s.revision {
		return usage
	}
	usage.valid, usage.revision, usage.answers, usage.promptTokens = true, s.revision, usage.answers[:0], 0
	clear(usage.prompts)
	for entry := range replica.items {
		usage.answers = append(usage.answers, pool.answerMemoryOf(entry))
		usage.promptTokens += usage.additionalPrompt(entry)
		usage.prompts[entry.group] = max(usage.prompts[entry.group], entry.Prompt)
	}
	slices.SortFunc(usage.answers, byRemainingDescending)
	return usage
}

// invalidate has the usage computed again on the next query.
func (u *memoryUsage) invalidate() {
	if u != nil {
		u.valid = false
	}
}

// additionalPrompt returns how many prompt tokens an item adds to those of the other items. Items of a group share a
// prompt.
func (u *memoryUsage) additionalPrompt(entry *item) uint64 {
	present := u.prompts[entry.group]
	return max(present, entry.Prompt) - present
}

// peakMemory returns the expected peak memory use, in tokens, of the items on a replica.
func (s *Scheduler) peakMemory(replica *replica) float64 {
	usage := s.memoryUsageOf(replica)
	return computePeak(usage.answers) + float64(usage.promptTokens)
}

// peakMemoryWith returns the expected peak memory use of a replica with one more item.
func (s *Scheduler) peakMemoryWith(replica *replica, added *item) float64 {
	usage := s.memoryUsageOf(replica)
	return computePeakWith(usage.answers, s.poolNamed(replica.Pool).answerMemoryOf(added)) + float64(usage.promptTokens+usage.additionalPrompt(added))
}

// hasMemoryFor reports whether a replica's memory is expected to suffice for an item until it completes. An idle
// replica accepts any item and itself rejects those that it can't hold, unless a larger replica can hold them. Items in
// pools without reported paces are placed by slots alone.
func (s *Scheduler) hasMemoryFor(replica *replica, entry *item) bool {
	if s.hasLargerFor(replica, entry) {
		return false
	}
	if replica.Memory == 0 || !entry.Estimated || len(replica.items) == 0 || !s.poolNamed(replica.Pool).reportsPace {
		return true
	}
	return s.peakMemoryWith(replica, entry) <= float64(replica.Memory)
}

// overrunWeight is the weight of a complete answer in the learned ratio of actual to estimated lengths.
const overrunWeight = 0.02

// overrunQuantile is the fraction of answers that are to stay within the memory planned for them. Preempting a run for
// lack of memory costs more time than a slot that stays empty for a moment.
const overrunQuantile = 0.75

// learnOverrun moves the estimated quantile towards the ratio of a complete answer's actual to its estimated length.
// The estimate grows in proportion to the quantile and shrinks in proportion to one minus the quantile.
func (p *pool) learnOverrun(events int, length uint64) {
	tokensPerEvent := p.tokensPerEvent()
	if tokensPerEvent == 0 || events == 0 || length == 0 {
		return
	}
	if p.overrun == 0 {
		p.overrun = 1
	}
	if float64(events)*tokensPerEvent > p.overrun*float64(length) {
		p.overrun *= 1 + overrunWeight*overrunQuantile
	} else {
		p.overrun *= 1 - overrunWeight*(1-overrunQuantile)
	}
	p.overrun = min(max(p.overrun, minimumOverrun), maximumOverrun)
}

// Bounds of the learned ratio. They keep meaningless length estimates from overfilling replicas or leaving them empty.
const (
	minimumOverrun = 0.5
	maximumOverrun = 4
)
