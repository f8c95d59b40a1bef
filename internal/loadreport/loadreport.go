// Package loadreport defines a replica's report of its own load, which arrives with an answer, with a refusal, or in
// reply to a health check.
//
// The package is pure: times are durations since an arbitrary start.
package loadreport

import "time"

// Report is a replica's load at one moment, counted over all of its callers.
type Report struct {
	Running int // requests being processed
	Waiting int // requests waiting in its queue
	Slots   int // limit on the requests processed at a time
	// Pace is how long work takes at the replica at the moment, as a multiple of the usual time: 1 is the usual time,
	// 2.5 two and a half times as long. 0 means that the replica does not report it. It depends on what else runs on
	// the replica's machine and may change within a second.
	Pace float64
}

// Source is the kind of message with which a report arrived.
type Source uint8

// Sources of reports.
const (
	FromAnswer  Source = iota // the answer to a request that ran
	FromRefusal               // the refusal of a request, which did not run
	FromHealth                // the reply to a health check, which is an additional request
)

// String returns the source's name for logs.
func (s Source) String() string {
	return [...]string{FromAnswer: "answer", FromRefusal: "refusal", FromHealth: "health"}[s]
}

// Observation is a report with the time and the source of its arrival. The report describes the replica as it was
// when it wrote the head of the answer. Seen is when the answer arrived, somewhat later.
type Observation struct {
	Report
	Seen   time.Duration
	Source Source
}

// Age returns the time since the report arrived, or 0 if now is before that.
func (s Observation) Age(now time.Duration) time.Duration { return max(now-s.Seen, 0) }
