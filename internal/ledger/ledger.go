// Package ledger is the replicated record of rollout samples. A step has one slot for each sample of each prompt. A
// slot is filled by the first finished sample of its current edition, sealed into a batch, and delivered when the
// trainer acknowledges that batch. Every slot is delivered exactly once. Discarding a sample that is too old increments
// its slot's edition, so that samples generated for the old edition are refused.
//
// Commands of a coordinator carry its fencing token for the trainer. Commands with a token below the highest one seen
// are refused. docs/design/samples.md describes the whole protocol with trainers.
//
// The package uses no clock, no goroutine and no I/O. Apply commands in log order from one goroutine.
package ledger

import (
	"slices"
	"sort"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of a ledger. They are counts unless a unit is given.
const (
	MaximumTextBytes   = 128     // of a trainer's name and of a prompt id, in bytes
	MaximumSampleBytes = 4 << 20 // of a sample's or prompt's text, in bytes
	MaximumSegments    = 4096    // of one sample
	MaximumSlots       = 200_000 // of one step
	MaximumOpenSteps   = 64      // of one trainer; steps with undelivered slots
	MaximumTrainers    = 1000
	// MaximumClosedSteps bounds the delivered steps of one trainer whose digests are kept, so that a late resend of
	// their StepOpen changes nothing. An unlisted step whose number is not above the highest dropped one is refused.
	MaximumClosedSteps = 10_000
)

// Reasons of refused commands, as stored in SampleResult.reason.
const (
	ReasonStaleFence     = "another coordinator has taken over this trainer"
	ReasonUnknownTrainer = "trainer is unknown"
	ReasonUnknownSlot    = "step or sample is unknown or was delivered"
	ReasonOtherEdition   = "sample is of another edition than its slot"
	ReasonAlreadyStored  = "slot holds a sample of this edition"
	ReasonOtherStep      = "step was opened with other content"
	ReasonClosedStep     = "step was delivered long ago"
	ReasonNotStored      = "a sample of the batch is not stored"
	ReasonNotNextCursor  = "cursor is not the next one, or the batch before is not acknowledged"
	ReasonAcknowledged   = "batch was acknowledged"
	ReasonNotSealed      = "batch is not sealed"
	ReasonStaleFetch     = "a newer fetch of the batch was served"
	ReasonTooMany        = "too many open steps or trainers"
)

// Unsafe disables safety checks. Only tests set it, to show that they detect the resulting fault.
type Unsafe struct {
	SealTwice      bool // seal a sealed batch again with other samples
	IgnoreFence    bool // accept commands of former coordinators
	IgnoreEditions bool // store samples of a discarded edition
}

// Ledger holds the samples of all trainers of one ledger group. The zero value is not usable; use New.
type Ledger struct {
	unsafe   Unsafe
	trainers map[string]*trainer
}

// trainer holds the steps and the delivery state of one trainer.
type trainer struct {
	name               string
	highestFence       uint64 // highest fencing token seen
	acknowledgedCursor uint64 // cursor of the last acknowledged batch; 0 if none
	sealedCursor       uint64 // acknowledgedCursor+1 while a batch is sealed, acknowledgedCursor otherwise
	sealedStep         uint64
	sealedIDs          []string           // samples of the sealed batch
	fetch              uint64             // newest fetch that the sealed batch may have been sent for; 0 if none
	fetchFence         uint64             // fencing token of the owner that served it
	deliveredSamples   uint64             // count
	discardedTokens    uint64             // count
	steps              map[uint64]*step   // open steps by number
	closedSteps        []*wire.ClosedStep // delivered steps, oldest first
	highestForgotten   uint64             // highest number of a closed step that is no longer listed
}

// step is an open step, which has undelivered slots.
type step struct {
	open        *wire.StepOpen
	prompts     map[string]int // position by prompt id
	slots       []slot         // in order of prompt, then index
	undelivered int            // number of slots that are not delivered
}

// slot holds one sample of one prompt.
type slot struct {
	edition   uint32 // incremented by each discard
	delivered bool
	sample    *wire.Sample // of the current edition; nil before it is stored and after it is delivered
}

// New returns an empty ledger.
func New() *Ledger { return NewUnsafe(Unsafe{}) }

// NewUnsafe is New with safety checks disabled.
func NewUnsafe(unsafe Unsafe) *Ledger {
	return &Ledger{unsafe: unsafe, trainers: map[string]*trainer{}}
}

// Trainers returns the names of all trainers, sorted.
func (l *Ledger) Trainers() []string {
	names := make([]string, 0, len(l.trainers))
	for name := range l.trainers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// OpenTrainers returns the names of the trainers that have a step with undelivered slots, sorted.
func (l *Ledger) OpenTrainers() []string {
	return slices.DeleteFunc(l.Trainers(), func(name string) bool { return len(l.trainers[name].steps) == 0 })
}

// findTrainer returns the trainer if it exists and the fencing token is not stale, and the reason of the refusal
// otherwise. A higher token is recorded whether or not the command is accepted later.
func (l *Ledger) findTrainer(name string, fence uint64) (*trainer, string) {
	t := l.trainers[name]
	if t == nil {
		return nil, ReasonUnknownTrainer
	}
	if fence < t.highestFence && !l.unsafe.IgnoreFence {
		return nil, ReasonStaleFence
	}
	t.highestFence = max(t.highestFence, fence)
	return t, ""
}

// findSlot returns the slot with the id in the trainer's open steps, or nil if there is none.
func (t *trainer) findSlot(id SlotID) *slot {
	opened := t.steps[id.Step]
	if opened == nil || id.Trainer != t.name {
		return nil
	}
	position, known := opened.prompts[id.Prompt]
	if !known || id.Index >= opened.open.GetSamplesPerPrompt() {
		return nil
	}
	return &opened.slots[position*int(opened.open.GetSamplesPerPrompt())+int(id.Index)]
}

// acceptedResult returns an acceptance with the cursor and samples of the sealed batch.
func (t *trainer) acceptedResult() *wire.SampleResult {
	result := &wire.SampleResult{Accepted: true, Cursor: t.sealedCursor}
	result.SampleIds = append(result.SampleIds, t.sealedIDs...)
	return result
}

// refusedResult returns a refusal with the cursor of the sealed batch if the trainer exists (t may be nil).
func refusedResult(t *trainer, reason string) *wire.SampleResult {
	result := &wire.SampleResult{Reason: reason}
	if t != nil {
		result.Cursor = t.sealedCursor
	}
	return result
}

// Open registers a step, and the trainer with its first step. A resend with equal content changes nothing. Open fails,
// without changing anything, if the command is malformed.
func (l *Ledger) Open(command *wire.StepOpen) (*wire.SampleResult, error) {
	if err := checkStepOpen(command); err != nil {
		return nil, trace.Wrap(err)
	}
	t := l.trainers[command.GetTrainer()]
	if t == nil {
		if len(l.trainers) >= MaximumTrainers {
			return refusedResult(nil, ReasonTooMany), nil
		}
		t = newTrainer(command.GetTrainer())
		l.trainers[t.name] = t
	}
	digest := digestStep(command)
	if opened := t.steps[command.GetStep()]; opened != nil {
		if digestStep(opened.open) != digest {
			return refusedResult(t, ReasonOtherStep), nil
		}
		return t.acceptedResult(), nil
	}
	if reason := t.closedStepReason(command.GetStep(), digest); reason != "" {
		return refusedResult(t, reason), nil
	}
	if t.isClosed(command.GetStep()) {
		return t.acceptedResult(), nil
	}
	if len(t.steps) >= MaximumOpenSteps {
		return refusedResult(t, ReasonTooMany), nil
	}
	t.steps[command.GetStep()] = newStep(command)
	return t.acceptedResult(), nil
}

func newTrainer(name string) *trainer {
	return &trainer{name: name, steps: map[uint64]*step{}}
}

func newStep(open *wire.StepOpen) *step {
	s := &step{open: open, prompts: make(map[string]int, len(open.GetPrompts()))}
	for position, prompt := range open.GetPrompts() {
		s.prompts[prompt.GetId()] = position
	}
	s.undelivered = len(open.GetPrompts()) * int(open.GetSamplesPerPrompt())
	s.slots = make([]slot, s.undelivered)
	return s
}

// closedStepReason returns why a step cannot be opened because its number was delivered before, or an empty string.
func (t *trainer) closedStepReason(number, digest uint64) string {
	for _, closed := range t.closedSteps {
		if closed.GetStep() == number {
			if closed.GetDigest() != digest {
				return ReasonOtherStep
			}
			return ""
		}
	}
	if number <= t.highestForgotten && t.highestForgotten > 0 {
		return ReasonClosedStep
	}
	return ""
}

// isClosed reports whether a step is among the delivered steps that are listed.
func (t *trainer) isClosed(number uint64) bool {
	for _, closed := range t.closedSteps {
		if closed.GetStep() == number {
			return true
		}
	}
	return false
}

// close replaces a step whose slots are all delivered by its digest, which frees its texts.
func (t *trainer) close(number uint64) {
	t.closedSteps = append(t.closedSteps, &wire.ClosedStep{Step: number, Digest: digestStep(t.steps[number].open)})
	delete(t.steps, number)
	if surplus := len(t.closedSteps) - MaximumClosedSteps; surplus > 0 {
		for _, closed := range t.closedSteps[:surplus] {
			t.highestForgotten = max(t.highestForgotten, closed.GetStep())
		}
		t.closedSteps = append([]*wire.ClosedStep(nil), t.closedSteps[surplus:]...)
	}
}
