package routing

import "time"

// health is a replica's quarantine. A replica that fails too often in a row gets nothing for a while; it
// comes back slowly, so that no herd meets it, and each further quarantine in a row lasts twice as long.
type health struct {
	failures   int           // in a row
	ejections  int           // in a row
	until      time.Duration // end of the quarantine
	rampEnd    time.Duration // end of the slow return
	everFailed bool
}

// maxEjections bounds the doubling of a quarantine.
const maxEjections = 16

// Failed notes a failed request at a replica.
func (p *Pool) Failed(name string, now time.Duration) {
	i := p.Index(name)
	if i < 0 {
		return
	}
	h := &p.replicas[i].health
	if h.quarantined(now) {
		return // requests sent before the quarantine
	}
	h.failures++
	limit := p.settings.FailureLimit
	if h.ramping(now) {
		limit = 1
	}
	if h.failures < limit {
		return
	}
	length := min(p.settings.QuarantineBase<<min(h.ejections, maxEjections), p.settings.QuarantineLimit)
	h.ejections++
	h.failures = 0
	h.everFailed = true
	h.until = now + length
	h.rampEnd = h.until + p.settings.ReturnRamp
}

// Succeeded notes a good answer of a replica.
func (p *Pool) Succeeded(name string, now time.Duration) {
	i := p.Index(name)
	if i < 0 {
		return
	}
	h := &p.replicas[i].health
	h.failures = 0
	if h.everFailed && now >= h.rampEnd {
		h.ejections, h.everFailed = 0, false
	}
}

// Quarantine returns for how long a replica gets nothing yet, and how many quarantines it had in a row; both are 0 for
// one that is sound.
func (p *Pool) Quarantine(name string, now time.Duration) (left time.Duration, inRow int) {
	i := p.Index(name)
	if i < 0 || !p.replicas[i].health.everFailed {
		return 0, 0
	}
	h := &p.replicas[i].health
	return max(h.until-now, 0), h.ejections
}

// Quarantined tells whether a replica gets nothing because it failed.
func (p *Pool) Quarantined(i int, now time.Duration) bool {
	return p.replicas[i].health.quarantined(now)
}

func (h *health) quarantined(now time.Duration) bool { return h.everFailed && now < h.until }

func (h *health) ramping(now time.Duration) bool {
	return h.everFailed && now >= h.until && now < h.rampEnd
}

// rampFloor is the share with which a replica comes back.
const rampFloor = 0.05

// share is the part of its weight that a replica gets now: 1 but for a slow return.
func (p *Pool) share(r *replica, now time.Duration) float64 {
	if !r.health.ramping(now) {
		return 1
	}
	done := 1 - float64(r.health.rampEnd-now)/float64(p.settings.ReturnRamp)
	return rampFloor + (1-rampFloor)*min(max(done, 0), 1)
}
