package admission

import "time"

// pace estimates how fast slots become free, from the gaps between the ends of requests while the queue is
// busy. It is zero until enough ends were seen, which refuses nothing early.
type pace struct {
	gap     time.Duration // smoothed time between two ends
	last    time.Duration
	samples int
}

const (
	paceWeight  = 8                // one new gap counts an eighth
	paceSamples = 8                // gaps before the estimate is used
	idleGap     = 10 * time.Second // a longer gap says nothing about the pace under load
)

// started notes a start; only ends measure the pace, but the first one needs a beginning.
func (p *pace) started(now time.Duration) {
	if p.last == 0 {
		p.last = now
	}
}

func (p *pace) ended(now time.Duration) {
	gap := now - p.last
	p.last = now
	if gap < 0 || gap > idleGap {
		return
	}
	p.samples++
	if p.samples == 1 {
		p.gap = gap
		return
	}
	p.gap += (gap - p.gap) / paceWeight
}

// expectedWait estimates the wait of a new request of the rank.
func (q *Queue) expectedWait(rank int) time.Duration {
	if q.pace.samples < paceSamples {
		return 0
	}
	return time.Duration(q.aheadOf(rank)+1) * q.pace.gap
}
