package logging

import "github.com/sirupsen/logrus"

// Names of the fields of every line. An event's own fields stand beside them.
const (
	partField    = "part"
	messageField = "text"
	// eventField holds an event in a logrus entry.
	eventField = "event"
)

// Kind is what differs between kinds of events.
type Kind struct {
	// Name is the event's name in lines, such as "request_failed".
	Name string
	// Level is that of its lines.
	Level logrus.Level
	// PerSecond bounds its lines; twice as many may come at once.
	PerSecond int
}

// Event is one decision that touches a request, or one change of what the process believes. Its exported fields,
// with their JSON names, are the fields of its line.
type Event interface {
	Kind() *Kind
}

// Emit writes an event's line, unless its kind's rate or the level leaves it out. It never blocks.
func Emit(log *logrus.Entry, event Event) {
	kind := event.Kind()
	if !log.Logger.IsLevelEnabled(kind.Level) {
		return
	}
	log.WithField(eventField, event).Log(kind.Level, kind.Name)
}

// Wanted tells whether events of a kind are written at all, for those that cost something to make.
func Wanted(log *logrus.Entry, kind *Kind) bool { return log.Logger.IsLevelEnabled(kind.Level) }
