package logging

import "github.com/sirupsen/logrus"

// Names of fields of a logrus entry, or of a line. They are reserved: no field of an event has one of these names.
const (
	partField    = "part"
	messageField = "text"
	// eventField is the key of the Event in a logrus entry.
	eventField = "event"
)

// Kind holds the properties that all events of one kind share.
type Kind struct {
	// Name is the event's name in log lines, such as "request_failed".
	Name string
	// Level is the log level of the lines.
	Level logrus.Level
	// PerSecond is the maximum rate in lines per second. A burst may have twice as many lines.
	PerSecond int
}

// Event describes one decision about a request, or one change of the process's view of the system. Its exported fields
// are, under their JSON names, the fields of its log line.
type Event interface {
	Kind() *Kind
}

// Emit logs an event. The line is dropped if the log level excludes it or the rate limit of its kind is exceeded. Emit never
// blocks if the logger writes to a Sink.
func Emit(log *logrus.Entry, event Event) {
	kind := event.Kind()
	if !log.Logger.IsLevelEnabled(kind.Level) {
		return
	}
	log.WithField(eventField, event).Log(kind.Level, kind.Name)
}

// IsEnabled reports whether the log level includes events of a kind. Callers can use it to skip work for events that
// are expensive to build.
func IsEnabled(log *logrus.Entry, kind *Kind) bool { return log.Logger.IsLevelEnabled(kind.Level) }
