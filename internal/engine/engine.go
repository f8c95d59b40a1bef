package engine

import (
	"time"
)

// sequence is the state of one request inside the engine.
type sequence struct {
	request         Request
	arrival         uint64 // order of submission
	generated       int    // tokens generated so far
	computedTokens  int    // context tokens whose KV is in memory
	prefillTarget   int    // computedTokens reaches it when the prefill is complete
	chunkTokens     int    // prompt tokens prefilled in the current step
	decoding        bool
	running         bool
	cancelled       bool
	importedTokens  int     // leading tokens covered by an imported KV cache; used at the first start only
	reportedAdvance uint64  // number of the Advance call that eventIndex belongs to
	eventIndex      int     // index of the sequence's last token event in that call
	sharedSlots     []int32 // referenced cache entries
	privateBlocks   int     // blocks that are not in the prefix cache
	heapIndex       int     // position in the waiting heap
}

// context returns the number of tokens in the sequence, prompt and generated.
func (s *sequence) context() int { return s.request.PromptTokens + s.generated }

// blocks returns the number of blocks that the sequence uses.
func (s *sequence) blocks() int { return len(s.sharedSlots) + s.privateBlocks }

// Engine is one emulated model engine. It is not safe for concurrent use.
type Engine struct {
	parameters Parameters
	now        time.Duration
	pool       blockPool
	journal    *cacheJournal
	sequences  map[uint64]*sequence
	waiting    waitingQueue
	running    []*sequence
	prefilling []*sequence // sequences that prefill in the current step, set by planStep
	recycled   []*sequence // ended sequences, reused to save allocations
	arrivals   uint64
	events     []Event
	advances   uint64 // calls of Advance

	stepping     bool // a step or a swap is running
	swapping     bool // the running step is a weight swap
	stepEnd      time.Duration
	startAt      time.Duration // start of the next step of an idle engine, valid if startPending
	startPending bool

	version    uint64
	fence      uint64
	staged     stagedWeights
	swapTarget uint64      // version of the running swap; 0 if none
	failure    SwapFailure // how the next swap fails
	refusing   bool        // rejects requests because a failed swap left the weights incomplete
	crashed    bool

	lastStep    time.Duration
	steps       uint64
	tokens      uint64
	prefilled   uint64
	prefixHits  uint64
	preemptions uint64
}

// New returns an idle engine that serves version, or the error of parameters.Validate.
func New(parameters Parameters, version uint64) (*Engine, error) {
	if err := parameters.Validate(); err != nil {
		return nil, err
	}
	journal := newCacheJournal(parameters.CacheEvents)
	return &Engine{
		parameters: parameters,
		pool:       newBlockPool(parameters.Blocks, journal),
		journal:    journal,
		sequences:  make(map[uint64]*sequence),
		version:    version,
	}, nil
}

// Submit queues a request. The time now must not be before that of an earlier call. The error is ErrCrashed,
// ErrRefusing, ErrEmpty, ErrTooLarge, ErrOverloaded or ErrDuplicate.
func (e *Engine) Submit(now time.Duration, request Request) error {
	e.now = max(e.now, now)
	switch {
	case e.crashed:
		return ErrCrashed
	case e.refusing:
		return ErrRefusing
	case request.OutputTokens < 1:
		return ErrEmpty
	case e.blocksFor(request.PromptTokens+request.OutputTokens) > e.parameters.Blocks:
		return ErrTooLarge
	case len(e.waiting) >= e.parameters.MaxWaiting:
		return ErrOverloaded
	}
	if _, known := e.sequences[request.ID]; known {
		return ErrDuplicate
	}
	e.arrivals++
	seq := e.newSequence()
	seq.request = request
	seq.arrival = e.arrivals
	seq.importedTokens = min(request.ImportedTokens, request.PromptTokens)
	e.sequences[request.ID] = seq
	e.waiting.push(seq)
	e.scheduleStart(now)
	return nil
}

// Cancel ends a request without an event. Its token of the running step is not reported. An unknown or ended request
// gets ErrUnknown.
func (e *Engine) Cancel(now time.Duration, id uint64) error {
	e.now = max(e.now, now)
	seq, ok := e.sequences[id]
	if !ok {
		return ErrUnknown
	}
	delete(e.sequences, id)
	if !seq.running {
		e.waiting.remove(seq)
		e.recycle(seq)
		return nil
	}
	seq.cancelled = true
	e.pool.release(seq.sharedSlots, seq.privateBlocks)
	seq.sharedSlots, seq.privateBlocks = seq.sharedSlots[:0], 0
	return nil
}

// ExportedKV describes the KV cache of an exported request.
type ExportedKV struct {
	Tokens    int // context tokens that the KV cache covers
	Generated int // tokens that this engine generated before the export
}

