package logging

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// reportInterval is the minimum time between two reports of dropped lines.
const reportInterval = 5 * time.Second

// limits limits the rate of lines of each kind of event. It is not safe for concurrent use.
type limits struct {
	kinds         map[string]*kindLimit
	dropped       uint64 // lines dropped since the start because of the rates
	reportedDrops uint64 // all dropped lines, of both reasons, in the last report
	reportedAt    time.Time
}

// kindLimit limits the rate of one kind of event.
type kindLimit struct {
	limiter *rate.Limiter
	dropped uint64 // lines dropped since the start
}

// allow reports whether a line may be written at the given time. It counts the lines that may not.
func (l *limits) allow(name string, perSecond int, now time.Time) bool {
	kind := l.kinds[name]
	if kind == nil {
		kind = &kindLimit{limiter: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond)}
		l.kinds[name] = kind
	}
	if kind.limiter.AllowN(now, 1) {
		return true
	}
	kind.dropped++
	l.dropped++
	return false
}

// LinesLeftOut reports how many lines of a process's log were dropped. It counts from the start of the process, because a
// report may get lost as well.
type LinesLeftOut struct {
	// ByRate counts the lines above their kind's rate limit, by the name of their event.
	ByRate map[string]uint64 `json:"by_rate,omitempty" doc:"number of lines dropped since the start because they exceeded the rate limit of their kind, by event"`
	// ByQueue counts the lines that were dropped because the Sink's queue was full.
	ByQueue uint64 `json:"by_queue,omitempty" doc:"number of lines dropped since the start because the writer's queue was full"`
}

var linesLeftOutKind = Kind{Name: "lines_left_out", Level: logrus.WarnLevel, PerSecond: 1}

// Kind implements Event.
func (*LinesLeftOut) Kind() *Kind { return &linesLeftOutKind }

// newReport returns an event with the numbers of dropped lines. It returns nil if no lines were dropped, and, unless final
// is set, also if none were dropped since the last report or that report is too recent.
func (l *limits) newReport(now time.Time, droppedByQueue uint64, final bool) Event {
	total := l.dropped + droppedByQueue
	if total == 0 || !final && (total == l.reportedDrops || now.Sub(l.reportedAt) < reportInterval) {
		return nil
	}
	event := &LinesLeftOut{ByRate: map[string]uint64{}, ByQueue: droppedByQueue}
	for name, kind := range l.kinds {
		if kind.dropped > 0 {
			event.ByRate[name] = kind.dropped
		}
	}
	l.reportedDrops, l.reportedAt = total, now
	return event
}
