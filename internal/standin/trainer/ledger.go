package trainer

import (
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine/text"
)

// ViolationKind names a guarantee of the coordinator that was violated.
type ViolationKind string

// The kinds of violation.
const (
	ViolationDuplicate ViolationKind = "duplicate"      // a sample was delivered more than once
	ViolationStale     ViolationKind = "stale"          // a sample exceeded the staleness bound when it was received
	ViolationSegments  ViolationKind = "segments"       // the segments do not cover the text, or differ from what the engines generated
	ViolationUnknown   ViolationKind = "unknown_sample" // a sample belongs to no open prompt, or its place is taken
	ViolationRefetch   ViolationKind = "refetch"        // a repeated fetch returned samples that the lost reply did not have
	ViolationCursor    ViolationKind = "cursor"         // the reply had another batch than the one requested
)

// Violation is one observed violation of a guarantee.
type Violation struct {
	Kind     ViolationKind `json:"kind"`
	SampleID string        `json:"sample_id"`
	Detail   string        `json:"detail"`
}

// Stats is the trainer's account of its run. The fields named Examined count the checks behind the violations.
type Stats struct {
	Name              string        `json:"name"`
	Steps             uint64        `json:"steps"` // steps trained on
	StepsOpened       uint64        `json:"steps_opened"`
	Samples           int           `json:"samples"` // received, without duplicates
	Tokens            int           `json:"tokens"`
	Duplicates        int           `json:"duplicates"`
	Outstanding       int           `json:"outstanding"` // samples of opened steps not received yet
	SegmentsExamined  int           `json:"segments_examined"`
	StalenessExamined int           `json:"staleness_examined"`
	StalenessCounts   []int         `json:"staleness_counts"` // number of samples by age in versions
	StalenessMean     float64       `json:"staleness_mean"`
	StalenessP99      int           `json:"staleness_p99"`
	StalenessMax      int           `json:"staleness_max"`
	LostReplies       int           `json:"lost_replies"`
	Refetches         int           `json:"refetches"` // repeated fetches that were compared with the lost reply
	Errors            int           `json:"errors"`    // failed calls, which were sent again
	LastError         string        `json:"last_error,omitempty"`
	Wall              time.Duration `json:"wall_nanos"`
	Idle              time.Duration `json:"idle_nanos"`
	IdleShare         float64       `json:"idle_share"`
	Violations        []Violation   `json:"violations"`
}

// promptKey identifies a prompt of a step.
type promptKey struct {
	step uint64
	id   string
}

// ledger records the opened prompts and the received samples.
type ledger struct {
	stats           Stats
	received        map[string]bool            // by sample id
	receivedPerStep map[uint64]int             // samples received by step
	expectedPerStep map[uint64]int             // samples expected by step
	prompts         map[promptKey]string       // prompt texts
	receivedIndexes map[promptKey]map[int]bool // sample indexes received by prompt
	started         time.Time
	ended           time.Time
	idleSince       time.Time // start of the current wait for samples; zero if not waiting
}

func newLedger() ledger {
	return ledger{
		received: make(map[string]bool), receivedPerStep: make(map[uint64]int), expectedPerStep: make(map[uint64]int),
		prompts: make(map[promptKey]string), receivedIndexes: make(map[promptKey]map[int]bool),
	}
}

// Stats returns the account of the run so far. It can be called while Run is running.
func (t *Trainer) Stats() Stats {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stats := t.ledger.stats
	stats.Name = t.config.Name
	stats.StalenessCounts = append([]int(nil), stats.StalenessCounts...)
	stats.Violations = append([]Violation{}, stats.Violations...)
	stats.Outstanding = -stats.Samples
	for _, expected := range t.ledger.expectedPerStep {
		stats.Outstanding += expected
	}
	now := t.ledger.ended
	if now.IsZero() {
		now = time.Now()
	}
	if !t.ledger.started.IsZero() {
		stats.Wall = now.Sub(t.ledger.started)
	}
	if !t.ledger.idleSince.IsZero() {
		stats.Idle += now.Sub(t.ledger.idleSince)
	}
	if stats.Wall > 0 {
		stats.IdleShare = float64(stats.Idle) / float64(stats.Wall)
	}
	stats.summarize()
	return stats
}

// summarize computes mean, 99th percentile and maximum of the staleness from StalenessCounts.
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

func (t *Trainer) markStarted(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger.started = now
}

func (t *Trainer) markEnded() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger.ended = time.Now()
}

// startIdle records the start of a wait for samples.
func (t *Trainer) startIdle(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger.idleSince = now
}

// endIdle adds the wait that ends now to the idle time.
func (t *Trainer) endIdle(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger.stats.Idle += now.Sub(t.ledger.idleSince)
	t.ledger.idleSince = time.Time{}
}

// recordOpened records an opened step and the samples expected for it.
func (t *Trainer) recordOpened(step uint64, body stepBody) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger.stats.StepsOpened++
	t.ledger.expectedPerStep[step] = len(body.Prompts) * body.SamplesPerPrompt
	for _, prompt := range body.Prompts {
		key := promptKey{step: step, id: prompt.ID}
		t.ledger.prompts[key] = prompt.Text
		t.ledger.receivedIndexes[key] = make(map[int]bool)
	}
}

