package batchrun

import (
	"context"
	"testing"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// A job was ended and the next one carried its items before their runs had ended: the items began anew, beside the runs that were being
// stopped, and the texts of these were kept for nobody. TestEndStopsItemsAndKeepsTheirText showed it in 3 of 1920 plays beside 23 of its
// own kind ("carried item i1 starts after -1").
func TestCarriedItemsWaitForTheirFormerRuns(t *testing.T) {
	r := newRig(t)
	started, leave := make(chan string, 100), make(chan struct{})
	leaving := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		play(call, sink, testEvents-1, 5)
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
	r.replicas.set(answering(5), answering(5))
	r.propose(t, &wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: "a"}}})
	r.submit(t, "b", 4, nil)
	r.submit(t, "c", 1, func(submit *wire.JobSubmit) { submit.Items[0].Id = "other" })
	r.await(t, "c", 1)
	if early := len(r.replicas.callsTo("")) - before; early != 1 {
		t.Errorf("%d items of the next jobs have started beside their former runs", early-1)
	}
	close(leave)
	for _, result := range r.await(t, "b", 4) {
		wantWhole(t, result, "[5]")
	}
	for _, call := range r.replicas.callsTo("")[before:] {
		if call.AttemptID != "other" && call.ResumeAfter != testEvents-2 {
			t.Errorf("carried item %s starts after %d", call.AttemptID, call.ResumeAfter)
		}
	}
}
