package executorclient

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestAnswersComeThroughExecutors: the leader must receive exactly the head, body and end that the replica sent, also
// from compressed reports.
func TestAnswersComeThroughExecutors(t *testing.T) {
	p := startProcess(t, "e1")
	run := startLeader(t, 1, p).start(t)
	before := monotonic.Now()
	p.replica.parts <- "one "
	until(t, "the first part", func() bool { return run.sink.text() == "one " })
	for range 2000 { // enough for a compressed report
		p.replica.parts <- "many "
	}
	close(p.replica.parts)
	outcome := run.end(t)
	if !outcome.Complete || outcome.Status != 200 || outcome.Err != nil || outcome.Verdict != verdict.Ran {
		t.Errorf("outcome %+v, want a complete answer with status 200", outcome)
	}
	if want := "one " + strings.Repeat("many ", 2000); run.sink.text() != want {
		t.Errorf("body of %d bytes, want %d", len(run.sink.text()), len(want))
	}
	if head := run.sink.head; head.Status != 200 || !head.Stream || head.Version != 7 {
		t.Errorf("head %+v, want status 200, stream, version 7", head)
	}
	if run.sink.came < before || run.sink.came > monotonic.Now() {
		t.Errorf("the last part was received at %v, want a time between %v and now", run.sink.came, before)
	}
	call := p.replica.calls[0]
	if call.Instance != "r1" || call.AttemptID != "item" || string(call.Body) != "prompt" || call.Urgency != 6 || call.ResumeAfter != -1 {
		t.Errorf("call %+v, want the order of the run", call)
	}
}

// TestRunsOutliveTheirLeader loses the leader in the middle of an answer. The replica must not be called again, and the
// next leader must get the whole answer from its beginning.
func TestRunsOutliveTheirLeader(t *testing.T) {
	p := startProcess(t, "e1")
	former := startLeader(t, 1, p)
	run := former.start(t)
	p.replica.parts <- "one "
	until(t, "the first part", func() bool { return run.sink.text() == "one " })
	run.cancel(nil) // the leader's term is over; no ErrStop, so that the run continues
	former.stop()
	p.replica.parts <- "two "
	next := startLeader(t, 2, p)
	held := next.TakeHeld()
	if len(held) != 1 || held[0].GetTerm() != 1 || held[0].GetEnded() || held[0].Executor().Name() != "e1" {
		t.Fatalf("held runs: %+v", held)
	}
	taken := drive(held[0].Do)
	p.replica.parts <- "three"
	close(p.replica.parts)
	if outcome := taken.end(t); !outcome.Complete || taken.sink.text() != "one two three" {
		t.Errorf("outcome %+v, body %q, want the complete answer", outcome, taken.sink.text())
	}
	if p.replica.begun() != 1 {
		t.Errorf("the item ran %d times, want 1", p.replica.begun())
	}
}

// TestAnswersThatEndWithoutALeaderAreKept: the run ends while no leader follows it. The next leader must get the
// complete answer.
func TestAnswersThatEndWithoutALeaderAreKept(t *testing.T) {
	p := startProcess(t, "e1")
	former := startLeader(t, 1, p)
	run := former.start(t)
	p.replica.parts <- "all"
	until(t, "the answer", func() bool { return run.sink.text() == "all" })
	run.cancel(nil)
	former.stop()
	close(p.replica.parts)
	<-p.replica.ended
	until(t, "the end at the executor", func() bool { return p.server.Running() == 0 })
	held := startLeader(t, 2, p).TakeHeld()
	if len(held) != 1 || !held[0].GetEnded() || !held[0].GetWhole() {
		t.Fatalf("held runs: %+v", held)
	}
	taken := drive(held[0].Do)
	if outcome := taken.end(t); !outcome.Complete || taken.sink.text() != "all" {
		t.Errorf("outcome %+v, body %q, want the complete answer", outcome, taken.sink.text())
	}
}

// TestFormerLeadersAreNotObeyed: a leader that acts after the next one has connected must neither start nor stop a run,
// whether or not it has noticed yet that its stream was closed.
func TestFormerLeadersAreNotObeyed(t *testing.T) {
	p := startProcess(t, "e1")
	former := startLeader(t, 1, p)
	run := former.start(t)
	chosen := former.ChooseExecutor("a", "r1")
	if chosen == nil {
		t.Fatal("no executor accepts the run")
	}
	p.replica.parts <- "one "
	until(t, "the first part", func() bool { return run.sink.text() == "one " })
	next := startLeader(t, 2, p)
	held := next.TakeHeld()
	if len(held) != 1 {
		t.Fatalf("held runs: %+v", held)
	}
	taken := drive(held[0].Do)
	outcome := chosen.Do(context.Background(), otherOrder("before the end of the stream"), &collectingSink{})
	// The order may be sent while its stream is being closed. The former leader can't know then that it was not read.
	lost := outcome.Verdict == verdict.MayHaveRun && errors.Is(outcome.Err, ErrLost)
	refused := outcome.Verdict == verdict.DidNotRun && outcome.Err != nil
	if !lost && !refused {
		t.Errorf("outcome %+v, want that the order was refused, or lost with its stream", outcome)
	}
	until(t, "the end of the former leader's stream", func() bool { return !chosen.link.isOpen() })
	outcome = chosen.Do(context.Background(), otherOrder("after the end of the stream"), &collectingSink{})
	if outcome.Verdict != verdict.DidNotRun || !errors.Is(outcome.Err, ErrLost) {
		t.Errorf("outcome %+v, want that the order was not sent", outcome)
	}
	run.cancel(ErrStop) // the former leader stops the run
	run.end(t)
	p.replica.parts <- "two"
	close(p.replica.parts)
	if outcome := taken.end(t); !outcome.Complete || taken.sink.text() != "one two" {
		t.Errorf("outcome %+v, body %q, want the complete answer", outcome, taken.sink.text())
	}
	if p.replica.begun() != 1 {
		t.Errorf("%d runs started, want 1", p.replica.begun())
	}
}

