// Package explain tells the story of one request, batch job or item from the logs of many processes: the lines that
// name it, and those that say what the processes it met believed at the time. Package events lists the lines.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// maximumLineBytes bounds one line of a log.
const maximumLineBytes = 1 << 20

// Field is one field of a line, its value as JSON.
type Field struct {
	Name  string
	Value json.RawMessage
}

// Line is one event in a process's log.
type Line struct {
	Time  time.Time // by the clock of its machine
	Level string
	Node  string
	Event string
	// Fields are those of the event, in their order.
	Fields []Field

	file     int // of Logs.files
	position int // in its file
}

// Logs are the lines of many processes.
type Logs struct {
	files   []string
	lines   []*Line
	skipped int
}

// Skipped counts lines that are no JSON objects of a log, such as a panic's.
func (l *Logs) Skipped() int { return l.skipped }

// Add reads one process's log. Lines keep the order that they have there.
func (l *Logs) Add(name string, from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 64<<10), maximumLineBytes)
	l.files = append(l.files, name)
	for position := 0; scanner.Scan(); position++ {
		line := parse(scanner.Bytes())
		if line == nil {
			l.skipped++
			continue
		}
		if line.Node == "" {
			line.Node = name
		}
		line.file, line.position = len(l.files)-1, position
		l.lines = append(l.lines, line)
	}
	return trace.Wrap(scanner.Err(), "log %s", name)
}

// parse reads one line; nil if it is none of a log. What stands before the object is passed over: a supervisor may
// put a time or a name there.
func parse(raw []byte) *Line {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return nil
	}
	fields, err := orderedFields(raw[begin:])
	if err != nil {
		return nil
	}
	line := &Line{}
	for _, field := range fields {
		switch field.Name {
		case "time":
			line.Time, err = time.Parse(time.RFC3339Nano, text(field.Value))
		case "level":
			line.Level = text(field.Value)
		case "node":
			line.Node = text(field.Value)
		case "event":
			line.Event = text(field.Value)
		case "part", "seq":
		default:
			line.Fields = append(line.Fields, field)
		}
	}
	if err != nil || line.Event == "" {
		return nil
	}
	return line
}

// orderedFields reads a JSON object and keeps the order of its fields.
func orderedFields(raw []byte) ([]Field, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if _, err := decoder.Token(); err != nil {
		return nil, trace.Wrap(err)
	}
	var fields []Field
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		field := Field{}
		field.Name, _ = name.(string)
		if err := decoder.Decode(&field.Value); err != nil {
			return nil, trace.Wrap(err)
		}
		fields = append(fields, field)
	}
	_, err := decoder.Token()
	return fields, trace.Wrap(err)
}

// text is a JSON value as a person writes it: a string without its quotes.
func text(value json.RawMessage) string {
	var decoded string
	if json.Unmarshal(value, &decoded) == nil {
		return decoded
	}
	return string(value)
}

// Value is the text of a field; empty if the line has none of the name.
func (l *Line) Value(name string) string {
	for _, field := range l.Fields {
		if field.Name == name {
			return text(field.Value)
		}
	}
	return ""
}

// names tells whether a field of the line is the id, or lists it.
func (l *Line) names(id string) bool {
	return slices.ContainsFunc(l.Fields, func(field Field) bool {
		value := string(field.Value)
		if !strings.Contains(value, id) {
			return false
		}
		if text(field.Value) == id {
			return true
		}
		var list []string
		return json.Unmarshal(field.Value, &list) == nil && slices.Contains(list, id)
	})
}
