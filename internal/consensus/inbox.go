package consensus

import (
	"sync"
	"sync/atomic"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// maxInboxMessages limits the raft messages that wait for the loop. Further messages are dropped, which raft handles
// like loss on the network.
const maxInboxMessages = 16_384

// envelope is a raft message with its group.
type envelope struct {
	group   uint32
	message raft.Message
}

// proposal is a command or configuration change that waits to be applied.
type proposal struct {
	group    uint32
	data     []byte
	term     uint64               // set when raft accepts the proposal
	done     chan proposalOutcome // buffered, answered once
	inFlight *atomic.Int64        // number of unanswered proposals
}

type proposalOutcome struct {
	result *wire.Result
	index  uint64
	err    error
}

func (p *proposal) answer(result *wire.Result, index uint64, err error) {
	p.inFlight.Add(-1)
	p.done <- proposalOutcome{result: result, index: index, err: err}
}

// readRequest waits for a linearizable read barrier and then, if it has a query, for the answer to it.
type readRequest struct {
	group uint32
	query *wire.Query
	local bool             // answered from the applied state at once, without a barrier
	done  chan readOutcome // buffered, answered once
}

type readOutcome struct {
	view *wire.View
	err  error
}

func (r *readRequest) answer(view *wire.View, err error) { r.done <- readOutcome{view: view, err: err} }

// work is the input that the loop takes from the inbox in one round.
type work struct {
	messages  []envelope
	proposals []*proposal
	reads     []*readRequest
	calls     []func(closed bool)
}

// inbox passes work from any goroutine to the loop.
type inbox struct {
	notify       chan struct{} // has a token when there may be work
	maxProposals int
	inFlight     atomic.Int64 // proposals accepted and not yet answered

	mutex   sync.Mutex
	waiting work
	closed  bool
}

func newInbox(maxProposals int) *inbox {
	return &inbox{notify: make(chan struct{}, 1), maxProposals: maxProposals}
}

func (i *inbox) wake() {
	select {
	case i.notify <- struct{}{}:
	default:
	}
}

// addMessages queues messages and drops those that exceed maxInboxMessages.
func (i *inbox) addMessages(messages []envelope) {
	i.mutex.Lock()
	if free := maxInboxMessages - len(i.waiting.messages); free < len(messages) {
		messages = messages[:free]
	}
	if !i.closed {
		i.waiting.messages = append(i.waiting.messages, messages...)
	}
	i.mutex.Unlock()
	i.wake()
}

func (i *inbox) addProposal(p *proposal) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.closed {
		return ErrClosed
	}
	if i.inFlight.Load() >= int64(i.maxProposals) {
		return ErrOverloaded
	}
	i.inFlight.Add(1)
	p.inFlight = &i.inFlight
	i.waiting.proposals = append(i.waiting.proposals, p)
	i.wake()
	return nil
}

// hasProposals reports whether proposals are still queued after take.
func (i *inbox) hasProposals() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.waiting.proposals) > 0
}

func (i *inbox) addRead(r *readRequest) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.closed {
		return ErrClosed
	}
	if len(i.waiting.reads) >= i.maxProposals {
		return ErrOverloaded
	}
	i.waiting.reads = append(i.waiting.reads, r)
	i.wake()
	return nil
}

// addCall queues a function for the loop. If the host stops first, the function is called elsewhere with closed set
// to true.
func (i *inbox) addCall(call func(closed bool)) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.closed {
		return ErrClosed
	}
	i.waiting.calls = append(i.waiting.calls, call)
	i.wake()
	return nil
}

// take empties the inbox, except that it returns at most maxProposals proposals and keeps the rest.
func (i *inbox) take(maxProposals int) work {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	taken := i.waiting
	i.waiting = work{}
	if len(taken.proposals) > maxProposals {
		i.waiting.proposals = append(i.waiting.proposals, taken.proposals[maxProposals:]...)
		taken.proposals = taken.proposals[:maxProposals:maxProposals]
	}
	return taken
}

// close rejects all later work and answers everything that is still queued.
func (i *inbox) close() {
	i.mutex.Lock()
	i.closed = true
	rest := i.waiting
	i.waiting = work{}
	i.mutex.Unlock()
	for _, p := range rest.proposals {
		p.answer(nil, 0, ErrClosed)
	}
	for _, r := range rest.reads {
		r.answer(nil, ErrClosed)
	}
	for _, call := range rest.calls {
		call(true)
	}
}
