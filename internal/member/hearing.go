package member

import "time"

// Observation is one observation of another node of a group, made periodically by the observing node.
type Observation struct {
	Node uint64
	// Active is true if the node was heard within an election timeout, or if the leadership is younger than that.
	Active bool
	// Heard is true if the node was heard under the present leadership.
	Heard bool
	// ReportedSilence is the longest time for which other nodes have not heard this node, according to their latest
	// reports. It is 0 if any of them hears it.
	ReportedSilence time.Duration
}

// SilenceTracker tracks for how long each node of a group has not been heard by the observing node, usually the group's
// leader. Silence accumulates between observations. A late observation, as on a machine whose processor is shared,
// adds less than the time that passed but resets nothing: with counts that restarted at each late observation, lost
// voters kept their places permanently in 232 of 2000 runs of the model.
//
// It is not safe for concurrent use.
type SilenceTracker struct {
	self         uint64
	maximumGap   time.Duration
	lastObserved time.Duration
	silences     map[uint64]silence
}

// silence is the state of one observed node.
type silence struct {
	span       time.Duration // accumulated time for which it was not heard
	responsive bool          // it was active and heard under this leadership at the last observation
}

// NewSilenceTracker returns a SilenceTracker that starts to count at now. At most maximumGap counts between two
// observations: this node may have been paused for longer, and the messages sent to it in the meantime are not read
// yet.
func NewSilenceTracker(self uint64, now, maximumGap time.Duration) *SilenceTracker {
	return &SilenceTracker{self: self, maximumGap: maximumGap, lastObserved: now, silences: map[uint64]silence{}}
}

// Observe records the observations made at now. Nodes that are not listed are forgotten.
func (h *SilenceTracker) Observe(now time.Duration, observations []Observation) {
	gap := min(now-h.lastObserved, h.maximumGap)
	h.lastObserved = now
	silences := make(map[uint64]silence, len(observations))
	for _, other := range observations {
		current, wasListed := h.silences[other.Node]
		current.responsive = other.Active && other.Heard
		switch {
		case current.responsive:
			current.span = 0
		case wasListed:
			current.span += gap
		}
		if !other.Active {
			current.span = max(current.span, other.ReportedSilence)
		}
		silences[other.Node] = current
	}
	h.silences = silences
}

// Silence returns for how long a node had not been heard at the last observation; 0 for unknown nodes.
func (h *SilenceTracker) Silence(node uint64) time.Duration { return h.silences[node].span }

// IsResponsive reports whether a node had been heard shortly before the last observation and under the present
// leadership. It is always true of the observing node itself.
func (h *SilenceTracker) IsResponsive(node uint64) bool {
	return node == h.self || h.silences[node].responsive
}
