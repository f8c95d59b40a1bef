package batchrun

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/weights"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestItemsAreRunAndListed(t *testing.T) {
	r := newRig(t)
	r.run(t)
	r.submit(t, "a", 20, nil)
	for _, result := range r.await(t, "a", 20) {
		wantWhole(t, result, "[5]")
	}
	if calls := len(r.replicas.callsTo("")); calls != 20 {
		t.Fatalf("%d calls for 20 items", calls)
	}
}

func TestBrokenAnswersResumeAtOtherReplicas(t *testing.T) {
	r := newRig(t)
	r.replicas.behaviours["r1"] = func(_ context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		return sendEvents(call, sink, 3, 5)
	}
	r.replicas.behaviours["r2"] = answerWith(6)
	r.run(t)
	r.submit(t, "a", 8, nil)
	resumed := false
	for _, result := range r.await(t, "a", 8) {
		if len(result.GetVersions()) == 2 {
			wantWhole(t, result, "[5 6]")
		} else {
			wantWhole(t, result, "[6]")
		}
	}
	for _, call := range r.replicas.callsTo("r2") {
		resumed = resumed || call.ResumeAfter == 2
	}
	if !resumed {
		t.Fatal("no call resumes after event 2, the last one before the break")
	}
}

func TestStalledRunsAreFinishedAtOtherReplicas(t *testing.T) {
	r := newRig(t)
	r.replicas.behaviours["r1"] = func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		sendEvents(call, sink, 2, 5)
		<-ctx.Done()
		return replica.Outcome{Status: 200, Err: ctx.Err()}
	}
	r.run(t)
	r.submit(t, "a", 8, nil)
	for _, result := range r.await(t, "a", 8) {
		wantWhole(t, result, "[5]")
	}
}

func TestItemIsTerminatedAfterMaxAttempts(t *testing.T) {
	r := newRig(t)
	r.replicas.behaviours["r1"], r.replicas.behaviours["r2"] = statusOnly(500), statusOnly(500)
	r.run(t)
	r.submit(t, "a", 1, func(submit *wire.JobSubmit) { submit.MaxAttempts = 3 })
	if state := r.await(t, "a", 1)["i0"].GetState(); state != wire.JobItemState_JOB_ITEM_STATE_TERMINATED {
		t.Fatal(state)
	}
	if calls := len(r.replicas.callsTo("")); calls != 3 {
		t.Fatalf("%d calls, want max_attempts, which is 3", calls)
	}
}

func TestUnprocessableItemsAreNotRetried(t *testing.T) {
	r := newRig(t)
	r.replicas.behaviours["r1"], r.replicas.behaviours["r2"] = statusOnly(422), statusOnly(422)
	r.run(t)
	r.submit(t, "a", 1, func(submit *wire.JobSubmit) { submit.MaxAttempts = 3 })
	r.await(t, "a", 1)
	if calls := len(r.replicas.callsTo("")); calls != 1 {
		t.Fatalf("%d calls, want 1", calls)
	}
}

func TestOnlyFailureAnswersCountAsAttempts(t *testing.T) {
	r := newRig(t)
	left := 6 // bad answers, then good ones
	kinds := []behaviour{refusing(replica.RefusedFull), refusing(replica.RefusedUnreachable), refusing(replica.RefusedWrongTarget),
		statusOnly(404), statusOnly(503), statusOnly(200)}
	changing := func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		r.mutex.Lock()
		kind := answerWith(5)
		if left--; left >= 0 {
			kind = kinds[left]
		}
		r.mutex.Unlock()
		return kind(ctx, call, sink)
	}
	r.replicas.behaviours["r1"], r.replicas.behaviours["r2"] = changing, changing
	r.run(t)
	r.submit(t, "a", 1, func(submit *wire.JobSubmit) { submit.MaxAttempts = 1 })
	wantWhole(t, r.await(t, "a", 1)["i0"], "[5]")
}

func TestOldWeightVersionsGenerateNoEvents(t *testing.T) {
	r := newRig(t)
	r.replicas.behaviours["r1"] = answerWith(4, 4, 4, 6) // starts with old weights
	r.replicas.behaviours["r2"] = answerWith(6, 6, 7)
	r.run(t)
	r.submit(t, "a", 6, func(submit *wire.JobSubmit) { submit.MinVersion = 6 })
	for _, result := range r.await(t, "a", 6) {
		wantWhole(t, result, "[6 7]")
	}
	r.replicas.set(answerWith(6, 6, 5), answerWith(6, 6, 7))
	r.submit(t, "b", 6, func(submit *wire.JobSubmit) { submit.MinVersion = 6 })
	for _, result := range r.await(t, "b", 6) {
		if result.GetVersions()[0] < 6 {
			t.Fatalf("result %v, want no weight version below 6", result)
		}
	}
}

