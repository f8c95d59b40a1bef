package eventstream

import (
	"errors"
	"fmt"
	"testing"
)

const example = ": hello\r\nx-version: 7\r\nid: 0\r\ndata: a\r\n\r\nid: 1\ndata:b\ndata: c\n\n\n\nid: 2\nevent: x\ndata\n\nid: 3\ndata: cut"

func collect(t *testing.T, parser *Parser, pieces ...string) []string {
	t.Helper()
	var got []string
	for _, piece := range pieces {
		if err := parser.Feed([]byte(piece), func(event Event) error {
			got = append(got, fmt.Sprintf("%d %d %q", event.ID, event.Version, event.Data))
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	return got
}

// TestEventsAreAlikeHoweverTheyAreCut checks that the same events are parsed wherever the stream is split into pieces.
func TestEventsAreAlikeHoweverTheyAreCut(t *testing.T) {
	want := fmt.Sprint([]string{`0 7 "a"`, `1 0 "b\nc"`, `2 0 ""`})
	for first := range len(example) {
		for second := first; second < len(example); second += 3 {
			parser := &Parser{VersionField: "x-version"}
			got := collect(t, parser, example[:first], example[first:second], example[second:])
			if fmt.Sprint(got) != want || !parser.Pending() {
				t.Fatalf("split at %d and %d: got events %v, pending %v; want the 3 complete events and a pending one", first, second, got, parser.Pending())
			}
		}
	}
}

// TestMalformedStreamsEnd checks that an invalid number and an event that is too large end the stream with an error.
func TestMalformedStreamsEnd(t *testing.T) {
	take := func(Event) error { return nil }
	for _, text := range []string{"id: x\n", "id: -4\n", "x-version: v\n"} {
		if err := (&Parser{VersionField: "x-version"}).Feed([]byte(text), take); !errors.Is(err, ErrMalformed) {
			t.Fatalf("stream %q: got error %v, want ErrMalformed", text, err)
		}
	}
	parser := &Parser{}
	var err error
	for range MaximumEventBytes/1000 + 2 {
		if err = parser.Feed(make([]byte, 1000), take); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrTooLarge) {
		t.Fatal(err)
	}
	if collect(t, &Parser{}, "data: a\n\n")[0] != `-1 0 "a"` {
		t.Fatal("an event without an id was parsed with other fields than NoID, no version and its data")
	}
}

// FuzzParser checks that no input causes a panic.
func FuzzParser(f *testing.F) {
	f.Add([]byte(example))
	f.Fuzz(func(_ *testing.T, data []byte) {
		parser := &Parser{VersionField: "x-version"}
		_ = parser.Feed(data, func(Event) error { return nil })
	})
}
