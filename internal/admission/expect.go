package admission

import "time"

// serviceTime estimates how long a request holds its slot. The estimate is zero until enough requests have ended, so
// that nothing is refused early on the basis of too few samples.
//
// Waits are estimated from the service time and the number of slots. The interval between the ends of requests cannot
// be used: before a burst, requests end as rarely as they arrive, so the first requests of the burst would be refused
// although they could be served.
type serviceTime struct {
	mean    time.Duration // exponential moving average
	samples int
}

const (
	smoothingDivisor  = 8 // each new sample counts one eighth
	minServiceSamples = 8 // samples before the estimate is used
)

// observe adds the service time of a request that has ended. Negative times are ignored.
func (s *serviceTime) observe(duration time.Duration) {
	if duration < 0 {
		return
	}
	s.samples++
	if s.samples == 1 {
		s.mean = duration
		return
	}
	s.mean += (duration - s.mean) / smoothingDivisor
}

// estimate returns the mean service time, or 0 while there are too few samples.
func (s *serviceTime) estimate() time.Duration {
	if s.samples < minServiceSamples {
		return 0
	}
	return s.mean
}

// slotInterval returns the expected time between two slots becoming free while all slots are in use. 0 means that it
// is not known.
func (q *Queue) slotInterval() time.Duration {
	return q.service.estimate() / time.Duration(max(q.limits.Slots, q.limits.Reach, 1))
}

// estimateAhead returns the expected number of waiting requests that are granted before a new request of the class
// rank: all more urgent ones, and those of the same class that are granted before the tenant's turn.
func (q *Queue) estimateAhead(rank int, request *Request) float64 {
	ahead := q.waiting[rank].EstimateAhead(request.owner(), request.Work, request.Retried)
	if rank > 0 {
		ahead += float64(q.countWaitingUpTo(rank - 1))
	}
	return ahead
}

// estimateWait returns the expected wait of a new request of the class rank.
func (q *Queue) estimateWait(rank int, request *Request) time.Duration {
	return time.Duration((q.estimateAhead(rank, request) + 1) * float64(q.slotInterval()))
}

// newFigures returns the figures for the refusal of a request that may wait until expiresAt.
func (q *Queue) newFigures(now time.Duration, request *Request, rank int, expiresAt time.Duration) Figures {
	return Figures{Slots: q.limits.Slots, Reach: max(q.limits.Slots, q.limits.Reach), InFlight: len(q.running), Waiting: q.queued, Ahead: q.estimateAhead(rank, request),
		Service: q.service.estimate(), ExpectedWait: q.estimateWait(rank, request), Allowed: max(expiresAt-now, 0)}
}

// retrySpreader spreads the retry times of refused requests at the rate at which slots become free. Callers that are
// refused together would otherwise retry together and be refused again.
type retrySpreader struct {
	lastRefusal time.Duration // time of the last refusal
	offset      time.Duration // added to that refusal's retry time
}

// nextOffset returns the delay to add to a refused caller's retry time, from 0 to horizon. It grows by interval with
// each refusal, and starts again at 0 beyond the horizon or when nothing was refused for that long.
func (r *retrySpreader) nextOffset(now, interval, horizon time.Duration) time.Duration {
	if now-r.lastRefusal > horizon {
		r.offset = 0
	} else {
		r.offset += interval
	}
	r.lastRefusal = now
	if r.offset > horizon {
		r.offset = 0
	}
	return r.offset
}
