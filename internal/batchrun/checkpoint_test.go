package batchrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/eventstream"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestCheckpointsOutliveRuns moves a text from run to run, each shorter than the interval: what a lost leader would lose of
// it is bounded all the same.
func TestCheckpointsOutliveRuns(t *testing.T) {
	const (
		interval = 1000 * time.Millisecond
		pause    = 40 * time.Millisecond // between events
		perRun   = 15                    // events: 600 ms
		total    = 8 * perRun
	)
	held := newText()
	var committed []*wire.JobPartial
	var current *checkpoints
	for id := range total {
		if id%perRun == 0 {
			current = &checkpoints{interval: interval, commit: func(partial *wire.JobPartial) { committed = append(committed, partial) }}
		}
		if err := held.add(eventstream.Event{ID: int64(id), Data: []byte(fmt.Sprint("event ", id))}, 3); err != nil {
			t.Fatal(err)
		}
		now := 5*time.Second + time.Duration(id)*pause
		current.reached(now, "i", held)
		if lost := time.Duration(held.events-committedEvents(committed)) * pause; lost > interval+pause {
			t.Fatalf("after event %d a lost leader loses %s of the text", id, lost)
		}
	}
	whole := ""
	for _, partial := range committed {
		text, err := batch.PartialText(partial)
		if err != nil || int(partial.GetLength()) != len(whole) {
			t.Fatalf("a part follows %d bytes after %d: %v", partial.GetLength(), len(whole), err)
		}
		whole += string(text)
	}
	if whole != string(held.data[:held.committed]) {
		t.Fatalf("the parts make %q", whole)
	}
}

// TestShortTextsCommitNoPart: their result is all that the group holds of them.
func TestShortTextsCommitNoPart(t *testing.T) {
	held := newText()
	current := &checkpoints{interval: time.Second, commit: func(*wire.JobPartial) { t.Error("a part of a short text was committed") }}
	for id := range 20 {
		if err := held.add(eventstream.Event{ID: int64(id), Data: []byte("x")}, 3); err != nil {
			t.Fatal(err)
		}
		current.reached(time.Duration(id)*40*time.Millisecond, "i", held)
	}
}

func committedEvents(committed []*wire.JobPartial) int {
	if len(committed) == 0 {
		return 0
	}
	return int(committed[len(committed)-1].GetEvents())
}
