package wave

import (
	"cmp"
	"slices"
	"time"
)

// Planner plans the wave of one pool. It is not safe for concurrent use.
type Planner struct {
	config           Config
	target           Version
	releasedAt       time.Duration
	complete         bool // every replica has served the target
	lastDuration     time.Duration
	replicas         []*replica // sorted by name for reproducible runs
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
}

// New returns a planner of a pool without replicas or releases.
func New(config Config) *Planner {
	config = config.WithDefaults()
	return &Planner{config: config, stageLimit: config.MinStageLimit, orders: map[uint64]*replica{}}
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
	return true
}

// SetReplicas sets the replicas of the pool. Those no longer in the list are forgotten together with their orders.
func (p *Planner) SetReplicas(names []string) {
	names = slices.Sorted(slices.Values(names))
	if slices.EqualFunc(p.replicas, names, func(one *replica, name string) bool { return one.name == name }) {
		return
	}
	replicas := make([]*replica, 0, len(names))
	for _, name := range names {
		if position := p.findReplica(name); position >= 0 {
			replicas = append(replicas, p.replicas[position])
			continue
		}
		replicas = append(replicas, &replica{name: name})
		p.complete = false
	}
	for _, one := range p.replicas {
		if _, listed := slices.BinarySearch(names, one.name); !listed {
			p.clearOrder(one)
		}
	}
	p.replicas = replicas
}

func compare(first, second string) int {
	switch {
	case first < second:
		return -1
	case first > second:
		return 1
	}
	return 0
}

// findReplica returns the index of a replica, or -1 if the pool has none of that name.
func (p *Planner) findReplica(name string) int {
	position, exists := slices.BinarySearchFunc(p.replicas, name, func(one *replica, name string) int {
		return compare(one.name, name)
	})
	if !exists {
		return -1
	}
	return position
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

// Report processes the status that a replica reports. Reports of unknown replicas are ignored.
func (p *Planner) Report(now time.Duration, name string, report Report) {
	position := p.findReplica(name)
	if position < 0 {
		return
	}
	one := p.replicas[position]
	if one.order.ID != 0 {
		one.refusing = one.refusing && report.RefusesWork // once it no longer refuses work, its swap costs capacity
		return
	}
	if one.hasAnswer && now < one.answeredAt+p.config.ReportGrace && report.Version.Number != p.target.Number {
		return
	}
	one.hasReported, one.serving, one.refusing = true, report.Version.Number, report.RefusesWork
	if report.Staged == 0 {
		one.staged = 0
	} else if report.Staged != one.staged {
		one.staged, one.stagedAt = report.Staged, now+p.config.StageTime
	}
	p.updateCompletion(now, one)
}

// Answered processes the end of an order. Unknown orders are ignored.
func (p *Planner) Answered(now time.Duration, id uint64, answer Answer) {
	one := p.orders[id]
	if one == nil {
		return
	}
	order := one.order
	p.clearOrder(one)
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
	if p.complete || slices.ContainsFunc(p.replicas, func(other *replica) bool { return !p.servesTarget(other) }) {
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
	for _, one := range p.replicasInOrder() {
		if one.order.ID != 0 || p.servesTarget(one) || now < one.retryAt {
			continue
		}
		switch {
		case one.refusing:
			orders = append(orders, p.issueOrder(now, one, Swap)) // it serves no requests, so the swap costs no capacity
		case one.staged == p.target.Number && now >= one.stagedAt:
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

// replicasInOrder returns the replicas in the order in which they get orders.
func (p *Planner) replicasInOrder() []*replica {
	if !p.config.OldestFirst {
		return p.replicas
	}
	ordered := slices.Clone(p.replicas)
	slices.SortStableFunc(ordered, func(first, second *replica) int { return cmp.Compare(first.serving, second.serving) })
	return ordered
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
	for _, one := range p.replicas {
		if one.order.Kind == Swap || one.refusing {
			available--
		}
	}
	if available <= 0 && !p.isSwapping() {
		return 1 // the replicas that refuse work may never come back, so the others swap one at a time
	}
	return available
}

// isSwapping reports whether a replica that accepts work is being swapped.
func (p *Planner) isSwapping() bool {
	return slices.ContainsFunc(p.replicas, func(one *replica) bool { return one.order.Kind == Swap && !one.refusing })
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
	return one.order
}

// Target returns the version that all replicas are to serve. Its name is empty before the first release.
func (p *Planner) Target() Version { return p.target }

// Status returns the state of the wave.
func (p *Planner) Status() Status {
	status := Status{Target: p.target, Replicas: len(p.replicas), LastDuration: p.lastDuration, Counters: p.counters}
	for _, one := range p.replicas {
		if p.servesTarget(one) {
			status.Serving++
		}
	}
	return status
}
