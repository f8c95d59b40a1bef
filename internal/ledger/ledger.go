// Package ledger is the replicated record of rollout samples. A step has one slot for each sample of each
// prompt; a slot is filled by the first finished sample of its current edition, sealed into a batch, and
// delivered when the trainer acknowledges that batch. Every slot is delivered exactly once. Discarding a
// sample that is too old raises its slot's edition, so that what was generated for the old one is refused.
//
// Commands of a coordinator carry its fencing token for the trainer; one below the highest seen is refused.
// docs/design/samples.md has the whole exchange with trainers. The package is pure. Apply commands
// in log order from one goroutine.
package ledger

import (
	"slices"
	"sort"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of a ledger. All are counts unless said otherwise.
const (
	MaximumTextBytes   = 128     // of a trainer's name and of a prompt id, in bytes
	MaximumSampleBytes = 4 << 20 // of a sample's or prompt's text, in bytes
	MaximumSegments    = 4096    // of one sample
	MaximumSlots       = 200_000 // of one step
	MaximumOpenSteps   = 64      // of one trainer, not yet delivered
	MaximumTrainers    = 1000
	// MaximumClosedSteps bounds the delivered steps that are remembered by digest, so that a late resend
	// of their StepOpen changes nothing. One that is older than all of them is refused.
	MaximumClosedSteps = 10_000
)

// Reasons of refused commands, as in SampleResult.reason.
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

// Unsafe switches safety steps off. Only tests set it, to show that the checks find the fault.
type Unsafe struct {
	SealTwice      bool // a sealed batch may be sealed again with other samples
	IgnoreFence    bool // commands of deposed coordinators are taken
	IgnoreEditions bool // a sample of a discarded edition fills its slot
}

// Ledger holds the samples of all trainers of one ledger group. The zero value is not ready; use New.
type Ledger struct {
	unsafe   Unsafe
	trainers map[string]*trainer
}

type trainer struct {
	name         string
	fence        uint64 // highest token seen
	acknowledged uint64
	sealed       uint64 // equal to acknowledged, or one above while a batch is out
	sealedStep   uint64
	sealedIDs    []string
	fetch        uint64 // newest fetch that the sealed batch may have been handed over for; 0 for none
	fetchFence   uint64 // of the owner that served it
	delivered    uint64
	discarded    uint64 // tokens
	steps        map[uint64]*step
	closed       []*wire.ClosedStep // oldest first
	forgotten    uint64             // highest closed step that is no longer listed
}

type step struct {
	open      *wire.StepOpen
	prompts   map[string]int // position by prompt id
	slots     []slot         // by prompt, then index
	remaining int            // slots not yet delivered
}

type slot struct {
	edition   uint32
	delivered bool
	sample    *wire.Sample // of the current edition, until delivered
}

// New returns an empty ledger.
func New() *Ledger { return NewUnsafe(Unsafe{}) }

// NewUnsafe returns an empty ledger with safety steps switched off.
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

// OpenTrainers returns the names of the trainers with a step that is not wholly delivered, sorted.
func (l *Ledger) OpenTrainers() []string {
	return slices.DeleteFunc(l.Trainers(), func(name string) bool { return len(l.trainers[name].steps) == 0 })
}

// admit returns the trainer if the fencing token is not stale, else the reason of the refusal. A higher
// token is remembered whatever becomes of the command.
func (l *Ledger) admit(name string, fence uint64) (*trainer, string) {
	known := l.trainers[name]
	if known == nil {
		return nil, ReasonUnknownTrainer
	}
	if fence < known.fence && !l.unsafe.IgnoreFence {
		return nil, ReasonStaleFence
	}
	known.fence = max(known.fence, fence)
	return known, ""
}

// find returns the slot of an id that belongs to the trainer's open steps.
func (t *trainer) find(id SlotID) *slot {
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

func (t *trainer) accepted() *wire.SampleResult {
	result := &wire.SampleResult{Accepted: true, Cursor: t.sealed}
	result.SampleIds = append(result.SampleIds, t.sealedIDs...)
	return result
}

// refused returns a refusal with the trainer's cursor, if there is a trainer.
func refused(t *trainer, reason string) *wire.SampleResult {
	result := &wire.SampleResult{Reason: reason}
	if t != nil {
		result.Cursor = t.sealed
	}
	return result
}

// Open registers a step and, with its first one, the trainer. A resend with equal content changes nothing.
// Errors: malformed command, nothing changed.
func (l *Ledger) Open(command *wire.StepOpen) (*wire.SampleResult, error) {
	if err := checkOpen(command); err != nil {
		return nil, trace.Wrap(err)
	}
	known := l.trainers[command.GetTrainer()]
	if known == nil {
		if len(l.trainers) >= MaximumTrainers {
			return refused(nil, ReasonTooMany), nil
		}
		known = newTrainer(command.GetTrainer())
		l.trainers[known.name] = known
	}
	digest := openDigest(command)
	if opened := known.steps[command.GetStep()]; opened != nil {
		if openDigest(opened.open) != digest {
			return refused(known, ReasonOtherStep), nil
		}
		return known.accepted(), nil
	}
	if reason := known.refuseClosed(command.GetStep(), digest); reason != "" {
		return refused(known, reason), nil
	}
	if known.isClosed(command.GetStep()) {
		return known.accepted(), nil
	}
	if len(known.steps) >= MaximumOpenSteps {
		return refused(known, ReasonTooMany), nil
	}
	known.steps[command.GetStep()] = newStep(command)
	return known.accepted(), nil
}

func newTrainer(name string) *trainer {
	return &trainer{name: name, steps: map[uint64]*step{}}
}

func newStep(open *wire.StepOpen) *step {
	made := &step{open: open, prompts: make(map[string]int, len(open.GetPrompts()))}
	for position, prompt := range open.GetPrompts() {
		made.prompts[prompt.GetId()] = position
	}
	made.remaining = len(open.GetPrompts()) * int(open.GetSamplesPerPrompt())
	made.slots = make([]slot, made.remaining)
	return made
}

// refuseClosed returns why a step cannot be opened because of one that was delivered before.
func (t *trainer) refuseClosed(number, digest uint64) string {
	for _, closed := range t.closed {
		if closed.GetStep() == number {
			if closed.GetDigest() != digest {
				return ReasonOtherStep
			}
			return ""
		}
	}
	if number <= t.forgotten && t.forgotten > 0 {
		return ReasonClosedStep
	}
	return ""
}

func (t *trainer) isClosed(number uint64) bool {
	for _, closed := range t.closed {
		if closed.GetStep() == number {
			return true
		}
	}
	return false
}

// close forgets the texts of a step whose slots are all delivered.
func (t *trainer) close(number uint64) {
	t.closed = append(t.closed, &wire.ClosedStep{Step: number, Digest: openDigest(t.steps[number].open)})
	delete(t.steps, number)
	if surplus := len(t.closed) - MaximumClosedSteps; surplus > 0 {
		for _, closed := range t.closed[:surplus] {
			t.forgotten = max(t.forgotten, closed.GetStep())
		}
		t.closed = append([]*wire.ClosedStep(nil), t.closed[surplus:]...)
	}
}
