// Package explain collects from the logs of many processes what concerns one request, batch job or item: the lines that
// contain its id, and the lines that show the state of the processes involved at that time. Package events defines the
// events in these lines.
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

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Field is one field of a log line. Its value is kept as JSON.
type Field struct {
	Name  string
	Value json.RawMessage
}

// Line is one event in the log of a process.
type Line struct {
	Time  time.Time // by the clock of the process's machine
	Level string
	Node  string
	Event string
	// Fields holds the event's own fields in the order of the line.
	Fields []Field

	file     int // index in Logs.files
	position int // index of the line in its file
}

// Logs holds the log lines of many processes. The zero value is empty and ready to use.
type Logs struct {
	files   []string
	lines   []*Line
	skipped int
}

// Skipped returns the number of lines that hold no event as a JSON object, such as the output of a panic.
func (l *Logs) Skipped() int { return l.skipped }

// Add reads the log of one process up to its end. The name stands for the node in lines that name none. It returns an error
// if reading fails or a line is longer than maxLineBytes.
func (l *Logs) Add(name string, from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	l.files = append(l.files, name)
	for position := 0; scanner.Scan(); position++ {
		line := parseLine(scanner.Bytes())
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

// parseLine decodes one line. It returns nil if the line holds no event. Text before the JSON object is ignored, because
// a supervisor may put a time or a name there.
func parseLine(raw []byte) *Line {
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
			line.Time, err = time.Parse(time.RFC3339Nano, valueText(field.Value))
		case "level":
			line.Level = valueText(field.Value)
		case "node":
			line.Node = valueText(field.Value)
		case "event":
			line.Event = valueText(field.Value)
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

// orderedFields decodes a JSON object and keeps the order of its fields, which a map would lose.
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

// valueText returns a JSON value as text: a string without its quotes, any other value unchanged.
func valueText(value json.RawMessage) string {
	var decoded string
	if json.Unmarshal(value, &decoded) == nil {
		return decoded
	}
	return string(value)
}

// Value returns the text of the first field with a name, or an empty string if the line has no such field.
func (l *Line) Value(name string) string {
	for _, field := range l.Fields {
		if field.Name == name {
			return valueText(field.Value)
		}
	}
	return ""
}

// hasID reports whether a field of the line equals the id or is a list that contains it.
func (l *Line) hasID(id string) bool {
	return slices.ContainsFunc(l.Fields, func(field Field) bool {
		value := string(field.Value)
		if !strings.Contains(value, id) {
			return false
		}
		if valueText(field.Value) == id {
			return true
		}
		var list []string
		return json.Unmarshal(field.Value, &list) == nil && slices.Contains(list, id)
	})
}
