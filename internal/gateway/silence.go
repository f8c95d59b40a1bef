package gateway

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/dispatch"
)

// resumeTimeout bounds the wait for the header of a resumed stream. An engine that still holds the stream answers
// at once, and a hanging engine must not delay the stream.
const resumeTimeout = 2 * time.Second

// recordUnansweredPoll records that a back end did not answer a load poll. If the back end is silent and another
// one can take its requests, its repeatable requests are moved. Other requests may still get their answer and are
// left alone.
func (p *pool) recordUnansweredPoll(now time.Duration, name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas.RecordMissedPoll(name)
	if i := p.replicas.Index(name); i < 0 || !p.replicas.IsSilent(i) || !p.replicas.HasAlternative(name, now) {
		return
	}
	for _, x := range p.exchanges {
		if at := x.backendName.Load(); at != nil && *at == name {
			x.abandonBackend()
		}
	}
}

// abandonBackend interrupts the wait for a back end that has stopped responding. The pool calls it.
func (x *exchange) abandonBackend() {
	if !x.call.repeatable || !x.call.isBuffered() || x.notReplayable.Load() {
		return
	}
	x.abandoned.Store(true)
	x.upstreamMutex.Lock()
	defer x.upstreamMutex.Unlock()
	if x.upstream != nil {
		_ = x.upstream.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// setHeaderTimeout bounds the wait for the header of a resumed stream, within the request's deadline.
func (x *exchange) setHeaderTimeout(up *upstream, kind dispatch.ActionKind) {
	if kind != dispatch.Resume {
		return
	}
	limit := time.Now().Add(resumeTimeout)
	if x.wallDeadline.Before(limit) {
		limit = x.wallDeadline
	}
	x.setReadDeadline(up, limit)
}

// clearHeaderTimeout restores the request's deadline after the header of a resumed stream has arrived.
func (x *exchange) clearHeaderTimeout(up *upstream, kind dispatch.ActionKind) {
	if kind == dispatch.Resume {
		x.setReadDeadline(up, x.wallDeadline)
	}
}

// setReadDeadline changes the read deadline unless the wait was interrupted.
func (x *exchange) setReadDeadline(up *upstream, limit time.Time) {
	x.upstreamMutex.Lock()
	defer x.upstreamMutex.Unlock()
	if !x.preempted.Load() && !x.abandoned.Load() {
		_ = up.conn.SetReadDeadline(limit)
	}
}
