package trainer

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine/text"
)

// ViolationKind names a broken promise.
type ViolationKind string

// The kinds of violation.
const (
	ViolationDuplicate ViolationKind = "duplicate"      // a sample was delivered twice
	ViolationStale     ViolationKind = "stale"          // a sample was older than the bound at receipt
	ViolationSegments  ViolationKind = "segments"       // the segments do not cover the text, or are not what the engines did
	ViolationUnknown   ViolationKind = "unknown_sample" // a sample of no open prompt
	ViolationRefetch   ViolationKind = "refetch"        // a fetch resent gave samples that the lost reply had not
	ViolationCursor    ViolationKind = "cursor"         // another batch than the one asked for
)

// Violation is one broken promise.
type Violation struct {
	Kind     ViolationKind `json:"kind"`
	SampleID string        `json:"sample_id"`
	Detail   string        `json:"detail"`
}

// Stats is the trainer's own account. Every examined count belongs to a promise.
type Stats struct {
	Name              string        `json:"name"`
	Steps             uint64        `json:"steps"` // trained
	StepsOpened       uint64        `json:"steps_opened"`
	Samples           int           `json:"samples"` // received, each counted once
	Tokens            int           `json:"tokens"`
	Duplicates        int           `json:"duplicates"`
	Outstanding       int           `json:"outstanding"` // opened and not received yet
	SegmentsExamined  int           `json:"segments_examined"`
	StalenessExamined int           `json:"staleness_examined"`
	StalenessCounts   []int         `json:"staleness_counts"` // samples by age in versions
	StalenessMean     float64       `json:"staleness_mean"`
	StalenessP99      int           `json:"staleness_p99"`
	StalenessMax      int           `json:"staleness_max"`
	LostReplies       int           `json:"lost_replies"`
	Refetches         int           `json:"refetches"` // compared with the lost reply
	Errors            int           `json:"errors"`    // calls that were sent again
	LastError         string        `json:"last_error,omitempty"`
	Wall              time.Duration `json:"wall_nanos"`
	Idle              time.Duration `json:"idle_nanos"`
	IdleShare         float64       `json:"idle_share"`
	Violations        []Violation   `json:"violations"`
}

// promptKey names one prompt of one step.
type promptKey struct {
	step uint64
	id   string
}

// ledger is what the trainer knows of its samples.
type ledger struct {
	stats     Stats
	received  map[string]bool
	perStep   map[uint64]int
	wanted    map[uint64]int
	prompts   map[promptKey]string
	slots     map[promptKey]map[int]bool
	started   time.Time
	ended     time.Time
	waitSince time.Time
}

func newLedger() ledger {
	return ledger{
		received: make(map[string]bool), perStep: make(map[uint64]int), wanted: make(map[uint64]int),
		prompts: make(map[promptKey]string), slots: make(map[promptKey]map[int]bool),
	}
}

// Stats returns the account so far.
func (t *Trainer) Stats() Stats {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stats := t.truth.stats
	stats.Name = t.config.Name
	stats.StalenessCounts = append([]int(nil), stats.StalenessCounts...)
	stats.Violations = append([]Violation{}, stats.Violations...)
	stats.Outstanding = -stats.Samples
	for _, wanted := range t.truth.wanted {
		stats.Outstanding += wanted
	}
	now := t.truth.ended
	if now.IsZero() {
		now = time.Now()
	}
	if !t.truth.started.IsZero() {
		stats.Wall = now.Sub(t.truth.started)
	}
	if !t.truth.waitSince.IsZero() {
		stats.Idle += now.Sub(t.truth.waitSince)
	}
	if stats.Wall > 0 {
		stats.IdleShare = float64(stats.Idle) / float64(stats.Wall)
	}
	stats.summarize()
	return stats
}

// summarize fills the staleness figures from the counts.
func (s *Stats) summarize() {
	total, sum := 0, 0
	for age, count := range s.StalenessCounts {
		total += count
		sum += age * count
		if count > 0 {
			s.StalenessMax = age
		}
	}
	if total == 0 {
		return
	}
	s.StalenessMean = float64(sum) / float64(total)
	below := 0
	for age, count := range s.StalenessCounts {
		below += count
		if below*100 >= total*99 {
			s.StalenessP99 = age
			return
		}
	}
}

func (t *Trainer) start(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.truth.started = now
}

func (t *Trainer) finish() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.truth.ended = time.Now()
}

func (t *Trainer) waiting(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.truth.waitSince = now
}

func (t *Trainer) waited(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.truth.stats.Idle += now.Sub(t.truth.waitSince)
	t.truth.waitSince = time.Time{}
}

func (t *Trainer) recordOpened(step uint64, body stepBody) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.truth.stats.StepsOpened++
	t.truth.wanted[step] = len(body.Prompts) * body.SamplesPerPrompt
	for _, prompt := range body.Prompts {
		key := promptKey{step: step, id: prompt.ID}
		t.truth.prompts[key] = prompt.Text
		t.truth.slots[key] = make(map[int]bool)
	}
}