func TestSingleVersionTextsRestartWhenWeightsChange(t *testing.T) {
	r := newRig(t)
	r.replicas.behaviours["r1"] = answerWith(6, 6, 7) // changes in the middle
	r.replicas.behaviours["r2"] = func(_ context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		if call.ExpectedVersion > 0 && call.ExpectedVersion != 8 {
			return replica.Outcome{Verdict: verdict.DidNotRun, Refused: replica.RefusedWrongTarget}
		}
		return sendEvents(call, sink, testEvents, 8)
	}
	r.run(t)
	r.submit(t, "a", 6, func(submit *wire.JobSubmit) { submit.SingleVersion = true })
	for _, result := range r.await(t, "a", 6) {
		wantWhole(t, result, "[8]")
	}
}

// hangBeforeLastEvent sends all events but the last one and then waits for the end of the call.
func hangBeforeLastEvent(started chan<- string) behaviour {
	return func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		sendEvents(call, sink, testEvents-1, 5)
		started <- call.AttemptID
		<-ctx.Done()
		return replica.Outcome{Status: 200, Err: ctx.Err()}
	}
}

func TestEndedJobStopsItemsAndCachesTheirText(t *testing.T) {
	r := newRig(t)
	started := make(chan string, 100)
	r.replicas.behaviours["r1"], r.replicas.behaviours["r2"] = hangBeforeLastEvent(started), hangBeforeLastEvent(started)
	r.run(t)
	r.submit(t, "a", 4, nil)
	for range 4 {
		<-started
	}
	r.propose(t, &wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: "a"}}})
	r.until(t, "all calls end", func() bool {
		r.replicas.mutex.Lock()
		defer r.replicas.mutex.Unlock()
		running := 0
		for _, count := range r.replicas.running {
			running += count
		}
		return running == 0
	})
	before := len(r.replicas.callsTo(""))
	r.replicas.set(answerWith(5), answerWith(5))
	r.submit(t, "b", 4, nil)
	for _, result := range r.await(t, "b", 4) {
		wantWhole(t, result, "[5]")
	}
	for _, call := range r.replicas.callsTo("")[before:] {
		if call.ResumeAfter != testEvents-2 {
			t.Fatalf("carried item %s resumes after event %d, want %d", call.AttemptID, call.ResumeAfter, testEvents-2)
		}
	}
}

func TestOnlyEndedJobsExpire(t *testing.T) {
	r := newRig(t)
	r.retention = 20 * time.Millisecond
	r.replicas.set(answerWith(5), answerWith(5))
	r.run(t)
	r.submit(t, "a", 1, nil)
	r.await(t, "a", 1)
	r.submit(t, "b", 1, nil) // only now: its item has the same id as that of a, and would run concurrently with it
	r.await(t, "b", 1)
	r.propose(t, &wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: "a"}}})
	known := func(job string) bool {
		view, err := r.group.Query(t.Context(), &wire.Query{Kind: &wire.Query_JobResults{JobResults: &wire.JobResultsQuery{Job: job}}})
		return err == nil && view.GetJobResults().GetKnown()
	}
	r.until(t, "the ended job expires", func() bool { return !known("a") })
	if !known("b") {
		t.Fatal("an open job expired")
	}
}

func TestDrainingReplicasGetNoItems(t *testing.T) {
	r := newRig(t)
	r.session.set(t, 4, "r1 active", "r2 draining")
	r.run(t)
	r.submit(t, "a", 12, nil)
	r.await(t, "a", 12)
	if calls := len(r.replicas.callsTo("r2")); calls != 0 {
		t.Fatalf("%d calls to a draining replica, want 0", calls)
	}
}

func TestNothingStartsWithoutALease(t *testing.T) {
	r := newRig(t)
	r.session.expired = true
	r.run(t)
	r.submit(t, "a", 2, nil)
	r.submit(t, "b", 2, func(submit *wire.JobSubmit) { submit.QueueTtlMillis = 1 })
	r.await(t, "b", 2) // terminated, so the runner has had time to start a as well
	if calls := len(r.replicas.callsTo("")); calls != 0 {
		t.Fatalf("%d calls without a lease, want 0", calls)
	}
	r.session.mutex.Lock()
	r.session.expired = false
	r.session.mutex.Unlock()
	r.await(t, "a", 2)
}

