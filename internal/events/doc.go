// Package events lists every structured log event: one type for each decision that touches a request and for each
// change of what a process believes. A type's exported fields are the fields of its line; their tags hold the JSON
// name and the description that docs/operations/events.md shows. Times are in milliseconds. An empty field is left
// out of the line.
package events

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// Lines per second of one process, by how often a kind of event comes.
const (
	perRequest = 200 // with each request, or each try of one
	perFailure = 100 // with each request that fails
	perChange  = 50  // when a belief changes
	perStart   = 5   // a few times in a process's life
)

func kind(name string, level logrus.Level, perSecond int) logging.Kind {
	return logging.Kind{Name: name, Level: level, PerSecond: perSecond}
}

// Millis is a duration as events hold it.
func Millis(duration time.Duration) float64 {
	return float64(duration.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// Megabytes is a size as events hold it, rounded to a tenth of a megabyte.
func Megabytes(bytes uint64) float64 {
	const tenth = 1 << 20 / 10
	return float64(bytes/tenth) / 10
}

// ErrorText is an error as events hold it; empty for nil.
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

// maximumErrorText bounds an error in a line.
const maximumErrorText = 300
