// Package events defines every structured log event. There is one type for each decision about a request and for each
// change of a process's view of the system. A type's exported fields are the fields of its log line. Their tags hold the
// JSON name and the description that docs/operations/events.md shows. Durations are in milliseconds. Fields tagged
// omitempty are absent from the line when they are empty.
package events

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// Rate limits of the kinds of events, in lines per second of one process. A kind's limit follows from what causes it.
const (
	requestRate = 200 // each request, or each try of one
	failureRate = 100 // each request that fails
	changeRate  = 50  // each change of the process's view of the system
	rareRate    = 5   // a few times in the life of a process, or a periodic report
)

// newKind returns the properties that all events of one kind share. perSecond is the kind's rate limit.
func newKind(name string, level logrus.Level, perSecond int) logging.Kind {
	return logging.Kind{Name: name, Level: level, PerSecond: perSecond}
}

// Millis converts a duration to milliseconds for an event's field, rounded to a tenth.
func Millis(duration time.Duration) float64 {
	return float64(duration.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// Megabytes converts a size in bytes to mebibytes for an event's field, rounded down to a tenth.
func Megabytes(bytes uint64) float64 {
	const tenth = 1 << 20 / 10
	return float64(bytes/tenth) / 10
}

// ErrorText returns the text of an error for an event's field, cut to maximumErrorText. It is empty for nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	text := err.Error()
	if len(text) > maximumErrorText {
		text = text[:maximumErrorText]
	}
	return text
}

// maximumErrorText is the maximum length in bytes of an error in a log line.
const maximumErrorText = 300
