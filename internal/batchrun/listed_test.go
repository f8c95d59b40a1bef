package batchrun

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// countListings returns a counter of the commands that list results.
func (r *rig) countListings() *int {
	commands := 0
	r.group.beforeApply = func(command *wire.Command) {
		for _, results := range command.GetJobStore().GetJobs() {
			if len(results.GetResults()) > 0 {
				commands++
			}
		}
	}
	return &commands
}

// answerDelays makes the first items finish one after the other, so that each could be listed on its own.
var answerDelays = map[string]time.Duration{"i1": 40 * time.Millisecond, "i2": 80 * time.Millisecond, "i3": 120 * time.Millisecond, "i4": 160 * time.Millisecond}

// answerAfterRelease delays the answer of one item until release is closed.
func answerAfterRelease(id string, release chan struct{}) behaviour {
	return func(_ context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		if call.AttemptID == id {
			<-release // regardless of ctx, which ends when the call counts as stalled
		}
		time.Sleep(answerDelays[call.AttemptID])
		return sendEvents(call, sink, testEvents, 5)
	}
}

// answerAfterReleaseOrStop is answerAfterRelease, except that a call ends when it is stopped.
func answerAfterReleaseOrStop(id string, release chan struct{}) behaviour {
	return func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		if call.AttemptID == id {
			select {
			case <-release:
			case <-ctx.Done():
				return replica.Outcome{Verdict: verdict.MayHaveRun, Err: ctx.Err()}
			}
		}
		return answerAfterRelease("", nil)(ctx, call, sink)
	}
}

// With an interval that never passes, the results of all desired groups must be listed in one command, once these are
// complete. Later results are listed at once.
func TestResultsAreListedOnceDesiredGroupsAreComplete(t *testing.T) {
	r := newRig(t)
	r.listInterval = 24 * time.Hour // intervals are counted from the job's deadline in one hour
	commands := r.countListings()
	release := make(chan struct{})
	releaseAnswers := sync.OnceFunc(func() { close(release) })
	defer releaseAnswers()
	r.replicas.set(answerAfterRelease("i7", release), answerAfterRelease("i7", release))
	r.run(t)
	r.submit(t, "a", 8, func(submit *wire.JobSubmit) { submit.Desired, submit.DeadlineMillis = 3, 3_600_000 })
	r.await(t, "a", 6)
	r.group.mutex.Lock()
	if *commands != 1 {
		t.Errorf("%d commands list the desired groups, want 1", *commands)
	}
	r.group.mutex.Unlock()
	releaseAnswers()
	r.await(t, "a", 8)
}

// The results of a job that does not become complete must be listed after the interval.
func TestIncompleteJobIsListedAfterInterval(t *testing.T) {
	r := newRig(t)
	r.listInterval = 500 * time.Millisecond // all items but one have ended by then
	release := make(chan struct{})
	releaseAnswers := sync.OnceFunc(func() { close(release) })
	defer releaseAnswers()
	r.replicas.set(answerAfterRelease("i7", release), answerAfterRelease("i7", release))
	r.run(t)
	r.submit(t, "a", 8, func(submit *wire.JobSubmit) { submit.DeadlineMillis = 3_600_000 })
	r.await(t, "a", 7)
	releaseAnswers()
	r.await(t, "a", 8)
}

// The second job has as many complete groups as desired, but not the group that the first job left open. Its results
// must not be listed before that group is complete.
func TestListingWaitsForCarriedGroups(t *testing.T) {
	r := newRig(t)
	r.listInterval = 24 * time.Hour
	commands := r.countListings()
	release := make(chan struct{})
	releaseAnswers := sync.OnceFunc(func() { close(release) })
	defer releaseAnswers()
	delayed := answerAfterReleaseOrStop("i7", release)
	r.replicas.set(delayed, delayed)
	r.run(t)
	change := func(submit *wire.JobSubmit) { submit.Desired, submit.DeadlineMillis = 3, 3_600_000 }
	r.submit(t, "a", 8, change)
	r.await(t, "a", 6)
	r.propose(t, &wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: "a"}}})
	r.group.mutex.Lock()
	before := *commands
	r.group.mutex.Unlock()
	r.until(t, "the end of the stopped run", func() bool { return !r.replicas.isRunning("i7") })
	r.submit(t, "b", 8, change)
	r.until(t, "calls for all items of b", func() bool { return len(r.replicas.callsTo("")) >= 16 })
	time.Sleep(answerDelays["i4"] + 4*busyTickInterval) // the items end, and the loop handles their ends
	r.group.mutex.Lock()
	if *commands != before {
		t.Errorf("%d commands list results before the carried group is complete, want 0", *commands-before)
	}
	r.group.mutex.Unlock()
	releaseAnswers()
	r.await(t, "b", 8)
	r.propose(t, &wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: "b"}}})
	r.until(t, "the log of the end of b", func() bool { return len(eventsOf[*events.JobClosed](r)) == 2 })
	first, second := eventsOf[*events.JobClosed](r)[0], eventsOf[*events.JobClosed](r)[1]
	if first.Carried != 0 || second.Carried != 4 || second.Listings != 1 {
		t.Errorf("logged %d and %d carried groups and %d listings of the second job, want 0, 4 and 1", first.Carried, second.Carried, second.Listings)
	}
}

// The log of a run that was moved must contain the figures that the move was decided by.
func TestMovesAreLoggedWithTheirReasons(t *testing.T) {
	r := newRig(t)
	runner, err := New(Config{Group: r.group, Session: r.session, Caller: r.replicas, Route: r.route, Log: r.log()})
	if err != nil {
		t.Fatal(err)
	}
	moved := &call{Start: schedule.Start{Key: schedule.Key{Job: "a", Item: "i0"}}, stream: &stream{}, stopReason: stopMoved, ending: schedule.Moved,
		move: schedule.Move{Pace: 60 * time.Millisecond, Fastest: 40 * time.Millisecond, Remaining: 2 * time.Second, Leaving: true, RelativePace: 2.5,
			Saved: time.Second}}
	newTermRunner(runner, 1).logEnd(moved, 9, schedule.Again)
	ended := eventsOf[*events.RunEnded](r)
	if len(ended) != 1 || ended[0].PaceMs != 60 || ended[0].UsualMs != 40 || ended[0].LeftMs != 2000 || !ended[0].Leaving || ended[0].Events != 9 ||
		ended[0].PassingPace != 2.5 || ended[0].SavedMs != 1000 {
		t.Fatalf("logged %+v, want one event with the figures of the move", ended)
	}
}
