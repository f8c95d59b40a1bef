package routing

import "time"

// health tracks the passive health checks of a replica. A replica that fails too often in a row is quarantined: it
// gets no requests for a while. Afterwards its share of requests ramps up gradually, so that it is not flooded. Each
// further quarantine in a row lasts twice as long.
type health struct {
	consecutiveFailures    int
	consecutiveQuarantines int
	quarantineEnd          time.Duration // end of the last quarantine
	rampEnd                time.Duration // end of the ramp that follows the quarantine
	wasQuarantined         bool
}

// maxQuarantineDoublings bounds how often the length of a quarantine is doubled.
const maxQuarantineDoublings = 16

// Failed records a failed request at a replica and starts a quarantine when the failure limit is reached. During the
// ramp after a quarantine a single failure is enough.
func (p *Pool) Failed(name string, now time.Duration) {
	i := p.Index(name)
	if i < 0 {
		return
	}
	h := &p.replicas[i].health
	if h.isQuarantined(now) {
		return // the request was sent before the quarantine began
	}
	h.consecutiveFailures++
	limit := p.settings.FailureLimit
	if h.isRamping(now) {
		limit = 1
	}
	if h.consecutiveFailures < limit {
		return
	}
	length := min(p.settings.QuarantineBase<<min(h.consecutiveQuarantines, maxQuarantineDoublings), p.settings.QuarantineLimit)
	h.consecutiveQuarantines++
	h.consecutiveFailures = 0
	h.wasQuarantined = true
	h.quarantineEnd = now + length
	h.rampEnd = h.quarantineEnd + p.settings.ReturnRamp
}

// Succeeded records a successful answer of a replica. The first success after the ramp resets the length of the next
// quarantine.
func (p *Pool) Succeeded(name string, now time.Duration) {
	i := p.Index(name)
	if i < 0 {
		return
	}
	h := &p.replicas[i].health
	h.consecutiveFailures = 0
	if h.wasQuarantined && now >= h.rampEnd {
		h.consecutiveQuarantines, h.wasQuarantined = 0, false
	}
}

// Quarantine returns the remaining quarantine of a replica and the number of its quarantines in a row. Both are 0 for
// a healthy replica.
func (p *Pool) Quarantine(name string, now time.Duration) (left time.Duration, inRow int) {
	i := p.Index(name)
	if i < 0 || !p.replicas[i].health.wasQuarantined {
		return 0, 0
	}
	h := &p.replicas[i].health
	return max(h.quarantineEnd-now, 0), h.consecutiveQuarantines
}

// Quarantined reports whether a replica is in quarantine after failures.
func (p *Pool) Quarantined(i int, now time.Duration) bool {
	return p.replicas[i].health.isQuarantined(now)
}

func (h *health) isQuarantined(now time.Duration) bool {
	return h.wasQuarantined && now < h.quarantineEnd
}

func (h *health) isRamping(now time.Duration) bool {
	return h.wasQuarantined && now >= h.quarantineEnd && now < h.rampEnd
}

// minRampShare is the share of its weight that a replica gets at the start of the ramp after a quarantine.
const minRampShare = 0.05

// rampShare returns the fraction of its weight that a replica gets now. It is below 1 only during the ramp after a
// quarantine.
func (p *Pool) rampShare(r *replica, now time.Duration) float64 {
	if !r.health.isRamping(now) {
		return 1
	}
	done := 1 - float64(r.health.rampEnd-now)/float64(p.settings.ReturnRamp)
	return minRampShare + (1-minRampShare)*min(max(done, 0), 1)
}
