package batchrun

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// streamOf takes an answer of the given bytes into a text that holds events up to an id already.
func streamOf(held int64, body string) (*stream, error) {
	taken := newText()
	for id := int64(0); id <= held; id++ {
		taken.data = append(taken.data, fmt.Sprintf("e%d\n", id)...)
		taken.events, taken.lastID = taken.events+1, id
	}
	s := &stream{text: taken, clock: func() time.Duration { return 0 }}
	s.checkpoints.interval = time.Hour
	s.parser.VersionField = "x-version"
	if err := s.Head(replica.Head{Status: 200, Stream: true, Versions: 3}); err != nil {
		return s, err
	}
	return s, s.Body([]byte(body))
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

// TestEventsOfATextFollowEachOther: an event that was there before, one that is missing between two and one without an id
// end the run; the text keeps what came before.
func TestEventsOfATextFollowEachOther(t *testing.T) {
	for name, test := range map[string]struct {
		held int64
		body string
		kept int64 // id of the last event of the text afterwards
		err  error
	}{
		"in order":             {held: -1, body: event(0) + event(1) + event(2), kept: 2},
		"goes on":              {held: 4, body: event(5) + event(6), kept: 6},
		"again":                {held: -1, body: event(0) + event(1) + event(1), kept: 1, err: errOutOfOrder},
		"again after a resume": {held: 4, body: event(4), kept: 4, err: errOutOfOrder},
		"from the start":       {held: 4, body: event(0), kept: 4, err: errOutOfOrder},
		"one is missing":       {held: -1, body: event(0) + event(1) + event(3), kept: 1, err: errOutOfOrder},
		"missing after resume": {held: 4, body: event(6), kept: 4, err: errOutOfOrder},
		"no id":                {held: -1, body: event(0) + "data: e1\n\n", kept: 0, err: errOutOfOrder},
		"falling":              {held: -1, body: event(0) + event(10) + event(5), kept: 10, err: errOutOfOrder},
	} {
		s, err := streamOf(test.held, test.body)
		if !errors.Is(err, test.err) || s.text.lastID != test.kept {
			t.Errorf("%s: %v, last event %d, want %v and %d", name, err, s.text.lastID, test.err, test.kept)
		}
	}
}

// TestAnswerThatEndsWithinAnEventIsNotWhole: its connection ended as it should, and still an event is missing.
func TestAnswerThatEndsWithinAnEventIsNotWhole(t *testing.T) {
	whole := replica.Outcome{Verdict: verdict.Ran, Status: 200, Whole: true}
	for body, want := range map[string]schedule.Ending{
		event(0) + event(1):                schedule.Completed,
		event(0) + "id: 1\ndata: e1\n":     schedule.Broken,
		event(0) + "id: 1\nda":             schedule.Broken,
		"":                                 schedule.Broken,
		event(0) + event(1) + ": keep me ": schedule.Broken,
	} {
		s, err := streamOf(-1, body)
		if err != nil {
			t.Fatal(err)
		}
		if got := s.ending(whole, false); got != want {
			t.Errorf("%q ended %v, not %v", body, got, want)
		}
	}
}

// TestKeptTextsServeTheSameRequestOnly: an item that carries the id of an earlier one and asks something else gets none of
// its text.
func TestKeptTextsServeTheSameRequestOnly(t *testing.T) {
	first := &wire.JobItem{Id: "i", Path: "/a", Host: "h", Body: []byte("body"), Headers: []*wire.JobHeader{{Name: "X-Model", Value: "m"}}}
	for name, change := range map[string]func(*wire.JobItem){
		"path":   func(item *wire.JobItem) { item.Path = "/b" },
		"host":   func(item *wire.JobItem) { item.Host = "other" },
		"body":   func(item *wire.JobItem) { item.Body = []byte("other") },
		"header": func(item *wire.JobItem) { item.Headers = []*wire.JobHeader{{Name: "X-Model", Value: "other"}} },
		"field":  func(item *wire.JobItem) { item.Headers = nil },
	} {
		kept := newKeptTexts()
		kept.keep("", first, &text{data: []byte("e0"), events: 1})
		other := &wire.JobItem{Id: first.Id, Path: first.Path, Host: first.Host, Body: first.Body, Headers: first.Headers}
		change(other)
		if kept.take("", other) != nil {
			t.Errorf("an item with another %s got the text", name)
		}
		if kept.take("", first) == nil {
			t.Errorf("%s: the item's own text is gone", name)
		}
	}
}
