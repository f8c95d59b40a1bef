package events

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// page is the generated reference page of all events.
const page = "../../docs/operations/events.md"

// TestPageMatchesEvents guards against a reference page that was not generated again after a change of an event.
func TestPageMatchesEvents(t *testing.T) {
	held, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(held) != Markdown() {
		t.Fatalf("%s differs from the output of 'tamarindring events'; generate it again", page)
	}
}

// TestEachEventIsDescribed guards against two events of one name, an event without a rate limit, and fields without a
// description or with the name of a field that every line has.
func TestEachEventIsDescribed(t *testing.T) {
	names := map[string]bool{}
	for _, area := range Catalog() {
		for _, event := range area.Events {
			kind := event.Kind()
			if names[kind.Name] {
				t.Errorf("event name %s is used by two kinds of events", kind.Name)
			}
			names[kind.Name] = true
			if kind.PerSecond <= 0 || strings.ToLower(kind.Name) != kind.Name {
				t.Errorf("kind %+v: want a positive rate and a name in lower case", kind)
			}
			checkFields(t, event)
		}
	}
}

// reserved holds the names of the fields that every line has.
var reserved = map[string]bool{"time": true, "level": true, "node": true, "part": true, "seq": true, "event": true, "text": true}

func checkFields(t *testing.T, event logging.Event) {
	t.Helper()
	eventType := reflect.TypeOf(event).Elem()
	for position, field := range Fields(event) {
		if field.Name == "" || field.Doc == "" || reserved[field.Name] {
			t.Errorf("%s: field %s has name %q and description %q; want both, and no name of a common field", event.Kind().Name, eventType.Field(position).Name, field.Name, field.Doc)
		}
	}
}

// TestErrorsAreBounded guards against an unbounded error text in a line, and checks the rounding of durations.
func TestErrorsAreBounded(t *testing.T) {
	long := ErrorText(errorText(strings.Repeat("x", 10_000)))
	if len(long) != maximumErrorText || ErrorText(nil) != "" {
		t.Fatalf("the text of a long error has %d bytes, want maximumErrorText; that of nil is to be empty", len(long))
	}
	if got := Millis(1500 * time.Microsecond); got != 1.5 {
		t.Fatalf("got %v ms, want 1.5", got)
	}
}

type errorText string

func (e errorText) Error() string { return string(e) }
