package routing

import "time"

// Random is a source of uniform bits, such as *rand.PCG.
type Random interface{ Uint64() uint64 }

// Request is what a decision needs to know about a request.
type Request struct {
	Work     float64  // expected tokens
	Urgent   bool     // not rollout work
	Blocks   []uint64 // chained hashes of the prompt's blocks, shortest prefix first
	Excluded []int    // replicas that were tried
}

// None is the answer when no replica may take a request.
const None = -1

// Policy chooses a replica. Choose returns None when no replica may take the request.
type Policy interface {
	Choose(pool *Pool, request *Request, now time.Duration, random Random) int
}

// usable tells whether a replica may get the request.
func (p *Pool) usable(i int, request *Request, now time.Duration) bool {
	return p.open(i, request) && !p.replicas[i].avoided(now)
}

// open is usable but for quarantine and silence.
func (p *Pool) open(i int, request *Request) bool {
	r := &p.replicas[i]
	if r.leaving != 0 || r.config.Weight <= 0 {
		return false
	}
	if r.config.MaxInFlight > 0 && r.inFlight >= r.config.MaxInFlight {
		return false
	}
	if limit := r.config.MaxBackground; !request.Urgent && limit != 0 && r.background >= limit {
		return false
	}
	for _, excluded := range request.Excluded {
		if excluded == i {
			return false
		}
	}
	return true
}

// uniform maps random bits to [0, 1).
func uniform(random Random) float64 { return float64(random.Uint64()>>11) / (1 << 53) }

// below maps random bits to [0, n).
func below(random Random, n int) int { return int(uniform(random) * float64(n)) }

// firstOpen is the last resort when draws found nothing: the first usable replica from a random start,
// else the first that is only quarantined or silent, so that a pool in which every replica failed is still
// tried.
func (p *Pool) firstOpen(request *Request, now time.Duration, random Random) int {
	n := len(p.replicas)
	if n == 0 {
		return None
	}
	start, fallback := below(random, n), None
	for step := range n {
		i := start + step
		if i >= n {
			i -= n
		}
		if !p.open(i, request) {
			continue
		}
		if !p.replicas[i].avoided(now) {
			return i
		}
		if fallback == None {
			fallback = i
		}
	}
	return fallback
}

// Balanced is the production policy: a few candidates drawn by weight, one of the own zone and the holders
// of the prompt's prefix are compared by expected work before the request's answer.
type Balanced struct{}

// Draws of Balanced.
const (
	weightedCandidates = 2
	drawsPerCandidate  = 4
)

// Choose implements Policy.
func (Balanced) Choose(p *Pool, request *Request, now time.Duration, random Random) int {
	depth, entry := p.prefixes.find(request.Blocks, now, p.settings.PrefixLife)
	best, bestScore := None, 0.0
	consider := func(i int) {
		if i < 0 || i == best || !p.usable(i, request, now) {
			return
		}
		if score := p.score(i, request, depth, entry, now); best == None || score < bestScore {
			best, bestScore = i, score
		}
	}
	for range weightedCandidates {
		consider(p.drawUsable(request, now, random))
	}
	if len(p.local) > 0 {
		consider(p.local[below(random, len(p.local))])
	}
	if entry != nil {
		for _, holder := range entry.holders {
			consider(int(holder))
		}
	}
	if best == None {
		return p.firstOpen(request, now, random)
	}
	return best
}

// drawUsable draws a replica by weight; one that comes back from quarantine is accepted by its share.
func (p *Pool) drawUsable(request *Request, now time.Duration, random Random) int {
	for range drawsPerCandidate {
		i := p.draw(uniform(random))
		if i < 0 {
			return None
		}
		if !p.usable(i, request, now) {
			continue
		}
		if share := p.share(&p.replicas[i], now); share < 1 && uniform(random) >= share {
			continue
		}
		return i
	}
	return None
}

// meanWeight is the weight at which work counts as it is.
const meanWeight = 100

// score estimates the work, in tokens of a replica of default weight, that lies before the request's end.
func (p *Pool) score(i int, request *Request, depth int, entry *prefixEntry, now time.Duration) float64 {
	r := &p.replicas[i]
	ahead := p.foreign(r, now) + r.work
	if request.Urgent {
		background := r.work - r.urgent
		ahead -= background * (1 - p.settings.BackgroundShare)
	}
	uncached := len(request.Blocks)
	if entry != nil && (entry.holders[0] == int32(i) || entry.holders[1] == int32(i)) {
		uncached -= depth
	}
	work := ahead + request.Work + float64(uncached)*p.settings.BlockWork
	work *= meanWeight / (r.config.Weight * p.share(r, now))
	return work + p.settings.DistanceCost[r.config.Distance]
}
