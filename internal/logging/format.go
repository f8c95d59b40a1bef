package logging

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

const (
	// messageEvent is the event name of lines that hold a plain message.
	messageEvent = "message"
	// messagesPerSecond is the maximum rate of plain messages of a process.
	messagesPerSecond = 50
)

// encoder encodes one log line. The event is nil for a plain message.
type encoder interface {
	encode(entry *logrus.Entry, event Event, sequence uint64) ([]byte, error)
}

// formatter implements logrus.Formatter. It drops lines above the rate limit of their kind and encodes the others.
type formatter struct {
	encoder encoder
	sink    *Sink // nil if lines are written directly

	mutex    sync.Mutex // guards the fields below
	limits   limits
	sequence uint64
}

func newFormatter(encoder encoder, sink *Sink) *formatter {
	f := &formatter{encoder: encoder, sink: sink, limits: limits{kinds: map[string]*kindLimit{}}}
	if sink != nil {
		sink.setFinalLine(f.encodeFinalReport)
	}
	return f
}

// Format implements logrus.Formatter. The result is empty if the line is dropped, and begins with a report of dropped lines
// if one is due.
func (f *formatter) Format(entry *logrus.Entry) ([]byte, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	event, _ := entry.Data[eventField].(Event)
	name, perSecond := messageEvent, messagesPerSecond
	if event != nil {
		name, perSecond = event.Kind().Name, event.Kind().PerSecond
	}
	report, err := f.encodeReport(entry.Logger, entry.Time, false)
	if err != nil {
		return nil, err
	}
	if !f.limits.allow(name, perSecond, entry.Time) {
		return report, nil
	}
	f.sequence++
	line, err := f.encoder.encode(entry, event, f.sequence)
	return append(report, line...), err
}

// encodeReport returns a line with the numbers of dropped lines. It returns nil if no lines were dropped, and, unless final
// is set, also if none were dropped since the last report or that report is too recent. The caller holds the mutex.
func (f *formatter) encodeReport(logger *logrus.Logger, now time.Time, final bool) ([]byte, error) {
	var dropped uint64
	if f.sink != nil {
		dropped = f.sink.Dropped()
	}
	event := f.limits.newReport(now, dropped, final)
	if event == nil {
		return nil, nil
	}
	f.sequence++
	entry := &logrus.Entry{Logger: logger, Data: logrus.Fields{}, Time: now, Level: event.Kind().Level, Message: event.Kind().Name}
	return f.encoder.encode(entry, event, f.sequence)
}

// encodeFinalReport returns the last line of a process, which reports dropped lines. It returns nil if there were none.
func (f *formatter) encodeFinalReport() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	line, err := f.encodeReport(logrus.StandardLogger(), time.Now(), true)
	if err != nil {
		return nil
	}
	return line
}

// jsonEncoder encodes lines as JSON objects, one per line.
type jsonEncoder struct {
	node string
}

// header holds the fields with which every JSON line begins.
type header struct {
	Time     string `json:"time"`
	Level    string `json:"level"`
	Node     string `json:"node,omitempty"`
	Part     string `json:"part,omitempty"`
	Sequence uint64 `json:"seq"`
	Event    string `json:"event"`
}

// timeLayout is RFC 3339 with microseconds, with a fixed number of digits.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

func (e *jsonEncoder) encode(entry *logrus.Entry, event Event, sequence uint64) ([]byte, error) {
	head := header{Time: entry.Time.UTC().Format(timeLayout), Level: entry.Level.String(), Node: e.node, Sequence: sequence,
		Event: messageEvent}
	head.Part, _ = entry.Data[partField].(string)
	var body any = event
	if event != nil {
		head.Event = event.Kind().Name
	} else {
		body = messageFields(entry)
	}
	line, err := json.Marshal(&head)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	fields, err := json.Marshal(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return joinObjects(line, fields), nil
}

// joinObjects merges two encoded JSON objects into one line. The first object must not be empty.
func joinObjects(first, second []byte) []byte {
	if len(second) > len("{}") {
		first = append(first[:len(first)-1], ',')
		first = append(first, second[1:]...)
	}
	return append(first, '\n')
}

// messageFields returns the message of an entry and the fields that were given to logrus, as text.
func messageFields(entry *logrus.Entry) map[string]string {
	fields := make(map[string]string, len(entry.Data)+1)
	for name, value := range entry.Data {
		switch {
		case name == partField:
		default:
			fields[name] = formatValue(value)
		}
	}
	fields[messageField] = entry.Message
	return fields
}

// formatValue returns the value of a logrus field as text.
func formatValue(value any) string {
	switch typed := value.(type) {
	case string:
		return typed
	case error:
		return typed.Error()
	case int:
		return strconv.Itoa(typed)
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}

// textEncoder encodes lines as text for people, with the part's name before each message.
type textEncoder struct {
	logrus.TextFormatter
}

func (e *textEncoder) encode(entry *logrus.Entry, event Event, _ uint64) ([]byte, error) {
	shown := *entry
	shown.Data = make(logrus.Fields, len(entry.Data))
	for name, value := range entry.Data {
		if name != eventField && name != partField {
			shown.Data[name] = value
		}
	}
	if event != nil {
		fields, err := json.Marshal(event)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		shown.Message += " " + string(fields)
	}
	if part, ok := entry.Data[partField].(string); ok {
		shown.Message = part + ": " + shown.Message
	}
	shown.Buffer = &bytes.Buffer{}
	return e.Format(&shown)
}