// isComplete reports whether all samples of a step were received.
func (t *Trainer) isComplete(step uint64) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.ledger.receivedPerStep[step] >= t.ledger.expectedPerStep[step]
}

// countStep counts a step that was trained on and published.
func (t *Trainer) countStep() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger.stats.Steps++
}

// countLost counts a reply that was discarded on purpose.
func (t *Trainer) countLost() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger.stats.LostReplies++
}

// countError counts a failed call that is sent again.
func (t *Trainer) countError(err error) {
	t.config.Log.Debugf("Call failed, will be sent again: %v", err)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger.stats.Errors++
	t.ledger.stats.LastError = err.Error()
}

func (t *Trainer) recordViolation(kind ViolationKind, sample, detail string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger.recordViolation(kind, sample, detail)
}

func (l *ledger) recordViolation(kind ViolationKind, sample, detail string) {
	l.stats.Violations = append(l.stats.Violations, Violation{Kind: kind, SampleID: sample, Detail: detail})
}

// receive records the samples of a batch and checks them. Staleness is judged by the bound in force at this time.
func (t *Trainer) receive(reply *fetchReply) {
	bound, known := t.currentBound(reply)
	for index := range reply.Samples {
		sample := &reply.Samples[index]
		prompt, fresh := t.recordSample(reply.Step, sample, bound, known)
		if !fresh {
			continue
		}
		if err := checkSegments(sample); err != nil {
			t.recordViolation(ViolationSegments, sample.ID, err.Error())
			continue
		}
		if t.config.Checker == nil {
			continue
		}
		if err := t.config.Checker.Check(prompt, *sample); err != nil {
			t.recordViolation(ViolationSegments, sample.ID, err.Error())
		}
	}
}

// currentBound returns the staleness bound in force, or false if it is unknown.
func (t *Trainer) currentBound(reply *fetchReply) (uint64, bool) {
	if t.config.StalenessBound != nil {
		return t.config.StalenessBound()
	}
	if reply.StalenessBound != nil {
		return *reply.StalenessBound, true
	}
	return 0, false
}

// recordSample records a sample and returns the text of its prompt. fresh is false for a duplicate or unknown sample,
// which is not checked further.
func (t *Trainer) recordSample(step uint64, sample *Sample, bound uint64, boundKnown bool) (prompt string, fresh bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l := &t.ledger
	if l.received[sample.ID] {
		l.stats.Duplicates++
		l.recordViolation(ViolationDuplicate, sample.ID, "delivered again")
		return "", false
	}
	l.received[sample.ID] = true
	key := promptKey{step: step, id: sample.PromptID}
	prompt, known := l.prompts[key]
	if !known || sample.Index < 0 || sample.Index >= t.config.SamplesPerPrompt || l.receivedIndexes[key][sample.Index] {
		l.recordViolation(ViolationUnknown, sample.ID, fmt.Sprintf("step %d prompt %q index %d", step, sample.PromptID, sample.Index))
		return "", false
	}
	l.receivedIndexes[key][sample.Index] = true
	l.receivedPerStep[step]++
	l.stats.Samples++
	l.stats.Tokens += text.CountTokens(sample.Text)
	l.stats.SegmentsExamined += len(sample.Segments)
	l.recordStaleness(sample, t.version, bound, boundKnown)
	return prompt, true
}

// recordStaleness counts a sample by its age, the number of versions between its oldest segment and the trainer's
// version, and checks the age against the bound if that is known.
func (l *ledger) recordStaleness(sample *Sample, version, bound uint64, boundKnown bool) {
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
		l.recordViolation(ViolationStale, sample.ID, fmt.Sprintf("age %d is above the bound %d", age, bound))
	}
}

// checkSegments returns an error unless the segments cover the text's tokens without gap or overlap.
func checkSegments(sample *Sample) error {
	next := 0
	for _, segment := range sample.Segments {
		if segment.FirstToken != next || segment.TokenCount < 1 || segment.WeightVersion == "" {
			return fmt.Errorf("segment %+v does not follow token %d", segment, next)
		}
		next += segment.TokenCount
	}
	if tokens := text.CountTokens(sample.Text); tokens != next {
		return fmt.Errorf("segments cover %d of %d tokens", next, tokens)
	}
	return nil
}

// compareRefetch checks that a repeated fetch returns only samples that the lost reply had too, unchanged. It may
// return fewer, because samples that have become too old meanwhile are regenerated.
func (t *Trainer) compareRefetch(lost, again *fetchReply) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.ledger.stats.Refetches++
	known := make(map[string]Sample, len(lost.Samples))
	for _, sample := range lost.Samples {
		known[sample.ID] = sample
	}
	for _, sample := range again.Samples {
		first, ok := known[sample.ID]
		if !ok || first.Edition != sample.Edition || first.Text != sample.Text {
			t.ledger.recordViolation(ViolationRefetch, sample.ID, fmt.Sprintf("batch %d differs from its lost reply", again.Cursor))
		}
	}
}
