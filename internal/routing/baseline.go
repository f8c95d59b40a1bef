package routing

import "time"

// UniformRandom is a baseline: any usable replica, all alike.
type UniformRandom struct{}

// Choose implements Policy.
func (UniformRandom) Choose(p *Pool, request *Request, now time.Duration, random Random) int {
	for range drawsPerCandidate {
		if p.Len() == 0 {
			return None
		}
		if i := below(random, p.Len()); p.usable(i, request, now) {
			return i
		}
	}
	return p.firstOpen(request, now, random)
}

// RoundRobin is a baseline: usable replicas in turn.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (r *RoundRobin) Choose(p *Pool, request *Request, now time.Duration, random Random) int {
	for range p.Len() {
		r.next++
		if r.next >= p.Len() {
			r.next = 0
		}
		if p.usable(r.next, request, now) {
			return r.next
		}
	}
	return p.firstOpen(request, now, random)
}

// LeastRequests is a baseline: the usable replica with the fewest of this gateway's requests by weight.
type LeastRequests struct{}

// Choose implements Policy.
func (LeastRequests) Choose(p *Pool, request *Request, now time.Duration, random Random) int {
	best, bestLoad := None, 0.0
	if p.Len() == 0 {
		return None
	}
	start := below(random, p.Len())
	for step := range p.Len() {
		i := start + step
		if i >= p.Len() {
			i -= p.Len()
		}
		if !p.usable(i, request, now) {
			continue
		}
		r := &p.replicas[i]
		if load := float64(r.inFlight+1) / r.config.Weight; best == None || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best == None {
		return p.firstOpen(request, now, random)
	}
	return best
}
