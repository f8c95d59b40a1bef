package batchrun

import (
	"context"
	"errors"
	"testing"

	"github.com/tamarindring/tamarindring/internal/batchrun/reward"
	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/poisonguard/poisonguardtest"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// newGuardedRig returns a rig whose runner has a guard.
func newGuardedRig(t *testing.T) *rig {
	t.Helper()
	guard, err := poisonguard.New(poisonguard.Config{Control: poisonguardtest.NoControl{}, Recorded: poisonguardtest.NotRecorded})
	if err != nil {
		t.Fatal(err)
	}
	r := newRig(t)
	r.guard = guard
	return r
}

// crashedBy is the behaviour of a replica that crashes when it runs one attempt, and answers all others.
func crashedBy(attempt string) behaviour {
	return func(_ context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		if call.AttemptID == attempt {
			return replica.Outcome{Verdict: verdict.MayHaveRun, Peer: replica.PeerGone, Err: errors.New("reset")}
		}
		return sendEvents(call, sink, testEvents, 5)
	}
}

// setOwnBodies gives each item a request body of its own, so that only one of them has the identity that is suspected.
func setOwnBodies(submit *wire.JobSubmit) {
	for _, item := range submit.Items {
		item.Body = []byte(item.GetId())
	}
}

// countSends counts the calls of an attempt to some replicas.
func (r *rig) countSends(attempt string, instances ...string) (sends int) {
	for _, instance := range instances {
		for _, call := range r.replicas.callsTo(instance) {
			if call.AttemptID == attempt {
				sends++
			}
		}
	}
	return sends
}

// One item crashes each replica that starts to run it. If it were retried until its job's deadline, it would keep
// crashing all replicas of the pool, and with them the runs of other items. In the log this shows as run_ended events
// of the item at all replicas, each with "unexpected EOF". The item must be held after its second crash without being
// terminated, and all other items must finish.
func TestItemThatCrashesReplicasIsHeld(t *testing.T) {
	r := newGuardedRig(t)
	r.replicas.behaviours["r1"], r.replicas.behaviours["r2"] = crashedBy("i0"), crashedBy("i0")
	r.run(t)
	r.submit(t, "a", 8, setOwnBodies)
	for _, result := range r.await(t, "a", 7) {
		wantWhole(t, result, "[5]")
	}
	r.until(t, "the item rests", func() bool {
		for _, ended := range eventsOf[*events.RunEnded](r) {
			if ended.Item == "i0" && ended.Why == whySuspected && ended.Digest != "" {
				return true
			}
		}
		return false
	})
	if sends := r.countSends("i0", "r1", "r2"); sends != poison.TrialCrashes {
		t.Errorf("the item ran %d times, want %d", sends, poison.TrialCrashes)
	}
	r.submit(t, "b", 8, func(submit *wire.JobSubmit) { setOwnBodies(submit); submit.Items = submit.Items[1:] })
	r.await(t, "b", 7)
	rests := 0
	for _, ended := range eventsOf[*events.RunEnded](r) {
		if ended.Why == whySuspected {
			rests++
		}
	}
	if rests > 5 { // it is checked again about once a second, and not in each scheduling pass
		t.Errorf("the item was started %d times while it was held, want at most 5", rests)
	}
}

// The loop must be notified of an item whose reward call is condemned. Otherwise its group would still count as one of
// the groups that the job waits for.
func TestCondemnedRewardCallIsReported(t *testing.T) {
	r := newGuardedRig(t)
	r.addScorers(t)
	identity := poison.Identity{Method: "POST", Host: "scores.example", Path: "/score/1", Body: []byte("i0"), Owed: true}
	scorers := r.session.addRows
	r.session.addRows = func(row func(name string, cells ...string)) {
		scorers(row)
		row(poison.RowName(identity.Digest()), "kind=suspect", "crashes=3", "crashed_back_ends="+poison.AddTrial("", poison.OperatorTrial))
	}
	r.session.set(t, 4, "r1 active", "r2 active")
	view, _ := r.session.AdmitView()
	r.guard.Follow(view)
	r.setScorers(answerScore)
	r.run(t)
	current := newTermRunner(r.runner, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	key := schedule.Key{Job: "a", Item: "i0"}
	call := &rewardCall{Key: key, job: &wire.JobSubmit{}, request: &wire.JobReward{Id: "call-i0", Host: "scores.example", Path: "/score/1", Body: []byte("i0")}}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.runner.rewardCaller.requestScore(ctx, call, func() { current.noteCondemned(key) })
	}()
	if notified := <-current.condemnedItems; notified != key {
		t.Errorf("notified of item %v, want %v", notified, key)
	}
	cancel()
	<-ended
}

// The reward call of one item crashes the back ends that score it. If it were retried like other reward calls, with a
// pause of at most 0.4 s, it would keep crashing them for as long as its item waits for a score. It must be held
// instead.
func TestRewardCallThatCrashesScorersIsHeld(t *testing.T) {
	r := newGuardedRig(t)
	r.addScorers(t)
	r.setScorers(func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		if call.AttemptID == "call-i0" {
			return replica.Outcome{Verdict: verdict.MayHaveRun, Peer: replica.PeerGone, Err: errors.New("reset")}
		}
		return answerScore(ctx, call, sink)
	})
	r.run(t)
	r.submit(t, "a", 4, addRewards)
	r.await(t, "a", 3)
	r.until(t, "the call rests", func() bool {
		for _, tried := range eventsOf[*events.RewardTried](r) {
			if tried.Item == "i0" && tried.Ending == reward.Held.String() {
				return tried.PauseMs > events.Millis(reward.DefaultMaximumPause)
			}
		}
		return false
	})
	if sends := r.countSends("call-i0", "s1", "s2"); sends != poison.TrialCrashes {
		t.Errorf("the call ran %d times, want %d", sends, poison.TrialCrashes)
	}
}
