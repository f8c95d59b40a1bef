package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

type testEvent struct {
	Request string  `json:"request"`
	AgeMs   float64 `json:"age_ms,omitempty"`
}

var testKind = Kind{Name: "tested", Level: logrus.InfoLevel, PerSecond: 10}

func (*testEvent) Kind() *Kind { return &testKind }

func newLogger(t testing.TB, format string, output *bytes.Buffer) *logrus.Logger {
	t.Helper()
	logger, err := New(Config{Format: format, Node: "edge-1", Output: output})
	if err != nil {
		t.Fatal(err)
	}
	return logger
}

func decode(t *testing.T, output string) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for text := range strings.Lines(output) {
		line := map[string]any{}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		lines = append(lines, line)
	}
	return lines
}

// TestEventsAndMessagesAreJSONLines guards against lines that are not valid JSON, lack a common field, or ignore the level.
func TestEventsAndMessagesAreJSONLines(t *testing.T) {
	var output bytes.Buffer
	log := Part(newLogger(t, FormatJSON, &output), "gateway")
	Emit(log, &testEvent{Request: "a1\n\"", AgeMs: 1.5})
	log.WithError(errors.New("no \"room\"")).Warnf("said %d", 2)
	log.Debug("not written")
	lines := decode(t, output.String())
	if len(lines) != 2 {
		t.Fatalf("got %d lines, want 2: %s", len(lines), output.String())
	}
	first, second := lines[0], lines[1]
	if first["event"] != "tested" || first["request"] != "a1\n\"" || first["age_ms"] != 1.5 || first["node"] != "edge-1" ||
		first["part"] != "gateway" || first["level"] != "info" || first["seq"] != 1.0 {
		t.Errorf("got event line %v, want event tested with number 1 and all fields", first)
	}
	if second["event"] != "message" || second["text"] != "said 2" || second["error"] != "no \"room\"" || second["seq"] != 2.0 {
		t.Errorf("got message line %v, want the message with number 2 and its error", second)
	}
	if _, err := time.Parse(time.RFC3339Nano, first["time"].(string)); err != nil {
		t.Error(err)
	}
}

func TestTextLineShowsPartAndEvent(t *testing.T) {
	var output bytes.Buffer
	log := Part(newLogger(t, FormatText, &output), "gateway")
	Emit(log, &testEvent{Request: "a1"})
	if line := output.String(); !strings.Contains(line, "gateway: tested") || !strings.Contains(line, "a1") {
		t.Fatal(line)
	}
}

func TestInvalidLevelsAndFormatsAreRejected(t *testing.T) {
	for _, config := range []Config{{Level: "loud"}, {Format: "xml"}} {
		if _, err := New(config); err == nil {
			t.Errorf("New accepted %+v, want an error", config)
		}
	}
}

// TestLinesAboveTheRateAreCounted guards against a rate limit that is not enforced or whose drops are miscounted. It writes
// far more lines than a kind's rate and expects one report with the exact number of dropped lines. Other kinds of lines,
// such as the report, are not limited by it.
func TestLinesAboveTheRateAreCounted(t *testing.T) {
	var output bytes.Buffer
	logger := newLogger(t, FormatJSON, &output)
	now := time.Unix(1000, 0)
	entry := func(event Event) *logrus.Entry {
		return &logrus.Entry{Logger: logger, Time: now, Level: logrus.InfoLevel, Message: "x", Data: logrus.Fields{eventField: event}}
	}
	written := 0
	emit := func(event Event) string {
		line, err := logger.Formatter.Format(entry(event))
		if err != nil {
			t.Fatal(err)
		}
		return string(line)
	}
	for range 100 {
		if strings.Contains(emit(&testEvent{}), `"event":"tested"`) {
			written++
		}
	}
	if written != 2*testKind.PerSecond {
		t.Fatalf("%d lines were written in a burst, want %d", written, 2*testKind.PerSecond)
	}
	now = now.Add(reportInterval + time.Second)
	lines := decode(t, emit(&testEvent{}))
	if len(lines) != 2 || lines[0]["event"] != "lines_left_out" || fmt.Sprint(lines[0]["by_rate"]) != "map[tested:80]" {
		t.Fatalf("got lines %v, want a report of 80 dropped lines and an event", lines)
	}
	if again := decode(t, emit(&testEvent{})); len(again) != 1 {
		t.Fatalf("got lines %v, want no second report", again)
	}
}

// blockedWriter blocks writes until the channel open is closed.
type blockedWriter struct {
	open  chan struct{}
	mutex sync.Mutex
	bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.open
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.Buffer.Write(line)
}

// TestBlockedOutputDoesNotBlockCallers guards against callers that wait for a blocked output, and against dropped lines that
// are not reported once the output accepts data again.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	output := &blockedWriter{open: make(chan struct{})}
	sink := NewSink(output)
	logger, err := New(Config{Format: FormatJSON, Output: sink})
	if err != nil {
		t.Fatal(err)
	}
	line := []byte(strings.Repeat("x", 100) + "\n")
	const sent = 20_000
	for range sent {
		_, _ = sink.Write(append([]byte(nil), line...)) // returns although the output is blocked
	}
	dropped := sink.Dropped()
	if dropped == 0 || dropped >= sent {
		t.Fatalf("%d of %d lines were dropped, want some but not all", dropped, sent)
	}
	close(output.open)
	logger.Info("after")
	_ = sink.Close()
	<-sink.closed
	text := output.String()
	if written := strings.Count(text, string(line)); written != sent-int(dropped) {
		t.Errorf("%d lines were written and %d counted as dropped of %d, want their sum to match", written, dropped, sent)
	}
	if !strings.Contains(text, fmt.Sprintf(`"by_queue":%d`, sink.Dropped())) {
		t.Errorf("the log does not report the %d dropped lines", sink.Dropped())
	}
}

func BenchmarkEmit(b *testing.B) {
	logger, _ := New(Config{Format: FormatJSON, Node: "edge-1", Output: NewSink(nullWriter{})})
	log := Part(logger, "gateway")
	free := Kind{Name: "free", Level: logrus.InfoLevel, PerSecond: 1 << 30}
	event := &freeEvent{testEvent{Request: "9c41d07be2a35f68", AgeMs: 1.5}, &free}
	b.ReportAllocs()
	for b.Loop() {
		Emit(log, event)
	}
}

func BenchmarkEmitAboveTheRate(b *testing.B) {
	logger, _ := New(Config{Format: FormatJSON, Node: "edge-1", Output: NewSink(nullWriter{})})
	log := Part(logger, "gateway")
	b.ReportAllocs()
	for b.Loop() {
		Emit(log, &testEvent{Request: "9c41d07be2a35f68"})
	}
}

type freeEvent struct {
	testEvent
	kind *Kind
}

func (e *freeEvent) Kind() *Kind { return e.kind }

type nullWriter struct{}

func (nullWriter) Write(line []byte) (int, error) { return len(line), nil }
