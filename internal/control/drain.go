package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// transferPoll is how often a draining node looks whether its leaderships have gone.
const transferPoll = 20 * time.Millisecond

// handover gives the leaderships of a node that stops by plan to other nodes. Nodes that stop as well give them back;
// when all others do, there is nobody to lead, and the node stops as it is: its state is on its disk.
type handover struct {
	server *Server
	// asked holds, by group and node, the term in which the node was asked to lead.
	asked map[uint32]map[uint64]uint64
}

func newHandover(server *Server) *handover {
	return &handover{server: server, asked: map[uint32]map[uint64]uint64{}}
}

// run returns once this node leads no group that another node would lead, or with an error when ctx ends.
func (h *handover) run(ctx context.Context) error {
	for ctx.Err() == nil {
		left := 0
		for group := uint32(0); int(group) <= h.server.config.LedgerGroups; group++ {
			if !h.transfer(ctx, group) {
				left++
			}
		}
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(transferPoll):
		}
	}
	return trace.ConnectionProblem(ctx.Err(), "control node %s stops while it still leads a group: no other voter took over in time", h.server.config.Name)
}

// transfer asks another voter to lead a group. done: this node does not lead it, or nobody else will.
func (h *handover) transfer(ctx context.Context, group uint32) (done bool) {
	status, err := h.server.replicas.Status(ctx, group)
	if err != nil || status.Leader != status.ID || len(status.Configuration.Voters) < 2 {
		return true
	}
	best, returned := h.choose(group, &status)
	if best == raft.None {
		return returned
	}
	if h.asked[group] == nil {
		h.asked[group] = map[uint64]uint64{}
	}
	h.asked[group][best] = status.Term
	if err := h.server.replicas.TransferLeadership(ctx, group, best); err != nil {
		h.server.log.WithError(err).Debugf("group %d was not handed over", group)
	}
	return false
}

// choose returns the most advanced voter that was heard lately, those first that can stay leader. It passes over
// those that led since they were asked and no longer do: returned tells that there are such.
func (h *handover) choose(group uint32, status *raft.Status) (best uint64, returned bool) {
	var chosen raft.Progress
	chosenRank := 0
	now := h.server.config.Clock()
	for _, candidate := range status.Match {
		if candidate.Node == status.ID || candidate.Learner || !candidate.RecentActive {
			continue
		}
		if term, asked := h.asked[group][candidate.Node]; asked && term < status.Term {
			returned = true
			continue
		}
		rank := rankLeader(h.server.voters.isLeaving(candidate.Node, now), isStandby(candidate.Node))
		if chosen.Node == raft.None || rank < chosenRank || rank == chosenRank && candidate.Match > chosen.Match {
			chosen, chosenRank = candidate, rank
		}
	}
	return chosen.Node, returned
}

// rankLeader orders the nodes that may lead next, the best first.
func rankLeader(leaving, standby bool) int {
	switch {
	case leaving:
		return 2
	case standby:
		return 1
	}
	return 0
}
