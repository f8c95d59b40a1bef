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
	// messageKindName is the event name of lines that are sentences.
	messageKindName = "message"
	// messagesPerSecond bounds the sentences of a process.
	messagesPerSecond = 50
)

// encoder writes one line.
type encoder interface {
	encode(entry *logrus.Entry, event Event, sequence uint64) ([]byte, error)
}

// formatter implements logrus.Formatter: it leaves out what exceeds its kind's rate, and encodes the rest.
type formatter struct {
	encoder encoder
	sink    *Sink // nil: lines are written directly

	mutex    sync.Mutex // guards what follows
	limits   limits
	sequence uint64
}

func newFormatter(encoder encoder, sink *Sink) *formatter {
	made := &formatter{encoder: encoder, sink: sink, limits: limits{kinds: map[string]*kindLimit{}}}
	if sink != nil {
		sink.onClose(made.finalReport)
	}
	return made
}

// Format implements logrus.Formatter. An empty result is a line that is left out.
func (f *formatter) Format(entry *logrus.Entry) ([]byte, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	event, _ := entry.Data[eventField].(Event)
	name, perSecond := messageKindName, messagesPerSecond
	if event != nil {
		name, perSecond = event.Kind().Name, event.Kind().PerSecond
	}
	report, err := f.report(entry.Logger, entry.Time, false)
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

// report returns a line that says what was left out since the last one; nothing if that is too soon, or nothing was.
func (f *formatter) report(logger *logrus.Logger, now time.Time, last bool) ([]byte, error) {
	var lost uint64
	if f.sink != nil {
		lost = f.sink.Lost()
	}
	event := f.limits.report(now, lost, last)
	if event == nil {
		return nil, nil
	}
	f.sequence++
	entry := &logrus.Entry{Logger: logger, Data: logrus.Fields{}, Time: now, Level: event.Kind().Level, Message: event.Kind().Name}
	return f.encoder.encode(entry, event, f.sequence)
}

// finalReport is the last line of a process, if it still has to say what was left out.
func (f *formatter) finalReport() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	line, err := f.report(logrus.StandardLogger(), time.Now(), true)
	if err != nil {
		return nil
	}
	return line
}

// jsonEncoder writes JSON objects, one per line.
type jsonEncoder struct {
	node string
}

// header are the fields that every JSON line begins with.
type header struct {
	Time     string `json:"time"`
	Level    string `json:"level"`
	Node     string `json:"node,omitempty"`
	Part     string `json:"part,omitempty"`
	Sequence uint64 `json:"seq"`
	Event    string `json:"event"`
}

// timeLayout is RFC 3339 with microseconds, of a fixed width.
const timeLayout = "2006-01-02T15:04:05.000000Z07:00"

func (e *jsonEncoder) encode(entry *logrus.Entry, event Event, sequence uint64) ([]byte, error) {
	first := header{Time: entry.Time.UTC().Format(timeLayout), Level: entry.Level.String(), Node: e.node, Sequence: sequence,
		Event: messageKindName}
	first.Part, _ = entry.Data[partField].(string)
	var body any = event
	if event != nil {
		first.Event = event.Kind().Name
	} else {
		body = sentence(entry)
	}
	line, err := json.Marshal(&first)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	fields, err := json.Marshal(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return join(line, fields), nil
}

// join makes one line of two JSON objects.
func join(first, second []byte) []byte {
	if len(second) > len("{}") {
		first = append(first[:len(first)-1], ',')
		first = append(first, second[1:]...)
	}
	return append(first, '\n')
}

// sentence is a message with the fields that were given to logrus, as text.
func sentence(entry *logrus.Entry) map[string]string {
	fields := make(map[string]string, len(entry.Data)+1)
	for name, value := range entry.Data {
		switch {
		case name == partField:
		default:
			fields[name] = text(value)
		}
	}
	fields[messageField] = entry.Message
	return fields
}

func text(value any) string {
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

// textEncoder writes lines for a person, the part's name before each message.
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
