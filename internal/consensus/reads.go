package consensus

import (
	"errors"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// readQueue serves linearizable reads. The reads of one round of the loop share one raft context.
type readQueue struct {
	lastContext uint64
	rounds      []readRound // in the order of their contexts
}

type readRound struct {
	context   uint64
	confirmed bool
	index     uint64 // the state must be applied up to here
	requests  []*readRequest
}

// start asks raft for one barrier for all requests.
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

func (q *readQueue) confirm(states []raft.ReadState) {
	for _, state := range states {
		for i := range q.rounds {
			if q.rounds[i].context == state.Context {
				q.rounds[i].confirmed, q.rounds[i].index = true, state.Index
			}
		}
	}
}

// serve answers the confirmed rounds whose index is applied.
func (q *readQueue) serve(g *hostedGroup) {
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

func (q *readQueue) fail(err error) {
	for _, round := range q.rounds {
		for _, request := range round.requests {
			request.answer(nil, err)
		}
	}
	q.rounds = nil
}

// answerRead answers from the applied state.
func (g *hostedGroup) answerRead(request *readRequest) {
	if request.query == nil {
		request.answer(nil, nil)
		return
	}
	request.answer(g.machine.Query(request.query), nil)
}