func (t *Trainer) complete(step uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.truth.perStep[step] >= t.truth.wanted[step]
}

func (t *Trainer) countStep() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.truth.stats.Steps++
}

func (t *Trainer) countLost() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.truth.stats.LostReplies++
}

func (t *Trainer) countError(err error) {
	t.config.Log.Debugf("Call failed: %v", err)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.truth.stats.Errors++
	t.truth.stats.LastError = err.Error()
}

func (t *Trainer) violate(kind ViolationKind, sample, detail string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.truth.violate(kind, sample, detail)
}

func (l *ledger) violate(kind ViolationKind, sample, detail string) {
	l.stats.Violations = append(l.stats.Violations, Violation{Kind: kind, SampleID: sample, Detail: detail})
}

// receive accounts for a batch that arrived and is checked at this moment.
func (t *Trainer) receive(reply *fetchReply) {
	bound, known := t.boundNow(reply)
	for index := range reply.Samples {
		sample := &reply.Samples[index]
		prompt, fresh := t.account(reply.Step, sample, bound, known)
		if !fresh {
			continue
		}
		if err := checkSegments(sample); err != nil {
			t.violate(ViolationSegments, sample.ID, err.Error())
			continue
		}
		if t.config.Truth == nil {
			continue
		}
		if err := t.config.Truth.Check(prompt, *sample); err != nil {
			t.violate(ViolationSegments, sample.ID, err.Error())
		}
	}
}

func (t *Trainer) boundNow(reply *fetchReply) (uint64, bool) {
	if t.config.StalenessBound != nil {
		return t.config.StalenessBound()
	}
	if reply.StalenessBound != nil {
		return *reply.StalenessBound, true
	}
	return 0, false
}

// account counts one sample; fresh is false when it must not be looked at further.
func (t *Trainer) account(step uint64, sample *Sample, bound uint64, boundKnown bool) (prompt string, fresh bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l := &t.truth
	if l.received[sample.ID] {
		l.stats.Duplicates++
		l.violate(ViolationDuplicate, sample.ID, "delivered again")
		return "", false
	}
	l.received[sample.ID] = true
	key := promptKey{step: step, id: sample.PromptID}
	prompt, known := l.prompts[key]
	if !known || sample.Index < 0 || sample.Index >= t.config.SamplesPerPrompt || l.slots[key][sample.Index] {
		l.violate(ViolationUnknown, sample.ID, fmt.Sprintf("step %d prompt %q index %d", step, sample.PromptID, sample.Index))
		return "", false
	}
	l.slots[key][sample.Index] = true
	l.perStep[step]++
	l.stats.Samples++
	l.stats.Tokens += text.Count(sample.Text)
	l.stats.SegmentsExamined += len(sample.Segments)
	l.countAge(sample, t.version, bound, boundKnown)
	return prompt, true
}

func (l *ledger) countAge(sample *Sample, version, bound uint64, boundKnown bool) {
	age := uint64(0)
	for _, segment := range sample.Segments {
		if segment.VersionNumber < version {
			age = max(age, version-segment.VersionNumber)
		}
	}
	for uint64(len(l.stats.StalenessCounts)) <= age {
		l.stats.StalenessCounts = append(l.stats.StalenessCounts, 0)
	}
	l.stats.StalenessCounts[age]++
	if !boundKnown {
		return
	}
	l.stats.StalenessExamined++
	if age > bound {
		l.violate(ViolationStale, sample.ID, fmt.Sprintf("age %d is above the bound %d", age, bound))
	}
}

// checkSegments verifies that the segments cover the text's tokens without gap or overlap.
func checkSegments(sample *Sample) error {
	next := 0
	for _, segment := range sample.Segments {
		if segment.FirstToken != next || segment.TokenCount < 1 || segment.WeightVersion == "" {
			return fmt.Errorf("segment %+v does not follow token %d", segment, next)
		}
		next += segment.TokenCount
	}
	if tokens := text.Count(sample.Text); tokens != next {
		return fmt.Errorf("segments cover %d of %d tokens", next, tokens)
	}
	return nil
}

// compareRefetch checks that a resent fetch gives no sample that the lost reply had not. It may give
// fewer: one that became too old meanwhile is regenerated.
func (t *Trainer) compareRefetch(lost, again *fetchReply) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.truth.stats.Refetches++
	known := make(map[string]Sample, len(lost.Samples))
	for _, sample := range lost.Samples {
		known[sample.ID] = sample
	}
	for _, sample := range again.Samples {
		first, ok := known[sample.ID]
		if !ok || first.Edition != sample.Edition || first.Text != sample.Text {
			t.truth.violate(ViolationRefetch, sample.ID, fmt.Sprintf("batch %d differs from its lost reply", again.Cursor))
		}
	}
}
