package poisonguard

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/poison"
)

// maximumRecordWait bounds how long a run waits until observed crashes are on record. Most elections end within this
// time, and so does a lease that is not renewed.
const maximumRecordWait = time.Second

func (g *Guard) hasNoSuspects() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.book.Empty()
}

// judge returns the permission of the run's request now. changed is closed when the permission may have changed. A
// suspect that may run without a claim rests while a crash observed here is not on record, unless no suspects may be
// recorded.
func (r *Run) judge() (judged poison.Judgment, changed <-chan struct{}) {
	g := r.guard
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if r.owed {
		judged = g.book.JudgeOwed(g.config.Clock(), r.digest, g.countServing(r.pool))
	} else {
		judged = g.book.Judge(g.config.Clock(), r.digest, false)
	}
	if judged.Permission == poison.Isolated && judged.Unrecorded && g.canRecord(g.view) {
		judged.Permission, judged.Remaining = poison.Blocked, poison.UnrecordedRest
	}
	return judged, g.changed
}

// countServing returns the number of serving back ends of a pool; 0 if the pool is not known. The caller holds the mutex.
func (g *Guard) countServing(pool string) (serving int) {
	if g.view == nil {
		return 0
	}
	for _, row := range g.view.Backends(pool) {
		if row.Serving() {
			serving++
		}
	}
	return serving
}

// judgeRecorded is like judge, but if the request rests only because crashes observed here are not on record, it waits
// until they are, for maximumRecordWait at most.
func (r *Run) judgeRecorded(ctx context.Context) poison.Judgment {
	judged, changed := r.judge()
	if judged.Permission != poison.Blocked || !judged.Unrecorded || judged.Remaining > poison.UnrecordedRest {
		return judged // the record would not permit the run yet
	}
	limit := time.NewTimer(maximumRecordWait)
	defer limit.Stop()
	for judged.Permission == poison.Blocked && judged.Unrecorded {
		select {
		case <-changed:
		case <-limit.C:
			return judged
		case <-ctx.Done():
			return judged
		}
		judged, changed = r.judge()
	}
	return judged
}

// notifyChanged wakes the runs that wait for the record. The caller holds the mutex.
func (g *Guard) notifyChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}
