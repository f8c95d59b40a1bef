package batchrun

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/poison"
)

// An item that is held as a suspect beside idle replicas must be reported with its crashes, and no more often than once
// in an interval.
func TestWaitOfASuspectIsReported(t *testing.T) {
	r := newRig(t)
	now := time.Hour
	runner, err := New(Config{Group: r.group, Session: r.session, Caller: r.replicas, Route: r.route, Log: r.log(), Clock: func() time.Duration { return now }})
	if err != nil {
		t.Fatal(err)
	}
	r.submit(t, "a", 2, nil)
	work, err := runner.queryOpenJobs(t.Context(), 0, r.group.Query)
	if err != nil {
		t.Fatal(err)
	}
	current := newTermRunner(runner, 1)
	current.applyOpenJobs(t.Context(), work)
	view, _ := r.session.AdmitView()
	current.applyTable(view)
	starts := current.scheduler.Starts(now)
	held := &call{Start: starts[0], item: current.jobs["a"].items[starts[0].Item].wire,
		judgment: poison.Judgment{Permission: poison.Blocked, Crashes: 3, Recorded: 2, Remaining: time.Minute}}
	current.scheduler.Ended(now, held.Key, schedule.Stopped, 0)
	current.reportToGuard(t.Context(), held)
	for range 4 {
		now += time.Second
		current.reportWaits(now)
		current.reportWaits(now)
	}
	waits := eventsOf[*events.ItemWaits](r)
	if len(waits) != 3 {
		t.Fatalf("got %d lines in 4 s, want one a second from the second one on", len(waits))
	}
	if last := waits[2]; last.Item != held.Item || last.Why != "suspected" || last.Crashes != 3 || last.Recorded != 2 || last.Digest == "" || last.WaitedMs != 4000 || last.Replicas != 2 {
		t.Errorf("got %+v, want the held item with its 3 crashes, 2 of them on record", last)
	}
}
