package wave

import (
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Planner plans the wave of one pool. It is not safe for concurrent use.
type Planner struct {
	config           Config
	target           Version
	releasedAt       time.Duration
	complete         bool // every replica has served the target
	lastDuration     time.Duration
	replicas         map[string]*replica
	waiting          *iradix.Tree[*replica] // replicas that may get an order, in the order in which they get them
	counts           counts
	orders           map[uint64]*replica
	lastOrder        uint64
	stagesInFlight   int // stage orders in progress
	stageLimit       int // maximum number of stage orders in progress; adapts to the weight store
	stagePausedUntil time.Duration
	swapTime         time.Duration // smoothed time of a swap; 0 if unknown
	counters         Counters
}

// replica is the known state of one replica.
type replica struct {
	name          string
	hasReported   bool // it has reported or answered an order
	serving       uint64
	refusing      bool
	staged        uint64
	stagedAt      time.Duration // expected time at which the staged version is ready
	highestServed uint64        // highest target that it has served
	order         Order         // order in progress; its ID is 0 if there is none
	orderedAt     time.Duration
	answeredAt    time.Duration // time of the last answer, valid with hasAnswer
	hasAnswer     bool
	retryAt       time.Duration
	failures      int
	indexed       indexEntry
}

// New returns a planner of a pool without replicas or releases.
func New(config Config) *Planner {
	config = config.WithDefaults()
	return &Planner{config: config, stageLimit: config.MinStageLimit, replicas: map[string]*replica{}, waiting: iradix.New[*replica](), orders: map[uint64]*replica{}}
}

// Release makes a version the target that all replicas are to serve. It returns false and changes nothing if the
// number is not above that of the current target.
func (p *Planner) Release(now time.Duration, version Version) bool {
	if version.Number <= p.target.Number && p.target.Name != "" {
		return false
	}
	p.target, p.releasedAt, p.complete = version, now, false
	for _, one := range p.replicas {
		one.failures, one.retryAt = 0, 0
	}
	p.indexAll()
	return true
}

// SetReplicas sets the replicas of the pool. Those no longer in the list are forgotten together with their orders.
func (p *Planner) SetReplicas(names []string) {
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		p.AddReplica(name)
	}
	for name := range p.replicas {
		if !listed[name] {
			p.RemoveReplica(name)
		}
	}
}

// AddReplica adds a replica to the pool, unless the pool has it.
func (p *Planner) AddReplica(name string) {
	if p.replicas[name] != nil {
		return
	}
	added := &replica{name: name}
	p.replicas[name] = added
	p.complete = false
	p.index(added)
}

// RemoveReplica forgets a replica together with its order.
func (p *Planner) RemoveReplica(name string) {
	removed := p.replicas[name]
	if removed == nil {
		return
	}
	p.clearOrder(removed)
	p.unindex(removed)
	delete(p.replicas, name)
}

// clearOrder removes the order in progress of a replica, if any.
func (p *Planner) clearOrder(one *replica) {
	if one.order.ID == 0 {
		return
	}
	if one.order.Kind == Stage {
		p.stagesInFlight--
	}
	delete(p.orders, one.order.ID)
	one.order = Order{}
}

// Report processes the status that a replica reports. Reports of unknown replicas are ignored. It returns false if an
// order in progress or a recent answer takes precedence, so that the same report may count later.
func (p *Planner) Report(now time.Duration, name string, report Report) (counts bool) {
	one := p.replicas[name]
	if one == nil {
		return true
	}
	defer p.index(one)
	if one.order.ID != 0 {
		one.refusing = one.refusing && report.RefusesWork // once it no longer refuses work, its swap costs capacity
		return false
	}
	if one.hasAnswer && now < one.answeredAt+p.config.ReportGrace && report.Version.Number != p.target.Number {
		return false
	}
	one.hasReported, one.serving, one.refusing = true, report.Version.Number, report.RefusesWork
	if report.Staged == 0 {
		one.staged = 0
	} else if report.Staged != one.staged {
		one.staged, one.stagedAt = report.Staged, now+p.config.StageTime
	}
	p.updateCompletion(now, one)
	return true
}

// Answered processes the end of an order. Unknown orders are ignored.
func (p *Planner) Answered(now time.Duration, id uint64, answer Answer) {
	one := p.orders[id]
	if one == nil {
		return
	}
	order := one.order
	p.clearOrder(one)
	defer p.index(one)
	switch answer.Outcome {
	case Done:
		p.completeOrder(now, one, order, answer.Serving)
	case Throttled:
		p.counters.Throttled++
		p.reduceStageLimit(now)
		p.stagePausedUntil = max(p.stagePausedUntil, now+answer.RetryAfter)
		one.retryAt = now + answer.RetryAfter
	default:
		p.recordFailure(now, one)
	}
}

