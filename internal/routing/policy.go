package routing

import (
	"slices"
	"time"
)

// Random is a source of uniform bits, such as *rand.PCG.
type Random interface{ Uint64() uint64 }

// Request describes a request to a Policy.
type Request struct {
	Work     float64  // expected tokens
	Urgent   bool     // live traffic, as opposed to rollout work
	Blocks   []uint64 // chained hashes of the prompt's blocks, shortest prefix first
	Excluded []int    // positions of replicas that were tried already
}

// None is the result of Policy.Choose when no replica can take a request.
const None = -1

// Policy chooses a replica for a request. Choose returns the position of the replica, or None when no replica can
// take the request.
type Policy interface {
	Choose(pool *Pool, request *Request, now time.Duration, random Random) int
}

// isUsable reports whether a replica of the subset can take the request now and is healthy.
func (p *Pool) isUsable(i int, request *Request, now time.Duration) bool {
	return !p.replicas[i].config.Reserve && p.canAccept(i, request) && !p.replicas[i].isAvoided(now)
}

// Usable reports whether a replica of the subset can take the request now and is healthy. It serves callers that
// prefer certain replicas for reasons of their own and bypass the policy.
func (p *Pool) Usable(i int, request *Request, now time.Duration) bool {
	return p.isUsable(i, request, now)
}

// canTakeWork reports whether a replica takes requests at all, now or after others have ended.
func (r *replica) canTakeWork() bool { return r.leavingSources == 0 && r.config.Weight > 0 }

// canAccept reports whether a replica can take the request now. Unlike isUsable it ignores quarantine, missed load
// reports and the subset.
func (p *Pool) canAccept(i int, request *Request) bool {
	r := &p.replicas[i]
	if !r.canTakeWork() {
		return false
	}
	if r.config.MaxInFlight > 0 && r.inFlight >= r.config.MaxInFlight {
		return false
	}
	if !request.Urgent && r.isBackgroundFull() {
		return false
	}
	for _, excluded := range request.Excluded {
		if excluded == i {
			return false
		}
	}
	return true
}

// isBackgroundFull reports whether the replica has reached its limit of rollout work.
func (r *replica) isBackgroundFull() bool {
	return r.config.MaxBackground != 0 && r.backgroundInFlight >= r.config.MaxBackground
}

// uniformFloat maps random bits to [0, 1).
func uniformFloat(random Random) float64 { return float64(random.Uint64()>>11) / (1 << 53) }

// uniformInt maps random bits to [0, n).
func uniformInt(random Random, n int) int { return int(uniformFloat(random) * float64(n)) }

// chooseFallback scans all replicas from a random start when the draws of a policy found none. It prefers, in this
// order: a usable replica; one that was not polled for its load yet; one of the reserve, if no replica of the subset
// is alive; one that is only quarantined or silent, so that a pool in which every replica failed is still tried.
func (p *Pool) chooseFallback(request *Request, now time.Duration, random Random) int {
	n := len(p.replicas)
	if n == 0 {
		return None
	}
	start, neverPolled, reserve, unhealthy, busy := uniformInt(random, n), None, None, None, false
	for step := range n {
		i := start + step
		if i >= n {
			i -= n
		}
		if !p.canAccept(i, request) {
			busy = busy || p.isBusy(i, request, now)
			continue
		}
		switch r := &p.replicas[i]; {
		case !r.config.Reserve && !r.isAvoided(now):
			return i
		case r.awaitsFirstPoll() && !r.isUnhealthy(now):
			neverPolled = firstFound(neverPolled, i)
		case r.config.Reserve && !r.isAvoided(now):
			reserve = firstFound(reserve, i)
		default:
			unhealthy = firstFound(unhealthy, i)
		}
	}
	if neverPolled != None {
		return neverPolled
	}
	if reserve != None && !busy {
		return reserve
	}
	return unhealthy
}

// isBusy reports whether a replica of the subset is alive and rejects the request only because of the work that it
// has.
func (p *Pool) isBusy(i int, request *Request, now time.Duration) bool {
	r := &p.replicas[i]
	return !r.config.Reserve && r.canTakeWork() && !r.isAvoided(now) && !slices.Contains(request.Excluded, i)
}

