package batchrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/eventstream"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// A text goes through several runs that are each shorter than the checkpoint interval. If the interval started anew
// with each run, no checkpoint would ever be committed, and a lost leader would lose the whole text.
func TestCheckpointIntervalSpansRuns(t *testing.T) {
	const (
		interval = 1000 * time.Millisecond
		pause    = 40 * time.Millisecond // between events
		perRun   = 15                    // events: 600 ms
		total    = 8 * perRun
	)
	itemText := newText()
	var committed []*wire.JobPartial
	var current *checkpointer
	for id := range total {
		if id%perRun == 0 {
			current = &checkpointer{interval: interval, commit: func(partial *wire.JobPartial) { committed = append(committed, partial) }}
		}
		if err := itemText.add(eventstream.Event{ID: int64(id), Data: []byte(fmt.Sprint("event ", id))}, 3); err != nil {
			t.Fatal(err)
		}
		now := 5*time.Second + time.Duration(id)*pause
		current.afterEvent(now, "i", itemText)
		if lost := time.Duration(itemText.events-committedEvents(committed)) * pause; lost > interval+pause {
			t.Fatalf("after event %d, %s of the text are not committed, want at most %s", id, lost, interval+pause)
		}
	}
	whole := ""
	for _, partial := range committed {
		text, err := batch.PartialText(partial)
		if err != nil || int(partial.GetLength()) != len(whole) {
			t.Fatalf("a checkpoint starts at byte %d, want %d: %v", partial.GetLength(), len(whole), err)
		}
		whole += string(text)
	}
	if whole != string(itemText.data[:itemText.committed]) {
		t.Fatalf("the joined checkpoints are %q, which is not the committed part of the text", whole)
	}
}

// A text that is complete within the first interval must not be committed twice, as a checkpoint and as a result.
func TestShortTextsCommitNoCheckpoint(t *testing.T) {
	itemText := newText()
	current := &checkpointer{interval: time.Second, commit: func(*wire.JobPartial) { t.Error("a checkpoint of a short text was committed, want none") }}
	for id := range 20 {
		if err := itemText.add(eventstream.Event{ID: int64(id), Data: []byte("x")}, 3); err != nil {
			t.Fatal(err)
		}
		current.afterEvent(time.Duration(id)*40*time.Millisecond, "i", itemText)
	}
}

func committedEvents(committed []*wire.JobPartial) int {
	if len(committed) == 0 {
		return 0
	}
	return int(committed[len(committed)-1].GetEvents())
}
