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

// judge returns the permission of a request now. changed is closed when the permission may have changed. A suspect that
// may run without a claim rests while a crash observed here is not on record, unless no suspects may be recorded.
func (g *Guard) judge(digest poison.Digest, owed bool) (judged poison.Judgment, changed <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	judged = g.book.Judge(g.config.Clock(), digest, owed)
	if judged.Permission == poison.Isolated && judged.Unrecorded && g.canRecord(g.view) {
		judged.Permission, judged.Remaining = poison.Blocked, poison.UnrecordedRest
	}
	return judged, g.changed
}

// judgeRecorded is like judge, but if the request rests only because crashes observed here are not on record, it waits
// until they are, for maximumRecordWait at most.
func (g *Guard) judgeRecorded(ctx context.Context, digest poison.Digest, owed bool) poison.Judgment {
	judged, changed := g.judge(digest, owed)
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
		judged, changed = g.judge(digest, owed)
	}
	return judged
}

// notifyChanged wakes the runs that wait for the record. The caller holds the mutex.
func (g *Guard) notifyChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}
