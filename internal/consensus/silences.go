package consensus

import (
	"slices"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/member"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// A leader's account of who is silent ends with its leadership. So that leaders which follow each other quickly find a lost voter
// all the same, every node hears every other one at regular intervals, whoever leads, counts for how long it has not, and tells.

const (
	// keepAliveInterval is how often a node says to each other one that it is there, and whom it does not hear.
	keepAliveInterval = 250 * time.Millisecond
	// heardFor is for how long a node counts as heard: one sign of life may be lost or late.
	heardFor = 2 * keepAliveInterval
	// toldFor is for how long counts what a node has told.
	toldFor = 4 * keepAliveInterval
	// silenceTicks is the number of ticks between two looks at whom this node hears, 0.2 s with the default tick.
	silenceTicks = 4
	// maximumSilenceGap is what counts of the time between two looks at most: this node may have been paused itself.
	maximumSilenceGap = time.Second
)

// silences is this node's account of the members of its groups that it does not hear. It begins with the process.
type silences struct {
	mutex   sync.Mutex
	hearing *member.Hearing
	members []uint64
}

func newSilences(self uint64, now time.Duration) *silences {
	return &silences{hearing: member.NewHearing(self, now, maximumSilenceGap)}
}

// lookForSilences counts the silence of the groups' members up to now. It is called from the loop.
func (h *Host) lookForSilences(now time.Time) {
	var members []uint64
	for _, g := range h.groups {
		configuration := g.node.Status().Configuration
		members = append(append(members, configuration.Voters...), configuration.Learners...)
	}
	slices.Sort(members)
	members = slices.DeleteFunc(slices.Compact(members), func(id uint64) bool { return id == h.config.NodeID })
	sightings := make([]member.Sighting, 0, len(members))
	for _, id := range members {
		heardAt := h.contacts.of(id).heardAt
		heard := !heardAt.IsZero()
		sightings = append(sightings, member.Sighting{Node: id, Heard: heard, Active: heard && now.Sub(heardAt) < heardFor})
	}
	h.silences.mutex.Lock()
	defer h.silences.mutex.Unlock()
	h.silences.members = members
	h.silences.hearing.Look(now.Sub(h.contacts.startedAt), sightings)
}

// unheard lists the members that this node does not hear.
func (s *silences) unheard() []*wire.NodeSilence {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var silent []*wire.NodeSilence
	for _, id := range s.members {
		if silence := s.hearing.Silence(id); silence > 0 {
			silent = append(silent, &wire.NodeSilence{Node: id, Millis: uint32(silence.Milliseconds())})
		}
	}
	return silent
}

func (s *silences) of(node uint64) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.hearing.Silence(node)
}

// keepAlive is a sign of life.
func (h *Host) keepAlive() *wire.RaftBatch {
	return &wire.RaftBatch{KeepAlive: true, Unheard: h.silences.unheard()}
}

// Unheard is for how long this node and others have not heard a node, the longest of the times that they have told lately; 0 if
// one of them hears it.
func (h *Host) Unheard(node uint64, others []uint64) time.Duration {
	longest := h.silences.of(node)
	if longest == 0 {
		return 0
	}
	now := time.Now()
	for _, other := range others {
		told, tells := h.contacts.toldBy(other, node, now)
		switch {
		case !tells || other == node || other == raft.None:
		case told == 0:
			return 0
		default:
			longest = max(longest, told)
		}
	}
	return longest
}