// firstFound returns found, or candidate if found is None.
func firstFound(found, candidate int) int {
	if found == None {
		return candidate
	}
	return found
}

// Balanced is the production policy. Rollout work fills few replicas completely, see choosePacked. For all other
// requests, and where packing is disabled, Balanced compares a few candidates by the work expected ahead of the
// request's answer: some drawn by weight, one of the gateway's own zone, and the holders of the prompt's prefix.
type Balanced struct{}

// weightedCandidates is the number of candidates that Balanced draws by weight, and drawsPerCandidate the number of
// draws to find a usable one.
const (
	weightedCandidates = 2
	drawsPerCandidate  = 4
)

// Choose implements Policy.
func (Balanced) Choose(p *Pool, request *Request, now time.Duration, random Random) int {
	if !request.Urgent && !p.settings.SpreadBackground {
		if i := p.choosePacked(request, now, random); i != None {
			return i
		}
	}
	depth, entry := p.prefixes.find(request.Blocks, now, p.settings.PrefixLife)
	best, bestScore := None, 0.0
	consider := func(i int) {
		if i < 0 || i == best || !p.isUsable(i, request, now) {
			return
		}
		if score := p.score(i, request, depth, entry, now); best == None || score < bestScore {
			best, bestScore = i, score
		}
	}
	for range weightedCandidates {
		consider(p.drawUsable(request, now, random))
	}
	if len(p.sameZone) > 0 {
		consider(p.sameZone[uniformInt(random, len(p.sameZone))])
	}
	if entry != nil {
		for _, holder := range entry.holders {
			consider(int(holder))
		}
	}
	if best == None {
		return p.chooseFallback(request, now, random)
	}
	return best
}

// choosePacked returns the first replica, in an order shared by all gateways, that has capacity for rollout work.
// Rollouts thus fill few replicas completely and leave the others to urgent requests, whose engine steps are then
// short. Replicas without a limit on rollout work are skipped, because one of them would be filled without bound.
func (p *Pool) choosePacked(request *Request, now time.Duration, random Random) int {
	for p.packStart < len(p.packOrder) && p.replicas[p.packOrder[p.packStart]].isBackgroundFull() {
		p.packStart++
	}
	for _, i := range p.packOrder[p.packStart:] {
		if p.replicas[i].config.MaxBackground <= 0 || !p.isUsable(i, request, now) {
			continue
		}
		if share := p.rampShare(&p.replicas[i], now); share < 1 && uniformFloat(random) >= share {
			continue
		}
		return i
	}
	return None
}

// drawUsable draws a usable replica by weight. One that ramps up after a quarantine is accepted with the probability
// of its ramp share.
func (p *Pool) drawUsable(request *Request, now time.Duration, random Random) int {
	for range drawsPerCandidate {
		i := p.drawByWeight(uniformFloat(random))
		if i < 0 {
			return None
		}
		if !p.isUsable(i, request, now) {
			continue
		}
		if share := p.rampShare(&p.replicas[i], now); share < 1 && uniformFloat(random) >= share {
			continue
		}
		return i
	}
	return None
}

// referenceWeight is the default weight of a replica, at which the score of work equals its tokens.
const referenceWeight = 100

// score estimates the work that has to be done before the request's answer is complete, in tokens of a replica of
// default weight.
func (p *Pool) score(i int, request *Request, depth int, entry *prefixEntry, now time.Duration) float64 {
	r := &p.replicas[i]
	ahead := p.estimateForeignWork(r, now)
	if request.Urgent {
		ahead = ahead/p.meanWork*p.meanUrgent + r.urgentWork + float64(r.backgroundInFlight)*p.settings.BackgroundShare*p.meanUrgent
	} else {
		ahead += r.work
	}
	uncached := len(request.Blocks)
	if entry != nil && (entry.holders[0] == int32(i) || entry.holders[1] == int32(i)) {
		uncached -= depth
	}
	work := ahead + request.Work + float64(uncached)*p.settings.BlockWork
	work *= p.expectedSlowdown(r, now) * referenceWeight / (r.config.Weight * p.rampShare(r, now))
	return work + p.settings.DistanceCost[r.config.Distance]
}
