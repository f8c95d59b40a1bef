package events

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/logging"
)

const page = "../../docs/operations/events.md"

func TestPageDiffersFromTheEvents(t *testing.T) {
	held, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(held) != Markdown() {
		t.Fatalf("%s is not what 'tamarindring events' prints; write it again", page)
	}
}

func TestEachEventIsDescribed(t *testing.T) {
	names := map[string]bool{}
	for _, area := range Catalog() {
		for _, event := range area.Events {
			kind := event.Kind()
			if names[kind.Name] {
				t.Errorf("%s stands for two events", kind.Name)
			}
			names[kind.Name] = true
			if kind.PerSecond <= 0 || strings.ToLower(kind.Name) != kind.Name {
				t.Errorf("kind %+v", kind)
			}
			checkFields(t, event)
		}
	}
}

// reserved are the fields of every line.
var reserved = map[string]bool{"time": true, "level": true, "node": true, "part": true, "seq": true, "event": true, "text": true}

func checkFields(t *testing.T, event logging.Event) {
	t.Helper()
	described := reflect.TypeOf(event).Elem()
	for position, field := range Fields(event) {
		if field.Name == "" || field.Doc == "" || reserved[field.Name] {
			t.Errorf("%s: field %s has name %q and description %q", event.Kind().Name, described.Field(position).Name, field.Name, field.Doc)
		}
	}
}

func TestErrorsAreBounded(t *testing.T) {
	long := ErrorText(errorText(strings.Repeat("x", 10_000)))
	if len(long) != maximumErrorText || ErrorText(nil) != "" {
		t.Fatalf("%d bytes", len(long))
	}
	if got := Millis(1500 * time.Microsecond); got != 1.5 {
		t.Fatalf("%v ms", got)
	}
}

type errorText string

func (e errorText) Error() string { return string(e) }
