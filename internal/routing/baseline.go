package routing

import "time"

// UniformRandom is a baseline policy that picks any usable replica with equal probability.
type UniformRandom struct{}

// Choose implements Policy.
func (UniformRandom) Choose(p *Pool, request *Request, now time.Duration, random Random) int {
	for range drawsPerCandidate {
		if p.Len() == 0 {
			return None
		}
		if i := uniformInt(random, p.Len()); p.isUsable(i, request, now) {
			return i
		}
	}
	return p.chooseFallback(request, now, random)
}

// RoundRobin is a baseline policy that cycles through the usable replicas.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (r *RoundRobin) Choose(p *Pool, request *Request, now time.Duration, random Random) int {
	for range p.Len() {
		r.next++
		if r.next >= p.Len() {
			r.next = 0
		}
		if p.isUsable(r.next, request, now) {
			return r.next
		}
	}
	return p.chooseFallback(request, now, random)
}

// LeastRequests is a baseline policy that picks the usable replica with the fewest in-flight requests of this
// gateway, relative to its weight.
type LeastRequests struct{}

// Choose implements Policy.
func (LeastRequests) Choose(p *Pool, request *Request, now time.Duration, random Random) int {
	best, bestLoad := None, 0.0
	if p.Len() == 0 {
		return None
	}
	start := uniformInt(random, p.Len())
	for step := range p.Len() {
		i := start + step
		if i >= p.Len() {
			i -= p.Len()
		}
		if !p.isUsable(i, request, now) {
			continue
		}
		r := &p.replicas[i]
		if load := float64(r.inFlight+1) / r.config.Weight; best == None || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best == None {
		return p.chooseFallback(request, now, random)
	}
	return best
}
