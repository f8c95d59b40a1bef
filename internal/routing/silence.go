package routing

import "time"

// missedReportLimit is the number of consecutive load reports that have to be missing before a replica counts as
// silent. One may be lost, and two may coincide with a pause of the replica.
const missedReportLimit = 3

// RecordMissedPoll records that a replica did not answer a poll for its load. A silent replica gets requests only when
// no other replica can take them. Its next load report ends this state.
func (p *Pool) RecordMissedPoll(name string) {
	if i := p.Index(name); i >= 0 {
		p.replicas[i].wasPolled = true
		p.replicas[i].missedReports++
	}
}

// RecordPoll records that a replica was polled for its load and its answer contained no load report.
func (p *Pool) RecordPoll(name string) {
	if i := p.Index(name); i >= 0 {
		p.replicas[i].wasPolled = true
	}
}

// HasUnpolled reports whether any polled replica still awaits its first poll.
func (p *Pool) HasUnpolled() bool {
	for i := range p.replicas {
		if p.replicas[i].awaitsFirstPoll() {
			return true
		}
	}
	return false
}

func (r *replica) awaitsFirstPoll() bool { return r.config.Polled && !r.wasPolled }

// IsSilent reports whether a replica has missed so many polls in a row that it is assumed not to answer any more.
func (p *Pool) IsSilent(i int) bool { return p.replicas[i].isSilent() }

func (r *replica) isSilent() bool { return r.missedReports >= missedReportLimit }

// isAvoided reports whether a replica gets requests only when no other replica can take them.
func (r *replica) isAvoided(now time.Duration) bool {
	return r.isUnhealthy(now) || r.awaitsFirstPoll()
}

// isUnhealthy reports whether a replica is quarantined or silent.
func (r *replica) isUnhealthy(now time.Duration) bool {
	return r.health.isQuarantined(now) || r.isSilent()
}

// UnavailableSlots returns the total slots, and the slots for rollout work, of the replicas that are in service
// according to the table but take no work now. The other replicas have no free capacity for the requests that would
// have run there.
func (p *Pool) UnavailableSlots(now time.Duration) (slots, background int) {
	for i := range p.replicas {
		r := &p.replicas[i]
		if r.config.Reserve || r.config.Draining || r.config.Weight <= 0 {
			continue
		}
		if r.leavingSources != 0 || r.isUnhealthy(now) {
			slots += r.config.MaxInFlight
			background += max(r.config.MaxBackground, 0)
		}
	}
	return slots, background
}

// HasAlternative reports whether any replica other than the named one is healthy, was polled if it has to be, and can
// take an urgent request.
func (p *Pool) HasAlternative(name string, now time.Duration) bool {
	for i := range p.replicas {
		if r := &p.replicas[i]; r.config.Name != name && p.canAccept(i, &anyRequest) && !r.isAvoided(now) {
			return true
		}
	}
	return false
}

// anyRequest is a request that every replica takes unless it is leaving, at its limit or of weight 0.
var anyRequest = Request{Urgent: true}
