package wave

import (
	"cmp"
	"slices"
	"time"
)

// Planner keeps one pool's wave. It is not safe for concurrent use.
type Planner struct {
	config     Config
	target     Version
	releasedAt time.Duration
	complete   bool // every replica has served the target
	lasted     time.Duration
	replicas   []*replica // sorted by name, so that runs can be repeated
	orders     map[uint64]*replica
	lastOrder  uint64
	staging    int // stage orders under way
	window     int // most stage orders under way, learned
	stagePause time.Duration
	swapTime   time.Duration // learned; 0 when unknown
	counters   Counters
}

// replica is what is known of one replica.
type replica struct {
	name      string
	known     bool // it has reported or answered
	serving   uint64
	refusing  bool
	staged    uint64
	stagedAt  time.Duration // when the staged version is expected to be ready
	reached   uint64        // highest target that it was seen to serve
	order     Order         // under way; ID 0 when none
	orderedAt time.Duration
	answered  time.Duration // time of the last answer
	hasAnswer bool
	notBefore time.Duration
	failures  int
}

// New returns a planner of a pool without a release.
func New(config Config) *Planner {
	config = config.WithDefaults()
	return &Planner{config: config, window: config.StageTogether, orders: map[uint64]*replica{}}
}

// Release makes a version the one that all replicas are to serve. It is false for a number that is not
// above the present target's.
func (p *Planner) Release(now time.Duration, version Version) bool {
	if version.Number <= p.target.Number && p.target.Name != "" {
		return false
	}
	p.target, p.releasedAt, p.complete = version, now, false
	for _, one := range p.replicas {
		one.failures, one.notBefore = 0, 0
	}
	return true
}

