package consensus

import (
	"errors"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// maxConcurrentLoads limits the answers of one group that read parts of the state at the same time. Each of them holds a
// part in memory.
const maxConcurrentLoads = 4

// readQueue tracks linearizable reads. The reads of one round of the loop share one raft read context.
type readQueue struct {
	lastContext uint64
	rounds      []readRound // ordered by context
}

type readRound struct {
	context   uint64
	confirmed bool
	index     uint64 // the round is answered once this index is applied
	requests  []*readRequest
}

// start requests one read barrier from raft for all requests. If raft rejects it, the requests are answered at once.
func (q *readQueue) start(g *hostedGroup, requests []*readRequest) {
	q.lastContext++
	err := g.node.ReadIndex(q.lastContext)
	if err == nil {
		q.rounds = append(q.rounds, readRound{context: q.lastContext, requests: requests})
		return
	}
	var answer error = &ErrNotLeader{Leader: g.node.Status().Leader}
	if errors.Is(err, raft.ErrOverloaded) {
		answer = ErrOverloaded
	}
	for _, request := range requests {
		request.answer(nil, answer)
	}
}

// markConfirmed records the index up to which the state must be applied before a confirmed round is answered.
func (q *readQueue) markConfirmed(states []raft.ReadState) {
	for _, state := range states {
		for i := range q.rounds {
			if q.rounds[i].context == state.Context {
				q.rounds[i].confirmed, q.rounds[i].index = true, state.Index
			}
		}
	}
}

// answerApplied answers the confirmed rounds whose index has been applied.
func (q *readQueue) answerApplied(g *hostedGroup) {
	rest := q.rounds[:0]
	for _, round := range q.rounds {
		if !round.confirmed || round.index > g.applied {
			rest = append(rest, round)
			continue
		}
		for _, request := range round.requests {
			g.answerRead(request)
		}
	}
	q.rounds = rest
}

// fail answers all waiting reads with err.
func (q *readQueue) fail(err error) {
	for _, round := range q.rounds {
		for _, request := range round.requests {
			request.answer(nil, err)
		}
	}
	q.rounds = nil
}

// answerRead answers a request from the applied state.
func (g *hostedGroup) answerRead(request *readRequest) {
	if request.query == nil {
		request.answer(nil, nil)
		return
	}
	view, load := g.machine.Prepare(request.query)
	if load == nil {
		request.answer(view, nil)
		return
	}
	go func() { // reads a disk, for which the loop must not wait
		g.loadSlots <- struct{}{}
		defer func() { <-g.loadSlots }()
		request.answer(load())
	}()
}