// completeOrder processes an order that was answered as done.
func (p *Planner) completeOrder(now time.Duration, one *replica, order Order, serving uint64) {
	one.hasReported, one.hasAnswer, one.answeredAt, one.serving = true, true, now, serving
	if order.Kind == Stage {
		one.staged, one.stagedAt = order.Version.Number, now+p.config.StageTime
		one.failures = 0
		p.stageLimit = min(p.stageLimit+1, max(len(p.replicas), p.config.MinStageLimit))
		return
	}
	one.staged = 0
	if serving != order.Version.Number {
		one.hasAnswer = false // the state is uncertain, so the next report decides
		p.recordFailure(now, one)
		return
	}
	one.refusing, one.failures = false, 0
	p.counters.Swaps++
	p.updateSwapTime(now - one.orderedAt)
	p.updateCompletion(now, one)
}

// reduceStageLimit halves the limit of stage orders, once per pause that the weight store asks for.
func (p *Planner) reduceStageLimit(now time.Duration) {
	if now >= p.stagePausedUntil {
		p.stageLimit = max(p.stageLimit/2, p.config.MinStageLimit)
	}
}

// updateSwapTime updates the smoothed swap time. It rises at once and falls slowly.
func (p *Planner) updateSwapTime(duration time.Duration) {
	if duration > p.swapTime {
		p.swapTime = duration
		return
	}
	p.swapTime -= (p.swapTime - duration) / 8
}

// recordFailure pauses a replica after a failed order. The pause doubles with each failure in a row.
func (p *Planner) recordFailure(now time.Duration, one *replica) {
	p.counters.Failures++
	pause := p.config.MinRetryPause << min(one.failures, 16)
	one.failures++
	one.retryAt = now + min(pause, p.config.MaxRetryPause)
	one.staged = 0
}

// updateCompletion records that a replica serves the target, and whether this completes the wave.
func (p *Planner) updateCompletion(now time.Duration, one *replica) {
	if !p.servesTarget(one) {
		return
	}
	one.highestServed = p.target.Number
	p.index(one)
	if p.complete || p.counts.serving < len(p.replicas) {
		return
	}
	p.complete = true
	p.lastDuration = now - p.releasedAt
	p.counters.Waves++
}

// servesTarget reports whether a replica is known to serve the target and accepts work.
func (p *Planner) servesTarget(one *replica) bool {
	return one.hasReported && !one.refusing && p.target.Name != "" && one.serving == p.target.Number
}

// Next returns the orders to send now, and counts them as in progress.
func (p *Planner) Next(now time.Duration) []Order {
	if p.target.Name == "" {
		return nil
	}
	var orders []Order
	available := p.availableSwaps()
	candidates := p.waiting.Root().Iterator()
	for _, one, more := candidates.Next(); more; _, one, more = candidates.Next() {
		if p.config.Unstaged && available <= 0 && p.counts.refusing == 0 {
			break // no other replica can get an order
		}
		if now < one.retryAt {
			continue
		}
		switch {
		case one.refusing:
			orders = append(orders, p.issueOrder(now, one, Swap)) // it serves no requests, so the swap costs no capacity
		case p.isReady(now, one):
			if available > 0 {
				available--
				orders = append(orders, p.issueOrder(now, one, Swap))
			}
		case one.staged != p.target.Number && p.stagesInFlight < p.stageLimit && now >= p.stagePausedUntil:
			orders = append(orders, p.issueOrder(now, one, Stage))
		}
	}
	return orders
}

// isReady reports whether a replica can swap at once.
func (p *Planner) isReady(now time.Duration, one *replica) bool {
	return p.config.Unstaged || one.staged == p.target.Number && now >= one.stagedAt
}

// SetMaxConcurrentSwaps replaces Config.MaxConcurrentSwaps. Swaps in progress continue.
func (p *Planner) SetMaxConcurrentSwaps(count int) { p.config.MaxConcurrentSwaps = count }

// availableSwaps returns the number of further replicas that may be taken out of service for a swap. Replicas that
// are swapping or refuse work count against the limit.
func (p *Planner) availableSwaps() int {
	if p.swapTime > 0 && p.swapTime <= p.config.QuickSwap {
		return len(p.replicas)
	}
	available := max(1, int(float64(len(p.replicas))*p.config.SwapShare))
	if p.config.MaxConcurrentSwaps > 0 {
		available = p.config.MaxConcurrentSwaps
	}
	available -= p.counts.out
	if available <= 0 && p.counts.swapping == 0 {
		return 1 // the replicas that refuse work may never come back, so the others swap one at a time
	}
	return available
}

// issueOrder creates an order for a replica and counts it as in progress.
func (p *Planner) issueOrder(now time.Duration, one *replica, kind Kind) Order {
	p.lastOrder++
	one.order = Order{ID: p.lastOrder, Replica: one.name, Version: p.target, Kind: kind}
	one.orderedAt = now
	p.orders[p.lastOrder] = one
	if kind == Stage {
		p.stagesInFlight++
		p.counters.StageOrders++
	}
	if one.highestServed == p.target.Number && one.highestServed > 0 {
		p.counters.Repairs++
	}
	p.index(one)
	return one.order
}

// Target returns the version that all replicas are to serve. Its name is empty before the first release.
func (p *Planner) Target() Version { return p.target }

// Status returns the state of the wave.
func (p *Planner) Status() Status {
	return Status{Target: p.target, Replicas: len(p.replicas), Serving: p.counts.serving, LastDuration: p.lastDuration, Counters: p.counters}
}
