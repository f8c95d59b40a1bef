package consensus

import (
	"sync"
	"sync/atomic"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// maxInboxMessages bounds the protocol messages that wait for the loop; more are dropped, which raft
// takes for loss on the network.
const maxInboxMessages = 16_384

// envelope is a protocol message of one group.
type envelope struct {
	group   uint32
	message raft.Message
}

// proposal is a command on its way through the log.
type proposal struct {
	group    uint32
	data     []byte
	term     uint64               // set when proposed
	done     chan proposalOutcome // buffered, answered once
	inflight *atomic.Int64        // counts proposals that are not answered
}

type proposalOutcome struct {
	result *wire.Result
	index  uint64
	err    error
}

func (p *proposal) answer(result *wire.Result, index uint64, err error) {
	p.inflight.Add(-1)
	p.done <- proposalOutcome{result: result, index: index, err: err}
}

// readRequest waits for a linearizable barrier and then, if it has a query, for its answer.
type readRequest struct {
	group uint32
	query *wire.Query
	local bool             // answer from the applied state at once, without a barrier
	done  chan readOutcome // buffered, answered once
}

type readOutcome struct {
	view *wire.View
	err  error
}

func (r *readRequest) answer(view *wire.View, err error) { r.done <- readOutcome{view: view, err: err} }

// work is what the loop takes from the inbox in one round.
type work struct {
	messages  []envelope
	proposals []*proposal
	reads     []*readRequest
	calls     []func(closed bool)
}

// inbox hands work from any goroutine to the loop.
type inbox struct {
	notify       chan struct{} // has a token when there may be work
	maxProposals int
	inflight     atomic.Int64 // proposals accepted and not yet answered

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

// addMessages drops what exceeds the bound.
func (i *inbox) addMessages(messages []envelope) {
	i.mutex.Lock()
	if room := maxInboxMessages - len(i.waiting.messages); room < len(messages) {
		messages = messages[:room]
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
	if i.inflight.Load() >= int64(i.maxProposals) {
		return ErrOverloaded
	}
	i.inflight.Add(1)
	p.inflight = &i.inflight
	i.waiting.proposals = append(i.waiting.proposals, p)
	i.wake()
	return nil
}

// hasProposals tells whether proposals were left behind by take.
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

// addCall runs a function on the loop, or elsewhere with closed set when the host has stopped.
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

// take empties the inbox, except that at most maxProposals proposals are taken; the rest stays.
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

// close refuses later work and answers what still waits.
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
