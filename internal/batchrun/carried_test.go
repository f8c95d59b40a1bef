package batchrun

import (
	"context"
	"testing"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// A job ends, and the next job contains its items while their runs are still being stopped. If these items started at
// once, they would run at two replicas and from the beginning, because the text of a stopped run is cached only once
// the run has ended. The race made TestEndedJobStopsItemsAndCachesTheirText fail in 3 of 1920 runs ("starts after -1")
// when it ran in parallel with 23 copies of itself.
func TestCarriedItemsWaitForTheirPreviousRuns(t *testing.T) {
	r := newRig(t)
	started, leave := make(chan string, 100), make(chan struct{})
	leaving := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		sendEvents(call, sink, testEvents-1, 5)
		started <- call.AttemptID
		<-ctx.Done()
		<-leave // its connection takes a while to close
		return replica.Outcome{Status: 200, Err: ctx.Err()}
	}
	r.replicas.set(leaving, leaving)
	r.run(t)
	r.submit(t, "a", 4, nil)
	for range 4 {
		<-started
	}
	before := len(r.replicas.callsTo(""))
	r.replicas.set(answerWith(5), answerWith(5))
	r.propose(t, &wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: "a"}}})
	r.submit(t, "b", 4, nil)
	r.submit(t, "c", 1, func(submit *wire.JobSubmit) { submit.Items[0].Id = "other" })
	r.await(t, "c", 1)
	if early := len(r.replicas.callsTo("")) - before; early != 1 {
		t.Errorf("%d items of the next jobs started before their previous runs had ended, want 0", early-1)
	}
	close(leave)
	for _, result := range r.await(t, "b", 4) {
		wantWhole(t, result, "[5]")
	}
	for _, call := range r.replicas.callsTo("")[before:] {
		if call.AttemptID != "other" && call.ResumeAfter != testEvents-2 {
			t.Errorf("carried item %s resumes after event %d, want %d", call.AttemptID, call.ResumeAfter, testEvents-2)
		}
	}
}
