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

// feedStream feeds an answer with the given body to a stream whose text already has the events 0 to lastID.
func feedStream(lastID int64, body string) (*stream, error) {
	started := newText()
	for id := int64(0); id <= lastID; id++ {
		started.data = append(started.data, fmt.Sprintf("e%d\n", id)...)
		started.events, started.lastID = started.events+1, id
	}
	s := &stream{text: started, clock: func() time.Duration { return 0 }}
	s.checkpointer.interval = time.Hour
	s.parser.VersionField = "x-version"
	if err := s.Head(replica.Head{Status: 200, Stream: true, Version: 3}); err != nil {
		return s, err
	}
	return s, s.Body([]byte(body))
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

// A repeated event, a missing event and an event without an id must end the run. The text keeps the events before it.
func TestTextRejectsEventsOutOfOrder(t *testing.T) {
	for name, test := range map[string]struct {
		lastIDBefore int64 // id of the last event of the text before the answer; -1: none
		body         string
		lastIDAfter  int64 // id of the last event of the text after the answer
		err          error
	}{
		"in order":             {lastIDBefore: -1, body: event(0) + event(1) + event(2), lastIDAfter: 2},
		"goes on":              {lastIDBefore: 4, body: event(5) + event(6), lastIDAfter: 6},
		"again":                {lastIDBefore: -1, body: event(0) + event(1) + event(1), lastIDAfter: 1, err: errOutOfOrder},
		"again after a resume": {lastIDBefore: 4, body: event(4), lastIDAfter: 4, err: errOutOfOrder},
		"from the start":       {lastIDBefore: 4, body: event(0), lastIDAfter: 4, err: errOutOfOrder},
		"one is missing":       {lastIDBefore: -1, body: event(0) + event(1) + event(3), lastIDAfter: 1, err: errOutOfOrder},
		"missing after resume": {lastIDBefore: 4, body: event(6), lastIDAfter: 4, err: errOutOfOrder},
		"no id":                {lastIDBefore: -1, body: event(0) + "data: e1\n\n", lastIDAfter: 0, err: errOutOfOrder},
		"falling":              {lastIDBefore: -1, body: event(0) + event(10) + event(5), lastIDAfter: 10, err: errOutOfOrder},
	} {
		s, err := feedStream(test.lastIDBefore, test.body)
		if !errors.Is(err, test.err) || s.text.lastID != test.lastIDAfter {
			t.Errorf("%s: error %v and last event %d, want %v and %d", name, err, s.text.lastID, test.err, test.lastIDAfter)
		}
	}
}

// The HTTP answer ends properly, but in the middle of an event. It must not count as complete.
func TestAnswerThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	whole := replica.Outcome{Verdict: verdict.Ran, Status: 200, Complete: true}
	for body, want := range map[string]schedule.Ending{
		event(0) + event(1):                schedule.Completed,
		event(0) + "id: 1\ndata: e1\n":     schedule.Broken,
		event(0) + "id: 1\nda":             schedule.Broken,
		"":                                 schedule.Broken,
		event(0) + event(1) + ": keep me ": schedule.Broken,
	} {
		s, err := feedStream(-1, body)
		if err != nil {
			t.Fatal(err)
		}
		if got := s.ending(whole, false); got != want {
			t.Errorf("answer %q: ending %v, want %v", body, got, want)
		}
	}
}

// An item with the id of an earlier item but a different request must not get the earlier item's text.
func TestCachedTextIsUsedForSameRequestOnly(t *testing.T) {
	first := &wire.JobItem{Id: "i", Path: "/a", Host: "h", Body: []byte("body"), Headers: []*wire.JobHeader{{Name: "X-Model", Value: "m"}}}
	for name, change := range map[string]func(*wire.JobItem){
		"path":   func(item *wire.JobItem) { item.Path = "/b" },
		"host":   func(item *wire.JobItem) { item.Host = "other" },
		"body":   func(item *wire.JobItem) { item.Body = []byte("other") },
		"header": func(item *wire.JobItem) { item.Headers = []*wire.JobHeader{{Name: "X-Model", Value: "other"}} },
		"field":  func(item *wire.JobItem) { item.Headers = nil },
	} {
		cache := newTextCache()
		cache.store("", first, &text{data: []byte("e0"), events: 1})
		other := &wire.JobItem{Id: first.Id, Path: first.Path, Host: first.Host, Body: first.Body, Headers: first.Headers}
		change(other)
		if cache.take("", other) != nil {
			t.Errorf("an item with another %s got the text", name)
		}
		if cache.take("", first) == nil {
			t.Errorf("%s: the item does not get its own text", name)
		}
	}
}
