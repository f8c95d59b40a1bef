package forward

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/poison"
)

const (
	// maxRejectedRequests bounds the number of rejected requests that a pool remembers.
	maxRejectedRequests = 4096
	// rejectedRetryGrace is how long after its RetryAfter a rejected request may return and still be
	// recognized. Callers return on a new connection, which may take a second to open.
	rejectedRetryGrace = time.Second
)

// rejectedRequests remembers the requests that a pool's queue rejected at this process, so that they are admitted
// before new ones when they return. A returning request has another id, so it is recognized by the digest of its
// content. Each rejection is used once: a request that is rejected again waits behind the others of its tenant the next
// time.
type rejectedRequests struct {
	expiry map[poison.Digest]time.Duration
}

// add records a rejected request that may return within the given time.
func (r *rejectedRequests) add(now time.Duration, digest poison.Digest, within time.Duration) {
	if len(r.expiry) >= maxRejectedRequests {
		r.dropExpired(now)
	}
	if len(r.expiry) >= maxRejectedRequests {
		return
	}
	if r.expiry == nil {
		r.expiry = map[poison.Digest]time.Duration{}
	}
	r.expiry[digest] = now + within + rejectedRetryGrace
}

// dropExpired removes the requests that are no longer expected to return.
func (r *rejectedRequests) dropExpired(now time.Duration) {
	for digest, until := range r.expiry {
		if until < now {
			delete(r.expiry, digest)
		}
	}
}

// take reports whether the request was rejected before, and removes it.
func (r *rejectedRequests) take(now time.Duration, digest poison.Digest) bool {
	until, known := r.expiry[digest]
	delete(r.expiry, digest)
	return known && now <= until
}

// noteRejected records a request that the pool's queue rejected.
func (p *pool) noteRejected(now time.Duration, digest poison.Digest, within time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejected.add(now, digest, within)
}

// takeRejected reports whether the pool's queue rejected the request before, and removes it. It computes the digest
// only if the pool remembers any rejected requests.
func (p *pool) takeRejected(now time.Duration, digest func() poison.Digest) bool {
	if !p.hasRejected(now) {
		return false
	}
	known := digest()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejected.take(now, known)
}

// hasRejected reports whether the pool remembers rejected requests that may return.
func (p *pool) hasRejected(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rejected.expiry) == 0 {
		return false
	}
	if p.queue.Waiting() == 0 {
		p.rejected.dropExpired(now) // the overload has passed
	}
	return len(p.rejected.expiry) > 0
}
