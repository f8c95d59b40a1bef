package consensus

import (
	"slices"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/member"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// A leader only knows how long a voter has been silent since it became leader. If leaders change quickly, none of
// them would detect a lost voter. Therefore every node sends keep-alives to every other one whoever leads, measures
// for how long it has not heard each of them, and reports these times in its own keep-alives.

const (
	// keepAliveInterval is the interval of the keep-alives, which also report the nodes that the sender does not
	// hear.
	keepAliveInterval = 250 * time.Millisecond
	// heardTimeout is how long a node counts as heard after a message. One keep-alive may be lost or late.
	heardTimeout = 2 * keepAliveInterval
	// silenceReportTTL is how long a report of another node is used.
	silenceReportTTL = 4 * keepAliveInterval
	// silenceCheckTicks is the number of ticks between two updates of the silences: 0.2 s with the default tick.
	silenceCheckTicks = 4
	// maxSilenceGap is the maximum time that one update adds to a silence, because this node itself may have been
	// paused between two updates.
	maxSilenceGap = time.Second
)

// silenceTracker measures for how long this node has not heard the members of its groups. It starts from zero with
// the process.
type silenceTracker struct {
	mutex   sync.Mutex
	tracker *member.SilenceTracker
	members []uint64
}

func newSilenceTracker(self uint64, now time.Duration) *silenceTracker {
	return &silenceTracker{tracker: member.NewSilenceTracker(self, now, maxSilenceGap)}
}

// updateSilences updates the silences of all members of the groups. It is called from the loop.
func (h *Host) updateSilences(now time.Time) {
	var members []uint64
	for _, g := range h.groups {
		configuration := g.node.Status().Configuration
		members = append(append(members, configuration.Voters...), configuration.Learners...)
	}
	slices.Sort(members)
	members = slices.DeleteFunc(slices.Compact(members), func(id uint64) bool { return id == h.config.NodeID })
	observations := make([]member.Observation, 0, len(members))
	for _, id := range members {
		heardAt := h.contacts.get(id).heardAt
		heard := !heardAt.IsZero()
		observations = append(observations, member.Observation{Node: id, Heard: heard, Active: heard && now.Sub(heardAt) < heardTimeout})
	}
	h.silences.mutex.Lock()
	defer h.silences.mutex.Unlock()
	h.silences.members = members
	h.silences.tracker.Observe(now.Sub(h.contacts.startedAt), observations)
}

// listUnheard returns the members that this node does not hear, with the lengths of their silences.
func (s *silenceTracker) listUnheard() []*wire.NodeSilence {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var unheard []*wire.NodeSilence
	for _, id := range s.members {
		if silence := s.tracker.Silence(id); silence > 0 {
			unheard = append(unheard, &wire.NodeSilence{Node: id, Millis: uint32(silence.Milliseconds())})
		}
	}
	return unheard
}

// get returns for how long this node has not heard a node, 0 if it hears it.
func (s *silenceTracker) get(node uint64) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Silence(node)
}

// newKeepAlive returns a keep-alive with the silences that this node has measured.
func (h *Host) newKeepAlive() *wire.RaftBatch {
	return &wire.RaftBatch{KeepAlive: true, Unheard: h.silences.listUnheard()}
}

// UnheardFor returns for how long a node has not been heard. It is the longest of the times that this node has measured
// and that the other nodes have reported recently, or 0 if one of them hears the node.
func (h *Host) UnheardFor(node uint64, others []uint64) time.Duration {
	longest := h.silences.get(node)
	if longest == 0 {
		return 0
	}
	now := time.Now()
	for _, other := range others {
		reported, recent := h.contacts.reportedSilence(other, node, now)
		switch {
		case !recent || other == node || other == raft.None:
		case reported == 0:
			return 0
		default:
			longest = max(longest, reported)
		}
	}
	return longest
}
