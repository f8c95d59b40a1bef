package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// transferPoll is how often a draining node checks whether its leaderships have been transferred.
const transferPoll = 20 * time.Millisecond

// handover transfers the leaderships of a node that stops as planned to other nodes. Nodes that are stopping too return
// them. If all other nodes are stopping, no node is left to lead, and this node stops as the leader; its state is on
// its disk.
type handover struct {
	server *Server
	// asked is the term in which a node was last asked to lead, by group and node.
	asked map[uint32]map[uint64]uint64
}

func newHandover(server *Server) *handover {
	return &handover{server: server, asked: map[uint32]map[uint64]uint64{}}
}

// run returns nil once this node leads no group that another node would lead, or an error when ctx ends.
func (h *handover) run(ctx context.Context) error {
	for ctx.Err() == nil {
		remaining := 0
		for group := uint32(0); int(group) <= h.server.config.LedgerGroups; group++ {
			if !h.transfer(ctx, group) {
				remaining++
			}
		}
		if remaining == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(transferPoll):
		}
	}
	return trace.ConnectionProblem(ctx.Err(), "control node %s stops while it still leads a group: no other voter took over in time", h.server.config.Name)
}

// transfer asks another voter to lead a group. done is true if this node does not lead the group or no other node will
// lead it.
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
		h.server.log.WithError(err).Debugf("failed to transfer the leadership of group %d", group)
	}
	return false
}

// choose returns the voter to transfer a group to, or raft.None. Among voters heard recently, those that can stay
// leader come first, then those with the most log entries. Voters that have led since they were asked and no longer
// lead are skipped; returned is true if there are any.
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

// rankLeader ranks a node as the next leader. A lower rank is better.
func rankLeader(leaving, standby bool) int {
	switch {
	case leaving:
		return 2
	case standby:
		return 1
	}
	return 0
}