// SetReplicas tells which replicas the pool has now. One that is gone is forgotten, with its order.
func (p *Planner) SetReplicas(names []string) {
	names = slices.Sorted(slices.Values(names))
	if slices.EqualFunc(p.replicas, names, func(one *replica, name string) bool { return one.name == name }) {
		return
	}
	kept := make([]*replica, 0, len(names))
	for _, name := range names {
		if position := p.position(name); position >= 0 {
			kept = append(kept, p.replicas[position])
			continue
		}
		kept = append(kept, &replica{name: name})
		p.complete = false
	}
	for _, one := range p.replicas {
		if _, listed := slices.BinarySearch(names, one.name); !listed {
			p.release(one)
		}
	}
	p.replicas = kept
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

func (p *Planner) position(name string) int {
	position, exists := slices.BinarySearchFunc(p.replicas, name, func(one *replica, name string) int {
		return compare(one.name, name)
	})
	if !exists {
		return -1
	}
	return position
}

// release ends a replica's order.
func (p *Planner) release(one *replica) {
	if one.order.ID == 0 {
		return
	}
	if one.order.Kind == Stage {
		p.staging--
	}
	delete(p.orders, one.order.ID)
	one.order = Order{}
}

// Report takes a replica's own account of itself.
func (p *Planner) Report(now time.Duration, name string, report Report) {
	position := p.position(name)
	if position < 0 {
		return
	}
	one := p.replicas[position]
	if one.order.ID != 0 {
		one.refusing = one.refusing && report.Refusing // from now on its order costs capacity
		return
	}
	if one.hasAnswer && now < one.answered+p.config.ReportGrace && report.Version.Number != p.target.Number {
		return
	}
	one.known, one.serving, one.refusing = true, report.Version.Number, report.Refusing
	if report.Staged == 0 {
		one.staged = 0
	} else if report.Staged != one.staged {
		one.staged, one.stagedAt = report.Staged, now+p.config.StageTime
	}
	p.settle(now, one)
}

// Answered takes the end of an order. An unknown order is ignored.
func (p *Planner) Answered(now time.Duration, id uint64, answer Answer) {
	one := p.orders[id]
	if one == nil {
		return
	}
	order := one.order
	p.release(one)
	switch answer.Outcome {
	case Done:
		p.done(now, one, order, answer.Serving)
	case Throttled:
		p.counters.Throttled++
		p.narrow(now)
		p.stagePause = max(p.stagePause, now+answer.RetryAfter)
		one.notBefore = now + answer.RetryAfter
	default:
		p.failed(now, one)
	}
}

func (p *Planner) done(now time.Duration, one *replica, order Order, serving uint64) {
	one.known, one.hasAnswer, one.answered, one.serving = true, true, now, serving
	if order.Kind == Stage {
		one.staged, one.stagedAt = order.Version.Number, now+p.config.StageTime
		one.failures = 0
		p.window = min(p.window+1, max(len(p.replicas), p.config.StageTogether))
		return
	}
	one.staged = 0
	if serving != order.Version.Number {
		one.hasAnswer = false // nothing is known for sure: the next report counts
		p.failed(now, one)
		return
	}
	one.refusing, one.failures = false, 0
	p.counters.Swaps++
	p.learnSwap(now - one.orderedAt)
	p.settle(now, one)
}

// narrow halves the number of stage orders under way, once per pause of the store.
func (p *Planner) narrow(now time.Duration) {
	if now >= p.stagePause {
		p.window = max(p.window/2, p.config.StageTogether)
	}
}

// learnSwap follows the swap time: quickly up, slowly down.
func (p *Planner) learnSwap(lasted time.Duration) {
	if lasted > p.swapTime {
		p.swapTime = lasted
		return
	}
	p.swapTime -= (p.swapTime - lasted) / 8
}

func (p *Planner) failed(now time.Duration, one *replica) {
	p.counters.Failures++
	pause := p.config.RetryFirst << min(one.failures, 16)
	one.failures++
	one.notBefore = now + min(pause, p.config.RetryMost)
	one.staged = 0
}

// settle notes what a replica serves, and whether the wave is whole.
func (p *Planner) settle(now time.Duration, one *replica) {
	if !p.serves(one) {
		return
	}
	one.reached = p.target.Number
	if p.complete || slices.ContainsFunc(p.replicas, func(other *replica) bool { return !p.serves(other) }) {
		return
	}
	p.complete = true
	p.lasted = now - p.releasedAt
	p.counters.Waves++
}

func (p *Planner) serves(one *replica) bool {
	return one.known && !one.refusing && p.target.Name != "" && one.serving == p.target.Number
}

// Next returns the orders to send now.
func (p *Planner) Next(now time.Duration) []Order {
	if p.target.Name == "" {
		return nil
	}
	var orders []Order
	places := p.swapPlaces()
	for _, one := range p.inOrder() {
		if one.order.ID != 0 || p.serves(one) || now < one.notBefore {
			continue
		}
		switch {
		case one.refusing:
			orders = append(orders, p.order(now, one, Swap)) // it serves nothing: a swap costs no capacity
		case one.staged == p.target.Number && now >= one.stagedAt:
			if places > 0 {
				places--
				orders = append(orders, p.order(now, one, Swap))
			}
		case one.staged != p.target.Number && p.staging < p.window && now >= p.stagePause:
			orders = append(orders, p.order(now, one, Stage))
		}
	}
	return orders
}

// inOrder returns the replicas in the order in which they get their orders.
func (p *Planner) inOrder() []*replica {
	if !p.config.OldestFirst {
		return p.replicas
	}
	ordered := slices.Clone(p.replicas)
	slices.SortStableFunc(ordered, func(first, second *replica) int { return cmp.Compare(first.serving, second.serving) })
	return ordered
}

// SetSwapTogether replaces Config.SwapTogether; swaps under way go on.
func (p *Planner) SetSwapTogether(count int) { p.config.SwapTogether = count }

// swapPlaces is how many more replicas may go out for a swap: those that are out already, by a swap or
// because they take no work, count.
func (p *Planner) swapPlaces() int {
	if p.swapTime > 0 && p.swapTime <= p.config.QuickSwap {
		return len(p.replicas)
	}
	places := max(1, int(float64(len(p.replicas))*p.config.SwapShare))
	if p.config.SwapTogether > 0 {
		places = p.config.SwapTogether
	}
	for _, one := range p.replicas {
		if one.order.Kind == Swap || one.refusing {
			places--
		}
	}
	if places <= 0 && !p.swapping() {
		return 1 // the others are out for good: go on one by one
	}
	return places
}

func (p *Planner) swapping() bool {
	return slices.ContainsFunc(p.replicas, func(one *replica) bool { return one.order.Kind == Swap && !one.refusing })
}

func (p *Planner) order(now time.Duration, one *replica, kind Kind) Order {
	p.lastOrder++
	one.order = Order{ID: p.lastOrder, Replica: one.name, Version: p.target, Kind: kind}
	one.orderedAt = now
	p.orders[p.lastOrder] = one
	if kind == Stage {
		p.staging++
		p.counters.StageOrders++
	}
	if one.reached == p.target.Number && one.reached > 0 {
		p.counters.Repairs++
	}
	return one.order
}

// Target returns the version that all replicas are to serve; its name is empty before the first release.
func (p *Planner) Target() Version { return p.target }

// Status returns the state of the wave.
func (p *Planner) Status() Status {
	status := Status{Target: p.target, Replicas: len(p.replicas), Lasted: p.lasted, Counters: p.counters}
	for _, one := range p.replicas {
		if p.serves(one) {
			status.Serving++
		}
	}
	return status
}
