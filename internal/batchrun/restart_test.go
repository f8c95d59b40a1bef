package batchrun

import (
	"context"
	"sync"
	"testing"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/replica"
)

// setStarts sets the start times of both replicas in the following tables of the rig's session.
func (r *rig) setStarts(first, second string) {
	r.session.addRows = func(row func(name string, cells ...string)) {
		row("r1", "kind=backend", "pool=p", "address=10.0.0.1:1000", "start_unix_millis="+first)
		row("r2", "kind=backend", "pool=p", "address=10.0.0.1:1001", "start_unix_millis="+second)
	}
}

// Replicas crash behind a network partition and restart under the same ids. No connection breaks, so their runs would
// hang until they count as stalled. They must be stopped as soon as the table has the new starts, and resume there.
func TestRunsOfRestartedReplicasAreStopped(t *testing.T) {
	r := newRig(t)
	r.setStarts("1000", "1000")
	r.session.set(t, 4)
	var hanging sync.WaitGroup
	hanging.Add(2)
	hangs := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		sendEvents(call, sink, testEvents/2, 5)
		hanging.Done()
		<-ctx.Done()
		return replica.Outcome{Status: 200, Err: ctx.Err()}
	}
	r.replicas.behaviours["r1@1000"], r.replicas.behaviours["r2@1000"] = hangs, hangs
	r.run(t)
	r.submit(t, "a", 2, nil)
	hanging.Wait()
	r.setStarts("2000", "2000")
	r.session.set(t, 4)
	for _, result := range r.await(t, "a", 2) {
		wantWhole(t, result, "[5]")
	}
	for _, call := range append(r.replicas.callsTo("r1@2000"), r.replicas.callsTo("r2@2000")...) {
		if call.ResumeAfter < 0 {
			t.Errorf("item %s started from the beginning, want resumed", call.AttemptID)
		}
	}
	restarted := 0
	for _, ended := range eventsOf[*events.RunEnded](r) {
		if ended.Why == string(stopRestarted) {
			restarted++
		}
	}
	if restarted != 2 {
		t.Errorf("%d runs were stopped because their replica restarted, want 2", restarted)
	}
}

// A replica restarts between being chosen for an item and the send. Nothing must be sent under its previous start.
func TestReplicaStartIsCheckedBeforeEachSend(t *testing.T) {
	r := newRig(t)
	r.setStarts("1000", "1000")
	r.session.set(t, 4)
	var once sync.Once
	r.replicas.beforeAdmit = func() {
		once.Do(func() {
			r.setStarts("2000", "2000")
			r.session.set(t, 4)
		})
	}
	r.run(t)
	r.submit(t, "a", 12, nil)
	for _, result := range r.await(t, "a", 12) {
		wantWhole(t, result, "[5]")
	}
	if calls := len(r.replicas.callsTo("r1@1000")) + len(r.replicas.callsTo("r2@1000")); calls != 0 {
		t.Fatalf("%d items were sent under a start that had ended, want 0", calls)
	}
}