// TestStoppedRunsEndAtTheReplica: a run stopped by its leader must have ended at the replica when Do returns.
func TestStoppedRunsEndAtTheReplica(t *testing.T) {
	p := startProcess(t, "e1")
	run := startLeader(t, 1, p).start(t)
	p.replica.parts <- "one "
	until(t, "the first part", func() bool { return run.sink.text() == "one " })
	run.cancel(ErrStop)
	run.end(t)
	select {
	case err := <-p.replica.ended:
		if err == nil {
			t.Error("the run ended without an error, want that it was stopped")
		}
	default:
		t.Error("the run is still in progress at the replica")
	}
}

// TestResetStreamsAreReopened: the reset of a connection must not lose or repeat any part of the runs on it.
func TestResetStreamsAreReopened(t *testing.T) {
	p := startProcess(t, "e1")
	run := startLeader(t, 1, p).start(t)
	p.replica.parts <- "one "
	until(t, "the first part", func() bool { return run.sink.text() == "one " })
	p.reset(false)
	p.replica.parts <- "two "
	until(t, "the second part", func() bool { return run.sink.text() == "one two " })
	close(p.replica.parts)
	if outcome := run.end(t); !outcome.Complete || run.sink.text() != "one two " || p.replica.begun() != 1 {
		t.Errorf("outcome %+v, body %q, %d runs, want a complete answer of one run", outcome, run.sink.text(), p.replica.begun())
	}
}

// TestRunsOfLostExecutorsAreGivenUp: a leader that can't reach an executor must give up its runs there, and stop them
// once the executor is back, without treating them as those of an earlier leader.
func TestRunsOfLostExecutorsAreGivenUp(t *testing.T) {
	p := startProcess(t, "e1")
	lead := startLeader(t, 1, p)
	run := lead.start(t)
	p.replica.parts <- "one "
	until(t, "the first part", func() bool { return run.sink.text() == "one " })
	p.reset(true)
	if outcome := run.end(t); !errors.Is(outcome.Err, ErrLost) || outcome.Verdict == verdict.DidNotRun {
		t.Errorf("outcome %+v, want ErrLost and not did-not-run", outcome)
	}
	if lead.ChooseExecutor("a", "r1") != nil {
		t.Error("a lost executor was chosen for a run")
	}
	p.reset(false)
	select {
	case <-p.replica.ended:
	case <-time.After(testTimeout):
		t.Fatal("the run that was given up was not stopped")
	}
	if held := lead.TakeHeld(); len(held) != 0 {
		t.Errorf("the leader's own run is listed as an earlier leader's: %+v", held)
	}
}

// TestRunsThatAreNotAdmitted: if the executor's own table or lease does not permit a run, it must not be sent to the
// replica, and the executor must get no further runs for a while.
func TestRunsThatAreNotAdmitted(t *testing.T) {
	p := startProcess(t, "e1")
	p.admitted = false
	lead := startLeader(t, 1, p)
	run := lead.start(t)
	if outcome := run.end(t); !errors.Is(outcome.Err, executor.ErrNotAdmitted) || outcome.Verdict != verdict.DidNotRun {
		t.Errorf("outcome %+v, want ErrNotAdmitted and did-not-run", outcome)
	}
	if lead.ChooseExecutor("a", "r1") != nil {
		t.Error("an executor that did not permit a run was chosen again at once")
	}
	if p.replica.begun() != 0 {
		t.Error("the run was sent to the replica")
	}
}

// TestRunsAreDrivenInTheZoneOfTheReplica: runs must go to an executor in the zone of the replica, and to none that is
// draining. A run in progress must survive the start of the draining.
func TestRunsAreDrivenInTheZoneOfTheReplica(t *testing.T) {
	p := startProcess(t, "e1")
	lead := startLeader(t, 1, p)
	if lead.ChooseExecutor("b", "r1") != nil {
		t.Error("an executor of another zone was chosen")
	}
	if count := lead.CountUsable(); count != 1 {
		t.Errorf("%d usable executors, want 1", count)
	}
	run := lead.start(t)
	until(t, "the run", func() bool { return p.replica.begun() == 1 })
	p.server.Drain()
	until(t, "the report that the executor is draining", func() bool { return lead.ChooseExecutor("a", "r1") == nil && lead.CountUsable() == 0 })
	close(p.replica.parts)
	if outcome := run.end(t); !outcome.Complete {
		t.Errorf("outcome %+v of a run at a draining executor, want a complete answer", outcome)
	}
}
