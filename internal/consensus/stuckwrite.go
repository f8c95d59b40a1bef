package consensus

import (
	"context"
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// StuckWrite describes a write of this node that is still in progress while other nodes have already stored the same
// entries. The disk hangs, or is full while theirs are not.
type StuckWrite struct {
	Duration time.Duration // time since the write started; 0: there is no such write
	// Ahead lists the IDs, in ascending order, of the voters that have stored entries of some group led by this node
	// that are not on this node's disk yet.
	Ahead []uint64
}

// StuckWrite returns the stuck write of this node. It is zero as long as no voter has stored more than this node: if
// all disks are equally full or slow, another leader would not do better. Errors: those of Status.
func (h *Host) StuckWrite(ctx context.Context) (StuckWrite, error) {
	return callWithResult(ctx, h, h.groups[0].id, func(*hostedGroup) (StuckWrite, error) { return h.findStuckWrite(time.Now()), nil })
}

func (h *Host) findStuckWrite(now time.Time) StuckWrite {
	if !h.writer.busy {
		return StuckWrite{}
	}
	var ahead []uint64
	for _, g := range h.groups {
		ahead = append(ahead, findVotersAhead(g.node.Status())...)
	}
	if len(ahead) == 0 {
		return StuckWrite{}
	}
	slices.Sort(ahead)
	return StuckWrite{Duration: now.Sub(h.writer.startedAt), Ahead: slices.Compact(ahead)}
}

// findVotersAhead returns the voters that were active recently and have stored more of a group than its leader.
func findVotersAhead(leader raft.Status) []uint64 {
	var ahead []uint64
	for _, peer := range leader.Match {
		if peer.Node != leader.ID && !peer.Learner && peer.RecentActive && peer.Match > leader.Stable {
			ahead = append(ahead, peer.Node)
		}
	}
	return ahead
}
