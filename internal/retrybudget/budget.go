// Package retrybudget limits how many requests of a pool one gateway sends again: retries after failures, and hedges
// of slow sends. It prevents retry storms: when many back ends fail or time out at once, resending each request up to
// the limit of its route multiplies the work that made them fail, and the pool stays overloaded after the cause is
// gone. The limit is that of the retry budgets of Finagle and Envoy: a ratio of the requests that begin, plus a small
// constant rate.
//
// It differs in one point: resends because of one back end, the one that lost the most requests lately, take no
// tokens. A back end that crashes loses all its requests at once, which in a small pool is most of what is in flight,
// and the other back ends can take them. This can't become a retry storm, since a back end that fails gets almost no
// further requests (package routing).
//
// The package is pure: times are durations since an arbitrary start. A Budget is not safe for concurrent use.
package retrybudget

import "time"

const (
	// Span is the time window over which the budget counts the losses of each back end and takes the maximum of the
	// requests in flight. The present number in flight would be too low, because some lost requests may have ended by
	// the time that others are sent again. Span is longer than the first quarantine of a back end, so that its losses
	// count as one failure.
	Span = 10 * time.Second
	// intervalCount is the number of intervals into which Span is divided. Counts expire one interval, a tenth of
	// Span, at a time.
	intervalCount  = 10
	intervalLength = Span / intervalCount
)

// DefaultLimits suit most pools.
//
// Ratio: a pool at four fifths of its capacity can take a fifth more requests. Fewer than a fifth of the back ends can
// be slow or fail for long without an effect on callers.
//
// InFlight: a third of what is in flight is lost when one of three zones fails.
//
// PerSecond and Burst, one a second and ten at once: a pool with few requests may send each of them again, and
// several of a burst twice.
var DefaultLimits = Limits{Ratio: 0.2, InFlight: 1.0 / 3, PerSecond: 1, Burst: 10}

// Limits are the parameters of a Budget.
type Limits struct {
	Ratio     float64 // tokens added per request that begins
	InFlight  float64 // tokens held at most, as a part of the most requests in flight within Span
	PerSecond float64 // tokens added per second, in addition to Ratio
	Burst     float64 // tokens held at most, in addition to InFlight
}

// Budget is the retry budget of one pool at one gateway: a token bucket that is filled by requests that begin and by
// time. A sliding window over the resends would instead permit all of them at once each time that a retry storm
// leaves the window, and thus repeat the storm.
type Budget struct {
	limits          Limits
	tokens          float64 // resends permitted; below 0 after streams were resumed beyond the limit
	inFlight        int
	refilledAt      time.Duration
	ring            [intervalCount]interval
	currentInterval int64          // number of the current interval since time 0
	lost            map[string]int // sums of the lost counts of all intervals in the ring
}

// interval holds the counts of one part of Span.
type interval struct {
	maxInFlight int            // the most requests in flight
	lost        map[string]int // resends, by the back end that lost the request
}

// New returns a budget with a full bucket and no requests in flight.
func New(now time.Duration, limits Limits) *Budget {
	budget := &Budget{limits: limits, refilledAt: now, currentInterval: int64(now / intervalLength), lost: map[string]int{}}
	budget.tokens = budget.capacity()
	return budget
}

// Began counts the first send of a request.
func (b *Budget) Began(now time.Duration) {
	b.advance(now)
	b.inFlight++
	current := b.current()
	current.maxInFlight = max(current.maxInFlight, b.inFlight)
	b.addTokens(b.limits.Ratio)
}

// Ended counts the end of a request counted by Began. It is called once per request, however often the request was
// sent.
func (b *Budget) Ended() { b.inFlight-- }

// Retry reports whether a request that failed at backEnd may be sent again, and if so counts it.
func (b *Budget) Retry(now time.Duration, backEnd string) bool {
	b.advance(now)
	if !b.isExempt(backEnd) && !b.takeToken() {
		return false
	}
	b.recordLost(backEnd)
	return true
}

// Resumed counts a stream that failed at backEnd and continues at another back end. It is never rejected, because the
// rest of the stream is less work than the whole request, which its caller would send again. Unless backEnd is the one
// that lost the most requests, it takes a token that retries and hedges could use.
func (b *Budget) Resumed(now time.Duration, backEnd string) {
	b.advance(now)
	if !b.isExempt(backEnd) {
		b.tokens = max(b.tokens-1, -b.capacity())
	}
	b.recordLost(backEnd)
}

// Hedge reports whether a request whose first send is slow may be sent a second time, and if so counts it. A hedge
// always takes a token: slowness at one back end continues, and the first send may still be answered.
func (b *Budget) Hedge(now time.Duration) bool {
	b.advance(now)
	return b.takeToken()
}

// State is the state of a Budget on which its decisions are based, for logs.
type State struct {
	InFlight int     // requests in flight
	Tokens   float64 // tokens left
	Capacity float64 // capacity in tokens
}

// State returns the state on which the next decision would be based.
func (b *Budget) State(now time.Duration) State {
	b.advance(now)
	return State{InFlight: b.inFlight, Tokens: b.tokens, Capacity: b.capacity()}
}

// isExempt reports whether no other back end has lost more requests within Span. Resends for such a back end take no
// tokens.
func (b *Budget) isExempt(backEnd string) bool {
	for _, count := range b.lost {
		if count > b.lost[backEnd] {
			return false
		}
	}
	return true
}

func (b *Budget) recordLost(backEnd string) {
	current := b.current()
	if current.lost == nil {
		current.lost = map[string]int{}
	}
	current.lost[backEnd]++
	b.lost[backEnd]++
}

func (b *Budget) takeToken() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) addTokens(sends float64) { b.tokens = min(b.tokens+sends, b.capacity()) }

// capacity returns the number of tokens in a full bucket.
func (b *Budget) capacity() float64 {
	inFlight := 0
	for number := range b.ring {
		inFlight = max(inFlight, b.ring[number].maxInFlight)
	}
	return b.limits.InFlight*float64(inFlight) + b.limits.Burst
}

func (b *Budget) current() *interval { return &b.ring[b.currentInterval%intervalCount] }

// advance adds the tokens for the time since the last call and expires the intervals older than Span. A time before
// the last one is ignored.
func (b *Budget) advance(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	passed := now - b.refilledAt
	b.refilledAt = now
	at := int64(now / intervalLength)
	for number := b.currentInterval + 1; number <= min(at, b.currentInterval+intervalCount); number++ {
		b.resetInterval(&b.ring[number%intervalCount])
	}
	b.currentInterval = at
	b.addTokens(b.limits.PerSecond * passed.Seconds())
}

// resetInterval removes an expired interval's counts and starts a new one with the requests now in flight.
func (b *Budget) resetInterval(old *interval) {
	for backEnd, count := range old.lost {
		if b.lost[backEnd] -= count; b.lost[backEnd] == 0 {
			delete(b.lost, backEnd)
		}
	}
	*old = interval{maxInFlight: b.inFlight}
}
