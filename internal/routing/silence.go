package routing

import "time"

// silenceLimit is the number of load reports in a row that have to be missing before a replica counts as
// silent. One may be lost, two may meet a pause of the replica.
const silenceLimit = 3

// Unanswered notes that a replica did not answer when it was asked for its load. A silent replica gets
// nothing while another one can take the request; its next report ends the silence.
func (p *Pool) Unanswered(name string) {
	if i := p.Index(name); i >= 0 {
		p.replicas[i].asked = true
		p.replicas[i].unanswered++
	}
}

// Asked notes that a replica was asked for its load and gave an answer that tells nothing.
func (p *Pool) Asked(name string) {
	if i := p.Index(name); i >= 0 {
		p.replicas[i].asked = true
	}
}

// Unasked tells whether some replica is polled and was not asked yet.
func (p *Pool) Unasked() bool {
	for i := range p.replicas {
		if p.replicas[i].unasked() {
			return true
		}
	}
	return false
}

func (r *replica) unasked() bool { return r.config.Polled && !r.asked }

// Silent tells whether a replica answers nothing any more.
func (p *Pool) Silent(i int) bool { return p.replicas[i].silent() }

func (r *replica) silent() bool { return r.unanswered >= silenceLimit }

// avoided tells whether a replica gets nothing while another one can take the request.
func (r *replica) avoided(now time.Duration) bool {
	return r.troubled(now) || r.unasked()
}

// troubled tells whether a replica failed or is silent.
func (r *replica) troubled(now time.Duration) bool { return r.health.quarantined(now) || r.silent() }

// Away sums the limits of the replicas that the table has in service and that take no work now, all told and for rollout
// work: the other replicas have no room for what was to run there.
func (p *Pool) Away(now time.Duration) (slots, background int) {
	for i := range p.replicas {
		r := &p.replicas[i]
		if r.config.Reserve || r.config.Draining || r.config.Weight <= 0 {
			continue
		}
		if r.leaving != 0 || r.troubled(now) {
			slots += r.config.MaxInFlight
			background += max(r.config.MaxBackground, 0)
		}
	}
	return slots, background
}

// Spare tells whether some replica other than the one named answers and takes work.
func (p *Pool) Spare(name string, now time.Duration) bool {
	for i := range p.replicas {
		if r := &p.replicas[i]; r.config.Name != name && p.open(i, &anyRequest) && !r.avoided(now) {
			return true
		}
	}
	return false
}

// anyRequest is a request that every open replica takes.
var anyRequest = Request{Urgent: true}
