package logging

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// reportInterval is the least time between two lines that say what was left out.
const reportInterval = 5 * time.Second

// limits bounds the lines of each kind of event. It is not safe for concurrent use.
type limits struct {
	kinds    map[string]*kindLimit
	left     uint64 // lines above the rates since the start
	told     uint64 // lines that the last report counted in all
	reported time.Time
}

// kindLimit is the rate of one kind.
type kindLimit struct {
	limiter *rate.Limiter
	left    uint64 // since the start
}

// allow tells whether a line may be written at a time; one that may not is counted.
func (l *limits) allow(name string, perSecond int, now time.Time) bool {
	kind := l.kinds[name]
	if kind == nil {
		kind = &kindLimit{limiter: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond)}
		l.kinds[name] = kind
	}
	if kind.limiter.AllowN(now, 1) {
		return true
	}
	kind.left++
	l.left++
	return false
}

// LinesLeftOut says what is missing in a process's log since its start: a report may get lost as well.
type LinesLeftOut struct {
	// ByRate counts lines by the name of their event.
	ByRate map[string]uint64 `json:"by_rate,omitempty" doc:"lines above their kind's rate, by event"`
	// ByQueue counts lines that found the queue full.
	ByQueue uint64 `json:"by_queue,omitempty" doc:"lines that found the writer's queue full"`
}

var linesLeftOutKind = Kind{Name: "lines_left_out", Level: logrus.WarnLevel, PerSecond: 1}

// Kind implements Event.
func (*LinesLeftOut) Kind() *Kind { return &linesLeftOutKind }

// report returns what was left out; nil if nothing was since the last report, or that one is too recent.
func (l *limits) report(now time.Time, lost uint64, last bool) Event {
	all := l.left + lost
	if all == 0 || !last && (all == l.told || now.Sub(l.reported) < reportInterval) {
		return nil
	}
	event := &LinesLeftOut{ByRate: map[string]uint64{}, ByQueue: lost}
	for name, kind := range l.kinds {
		if kind.left > 0 {
			event.ByRate[name] = kind.left
		}
	}
	l.told, l.reported = all, now
	return event
}
