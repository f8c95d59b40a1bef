package gateway

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/dispatch"
)

// resumeTimeout bounds the wait for the header of a resumed stream. An engine that still has the stream
// answers at once; one that hangs must not hold the stream back.
const resumeTimeout = 2 * time.Second

// unanswered notes that a back end did not answer a load poll. While it is silent and another back end can
// take them, the repeatable requests that wait for it are moved; the others may still get their answer.
func (p *pool) unanswered(now time.Duration, name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas.Unanswered(name)
	if i := p.replicas.Index(name); i < 0 || !p.replicas.Silent(i) || !p.replicas.Spare(name, now) {
		return
	}
	for _, x := range p.exchanges {
		if at := x.at.Load(); at != nil && *at == name {
			x.abandonBackend()
		}
	}
}

// abandonBackend interrupts the wait for a back end that answers nothing any more. The pool calls it.
func (x *exchange) abandonBackend() {
	if !x.call.repeatable || !x.call.whole() || x.pinned.Load() {
		return
	}
	x.abandoned.Store(true)
	x.upMutex.Lock()
	defer x.upMutex.Unlock()
	if x.up != nil {
		_ = x.up.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// setHeaderLimit bounds the wait for a resume's header, within the request's deadline.
func (x *exchange) setHeaderLimit(up *upstream, kind dispatch.ActionKind) {
	if kind != dispatch.Resume {
		return
	}
	limit := time.Now().Add(resumeTimeout)
	if x.wallLimit.Before(limit) {
		limit = x.wallLimit
	}
	x.setReadLimit(up, limit)
}

// liftHeaderLimit gives a resumed stream the rest of the request's time.
func (x *exchange) liftHeaderLimit(up *upstream, kind dispatch.ActionKind) {
	if kind == dispatch.Resume {
		x.setReadLimit(up, x.wallLimit)
	}
}

// setReadLimit changes the read deadline unless the wait was interrupted.
func (x *exchange) setReadLimit(up *upstream, limit time.Time) {
	x.upMutex.Lock()
	defer x.upMutex.Unlock()
	if !x.yield.Load() && !x.abandoned.Load() {
		_ = up.conn.SetReadDeadline(limit)
	}
}