// Export ends a request without an event and returns its KV cache, whose transfer takes Parameters.TransferTime. A
// waiting request has no KV cache and returns KV.Tokens 0. An unknown or ended request gets ErrUnknown.
func (e *Engine) Export(now time.Duration, id uint64) (ExportedKV, error) {
	seq, ok := e.sequences[id]
	if !ok {
		return ExportedKV{}, ErrUnknown
	}
	exported := ExportedKV{Generated: seq.generated}
	if seq.running {
		exported.Tokens = seq.computedTokens
	}
	return exported, e.Cancel(now, id)
}

// NextEvent returns the next time at which Advance changes the engine's state, or false if nothing is due.
func (e *Engine) NextEvent() (time.Duration, bool) {
	switch {
	case e.crashed:
		return 0, false
	case e.stepping:
		return e.stepEnd, true
	case e.startPending:
		return e.startAt, true
	case e.staged.swapOrdered:
		return max(e.now, e.staged.readyAt), true
	}
	return 0, false
}

// Advance runs the engine up to now and returns the events in order, a token event at the place of its first token.
// The slice is valid until the next call.
func (e *Engine) Advance(now time.Duration) []Event {
	e.events = e.events[:0]
	e.advances++
	for {
		at, ok := e.NextEvent()
		if !ok || at > now {
			break
		}
		e.now = max(e.now, at)
		if e.stepping {
			e.finishStep(at)
		}
		e.startStep(at)
		e.skipSteps(now)
	}
	e.now = max(e.now, now)
	return e.events
}

// Load returns the engine's load and counters. It does not advance the engine: the figures are those of the last call
// of Advance and of the requests and orders since, and now is only reported.
func (e *Engine) Load(now time.Duration) Load {
	waitingTokens := 0
	for _, seq := range e.waiting {
		waitingTokens += seq.context()
	}
	return Load{
		At: now, Running: e.countRunning(), Waiting: len(e.waiting), WaitingTokens: waitingTokens,
		BlocksHeld: e.pool.used(), BlocksCached: e.pool.idle, BlocksTotal: e.parameters.Blocks,
		MaxBatch: e.parameters.MaxBatch, StepTime: e.lastStep, Steps: e.steps, Tokens: e.tokens,
		Prefilled: e.prefilled, PrefixHits: e.prefixHits, Preemptions: e.preemptions, Version: e.version,
		Staged: e.staged.version, Fence: e.fence, Refusing: e.refusing, Crashed: e.crashed,
	}
}

// Crash drops every request and the whole KV memory without an event.
func (e *Engine) Crash(now time.Duration) {
	e.now = max(e.now, now)
	e.dropAll()
	e.crashed, e.stepping, e.swapping, e.startPending = true, false, false, false
	e.staged, e.swapTarget = stagedWeights{}, 0
	e.failure = SwapSucceeds
}

// Restart starts a crashed engine again, empty and serving version. It resets the fencing token, as a restarted process
// would.
func (e *Engine) Restart(now time.Duration, version uint64) {
	e.Crash(now)
	e.crashed, e.refusing = false, false
	e.version, e.fence = version, 0
}

// Version returns the weight version that the next step uses.
func (e *Engine) Version() uint64 { return e.version }

// Parameters returns the parameters passed to New.
func (e *Engine) Parameters() Parameters { return e.parameters }

// Generated returns the number of tokens generated so far for an unfinished request, or false if the request is unknown
// or has ended.
func (e *Engine) Generated(id uint64) (int, bool) {
	seq, ok := e.sequences[id]
	if !ok {
		return 0, false
	}
	return seq.generated, true
}

// countRunning returns the number of running sequences that are not cancelled.
func (e *Engine) countRunning() int {
	count := 0
	for _, seq := range e.running {
		if !seq.cancelled {
			count++
		}
	}
	return count
}

// dropAll removes every request and clears the prefix cache.
func (e *Engine) dropAll() {
	for _, seq := range e.running {
		if !seq.cancelled {
			e.pool.release(seq.sharedSlots, seq.privateBlocks)
		}
	}
	e.running = e.running[:0]
	e.waiting = e.waiting[:0]
	clear(e.sequences)
	e.pool.clear()
}

// scheduleStart schedules the next step of an idle engine.
func (e *Engine) scheduleStart(at time.Duration) {
	if e.stepping || e.startPending {
		return
	}
	e.startPending, e.startAt = true, max(at, e.now)
}

// blocksFor returns the number of blocks that hold that many tokens.
func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.parameters.BlockTokens - 1) / e.parameters.BlockTokens
}

// newSequence returns an empty sequence, recycled if possible.
func (e *Engine) newSequence() *sequence {
	last := len(e.recycled) - 1
	if last < 0 {
		return &sequence{}
	}
	reused := e.recycled[last]
	e.recycled = e.recycled[:last]
	*reused = sequence{sharedSlots: reused.sharedSlots[:0]}
	return reused
}

// recycle keeps an ended sequence for reuse by newSequence.
func (e *Engine) recycle(seq *sequence) { e.recycled = append(e.recycled, seq) }
