package engine

import (
	"time"
)

// sequence is one request inside the engine.
type sequence struct {
	request   Request
	arrival   uint64 // order of submission
	generated int
	computed  int // tokens whose KV is in memory
	target    int // computed reaches it when the prefill is complete
	chunk     int // prompt tokens in the step that runs
	decoding  bool
	running   bool
	cancelled bool
	imported  int
	reported  uint64  // call of Advance that event belongs to
	event     int     // index of the sequence's last token event in that call
	shared    []int32 // cache entries it holds
	private   int     // blocks of its own
	position  int     // in the waiting heap
}

// context is the number of tokens the sequence stands at.
func (s *sequence) context() int { return s.request.PromptTokens + s.generated }

// blocks is the number of blocks the sequence holds.
func (s *sequence) blocks() int { return len(s.shared) + s.private }

// Engine is one emulated model engine. It is not safe for concurrent use.
type Engine struct {
	parameters Parameters
	now        time.Duration
	pool       blockPool
	journal    *cacheJournal
	sequences  map[uint64]*sequence
	waiting    waitingQueue
	running    []*sequence
	prefilling []*sequence // scratch of planStep
	retired    []*sequence // for reuse
	arrivals   uint64
	events     []Event
	advances   uint64 // calls of Advance

	stepping bool
	swapping bool // the step that runs is a swap
	stepEnd  time.Duration
	startAt  time.Duration // start of the next step while idle; meaningful when pending
	pending  bool

	version    uint64
	fence      uint64
	staged     stagedWeights
	swapTarget uint64 // of the swap that runs; 0 when none
	failure    SwapFailure
	refusing   bool
	crashed    bool

	lastStep    time.Duration
	steps       uint64
	tokens      uint64
	prefilled   uint64
	prefixHits  uint64
	preemptions uint64
}

// New returns an idle engine that serves version. The parameters must be valid.
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

// Submit queues a request at a time no earlier than the last call's.
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
	entered := e.newSequence()
	entered.request = request
	entered.arrival = e.arrivals
	entered.imported = min(request.ImportedTokens, request.PromptTokens)
	e.sequences[request.ID] = entered
	e.waiting.push(entered)
	e.wake(now)
	return nil
}

// Cancel ends a request without an event. Tokens of the step that runs are not reported.
func (e *Engine) Cancel(now time.Duration, id uint64) error {
	e.now = max(e.now, now)
	entered, ok := e.sequences[id]
	if !ok {
		return ErrUnknown
	}
	delete(e.sequences, id)
	if !entered.running {
		e.waiting.remove(entered)
		e.retire(entered)
		return nil
	}
	entered.cancelled = true
	e.pool.release(entered.shared, entered.private)
	entered.shared, entered.private = entered.shared[:0], 0
	return nil
}

// KV describes the KV cache of an exported request.
type KV struct {
	Tokens    int // of context whose KV is held
	Generated int // tokens generated here before the export
}

// Export ends a request without an event and returns its KV cache, whose transfer takes TransferTime. A
// request that waits has none: its KV.Tokens is 0.
func (e *Engine) Export(now time.Duration, id uint64) (KV, error) {
	entered, ok := e.sequences[id]
	if !ok {
		return KV{}, ErrUnknown
	}
	exported := KV{Generated: entered.generated}
	if entered.running {
		exported.Tokens = entered.computed
	}
	return exported, e.Cancel(now, id)
}

// NextEvent returns when Advance has something to do next.
func (e *Engine) NextEvent() (time.Duration, bool) {
	switch {
	case e.crashed:
		return 0, false
	case e.stepping:
		return e.stepEnd, true
	case e.pending:
		return e.startAt, true
	case e.staged.swap:
		return max(e.now, e.staged.readyAt), true
	}
	return 0, false
}

// Advance runs the engine up to now and returns what happened, in order. The slice is valid until the
// next call.
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

// Load returns the engine's report as of the last call's time.
func (e *Engine) Load(now time.Duration) Load {
	waitingTokens := 0
	for _, entered := range e.waiting {
		waitingTokens += entered.context()
	}
	return Load{
		At: now, Running: e.live(), Waiting: len(e.waiting), WaitingTokens: waitingTokens,
		BlocksHeld: e.pool.held(), BlocksCached: e.pool.idle, BlocksTotal: e.parameters.Blocks,
		MaxBatch: e.parameters.MaxBatch, StepTime: e.lastStep, Steps: e.steps, Tokens: e.tokens,
		Prefilled: e.prefilled, PrefixHits: e.prefixHits, Preemptions: e.preemptions, Version: e.version,
		Staged: e.staged.version, Fence: e.fence, Refusing: e.refusing, Crashed: e.crashed,
	}
}

// Crash loses every request and the whole memory without an event.
func (e *Engine) Crash(now time.Duration) {
	e.now = max(e.now, now)
	e.dropAll()
	e.crashed, e.stepping, e.swapping, e.pending = true, false, false, false
	e.staged, e.swapTarget = stagedWeights{}, 0
	e.failure = SwapSucceeds
}

// Restart brings a crashed engine back, empty, serving version. Fencing tokens are forgotten, as a
// restarted process forgets them.
func (e *Engine) Restart(now time.Duration, version uint64) {
	e.Crash(now)
	e.crashed, e.refusing = false, false
	e.version, e.fence = version, 0
}

// Version returns the version that the next step is computed under.
func (e *Engine) Version() uint64 { return e.version }

// Parameters returns what the engine was made with.
func (e *Engine) Parameters() Parameters { return e.parameters }

// Generated returns how many tokens an unfinished request has received so far.
func (e *Engine) Generated(id uint64) (int, bool) {
	entered, ok := e.sequences[id]
	if !ok {
		return 0, false
	}
	return entered.generated, true
}

func (e *Engine) live() int {
	count := 0
	for _, entered := range e.running {
		if !entered.cancelled {
			count++
		}
	}
	return count
}

func (e *Engine) dropAll() {
	for _, entered := range e.running {
		if !entered.cancelled {
			e.pool.release(entered.shared, entered.private)
		}
	}
	e.running = e.running[:0]
	e.waiting = e.waiting[:0]
	clear(e.sequences)
	e.pool.clear()
}

func (e *Engine) wake(at time.Duration) {
	if e.stepping || e.pending {
		return
	}
	e.pending, e.startAt = true, max(at, e.now)
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.parameters.BlockTokens - 1) / e.parameters.BlockTokens
}

func (e *Engine) newSequence() *sequence {
	last := len(e.retired) - 1
	if last < 0 {
		return &sequence{}
	}
	reused := e.retired[last]
	e.retired = e.retired[:last]
	*reused = sequence{shared: reused.shared[:0]}
	return reused
}

func (e *Engine) retire(entered *sequence) { e.retired = append(e.retired, entered) }