// Items without a route are terminated, except while this node's table is older than the one that their job was
// submitted under.
func TestItemsWithoutARouteAreTerminated(t *testing.T) {
	r := newRig(t)
	r.routed = false
	r.run(t)
	r.submit(t, "newer", 1, func(submit *wire.JobSubmit) { submit.TableVersion = 2 })
	r.submit(t, "a", 2, nil)
	for _, result := range r.await(t, "a", 2) {
		if result.GetState() != wire.JobItemState_JOB_ITEM_STATE_TERMINATED {
			t.Fatalf("result %v, want a terminated item", result)
		}
	}
	r.mutex.Lock()
	r.routed = true
	r.mutex.Unlock()
	r.session.set(t, 4, "r1 active")
	wantWhole(t, r.await(t, "newer", 1)["i0"], "[5]")
}

func TestNextLeaderResumesUnfinishedItems(t *testing.T) {
	r := newRig(t)
	started := make(chan string, 100)
	r.replicas.behaviours["r1"], r.replicas.behaviours["r2"] = hangBeforeLastEvent(started), hangBeforeLastEvent(started)
	r.run(t)
	r.submit(t, "a", 4, nil)
	for range 4 {
		<-started
	}
	r.until(t, "the texts of all items are committed", func() bool { return r.partialEvents(t) == 4*(testEvents-1) })
	r.group.setLeader(1, false)
	r.until(t, "the calls of the previous leader end", func() bool {
		r.replicas.mutex.Lock()
		defer r.replicas.mutex.Unlock()
		return r.replicas.running["i0"]+r.replicas.running["i1"]+r.replicas.running["i2"]+r.replicas.running["i3"] == 0
	})
	before := len(r.replicas.callsTo(""))
	r.replicas.set(answerWith(5), answerWith(5))
	r.group.setLeader(2, true)
	for number := range 4 {
		wantWhole(t, r.await(t, "a", 4)[fmt.Sprint("i", number)], "[5]")
	}
	for _, call := range r.replicas.callsTo("")[before:] {
		if call.ResumeAfter != testEvents-2 {
			t.Fatalf("item %s resumes after event %d under the next leader, want %d", call.AttemptID, call.ResumeAfter, testEvents-2)
		}
	}
	if left := r.partialEvents(t); left != 0 {
		t.Fatalf("partial texts with %d events are left after the results, want none", left)
	}
}

// Demand must return the tokens of each model's newest job on the leader only, and keep them after the job's end until
// the next job of the model.
func TestDemandIsOfTheNewestJobs(t *testing.T) {
	r := newRig(t)
	r.run(t)
	of := func(model string, tokens uint64) func(*wire.JobSubmit) {
		return func(job *wire.JobSubmit) {
			job.Model = model
			for _, entry := range job.GetItems() {
				entry.Id = job.GetId() + entry.GetId() // the jobs run together
				entry.Tokens = tokens
			}
		}
	}
	r.submit(t, "a", 4, of("m0", 10))
	r.submit(t, "b", 2, of("m1", 300))
	r.until(t, "the work of both models", func() bool {
		demand := r.runner.Demand()
		return demand["m0"] == 40 && demand["m1"] == 600
	})
	r.propose(t, &wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: "a"}}})
	r.submit(t, "c", 1, of("m1", 7))
	r.until(t, "the work of the newest job", func() bool {
		demand := r.runner.Demand()
		return demand["m0"] == 40 && demand["m1"] == 7
	})
	r.group.setLeader(1, false)
	r.until(t, "no demand at a node that does not run the jobs", func() bool { return r.runner.Demand() == nil })
}

// A new leader must not start items before it knows which weight versions the replicas serve, and then only start them
// where the weights are new enough. Replicas must return the replicas before any item has started.
func TestNewLeaderWaitsForServedVersions(t *testing.T) {
	r := newRig(t)
	var serving atomic.Pointer[weights.Serving]
	r.serving = serving.Load
	r.run(t)
	r.submit(t, "a", 6, func(job *wire.JobSubmit) { job.Model, job.MinVersion = "m", 5 })
	r.until(t, "the replicas to ask", func() bool { return len(r.runner.Replicas()) == 2 })
	time.Sleep(2 * busyTickInterval)
	if calls := r.replicas.callsTo(""); len(calls) > 0 {
		t.Fatalf("%d items were sent to replicas with unknown weights, want 0", len(calls))
	}
	serving.Store(weights.NewServing(map[string][]registry.ModelVersion{"r1": {{Model: "m", Number: 4}}, "r2": {{Model: "m", Number: 5}}}))
	r.await(t, "a", 6)
	if calls := r.replicas.callsTo("r1"); len(calls) > 0 {
		t.Fatalf("%d items were sent to a replica with too old weights, want 0", len(calls))
	}
}
