package batchrun

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/executorclient"
	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// startExecutor starts an executor in the zone of the only replica, which drives the rig's runs.
func (r *rig) startExecutor(t *testing.T, settings executor.Settings) *executor.Server {
	t.Helper()
	r.session.set(t, 4, "r1 active zone=a")
	server, err := executor.New(executor.Config{Caller: r.replicas, Admit: func(*wire.RunStart) bool { return true }, Settings: settings, Log: r.log()})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := executorclient.Peer{Name: "e1", Address: listener.Addr().String(), Zone: "a"}
	r.executors = func() []executorclient.Peer { return []executorclient.Peer{peer} }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return server
}

// halt pauses an answer before an event until release is closed. reached is closed when the answer pauses.
type halt struct {
	before           int // number of the event
	reached, release chan struct{}
}

func haltBefore(event int) *halt {
	return &halt{before: event, reached: make(chan struct{}), release: make(chan struct{})}
}

// answer is a behaviour that sends complete answers, with the pause.
func (h *halt) answer() behaviour {
	return func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		return sendEvents(call, &haltingSink{Sink: sink, halt: h, over: ctx.Done()}, testEvents, 5)
	}
}

type haltingSink struct {
	replica.Sink
	*halt
	events int
	over   <-chan struct{}
}

func (s *haltingSink) Body(chunk []byte) error {
	if s.events == s.before {
		close(s.reached)
		select {
		case <-s.release:
		case <-s.over:
			return context.Canceled
		}
	}
	s.events++
	return s.Sink.Body(chunk)
}

// The leader changes while a replica generates an answer for a run at an executor. The next leader must take over the
// run. If it did not, every change of leader would end all runs, and the events since their last checkpoints would be
// generated again.
func TestNextLeaderTakesOverRuns(t *testing.T) {
	r := newRig(t)
	server := r.startExecutor(t, executor.Settings{})
	half := haltBefore(3)
	releaseAnswers := sync.OnceFunc(func() { close(half.release) })
	defer releaseAnswers()
	r.replicas.set(half.answer(), nil)
	r.run(t)
	r.submit(t, "a", 1, nil)
	<-half.reached
	r.group.setLeader(2, true)
	r.until(t, "a run that was taken over", func() bool {
		taken := eventsOf[*events.RunTakenOver](r)
		return len(taken) == 1 && taken[0].Why == "" && taken[0].Executor == "e1" && taken[0].Term == 1
	})
	releaseAnswers()
	wantWhole(t, r.await(t, "a", 1)["i0"], "[5]")
	if calls := r.replicas.callsTo(""); len(calls) != 1 {
		t.Errorf("%d calls to the replica, want 1", len(calls))
	}
	r.until(t, "the end of the run at the executor", func() bool { return server.Running() == 0 })
}

// A job ends while there is no leader. The next leader must stop the job's run at the executor.
func TestRunsOfEndedJobsAreNotTakenOver(t *testing.T) {
	r := newRig(t)
	server := r.startExecutor(t, executor.Settings{})
	half := haltBefore(3)
	defer close(half.release)
	r.replicas.set(half.answer(), nil)
	r.run(t)
	r.submit(t, "a", 1, nil)
	<-half.reached
	r.group.setLeader(1, false)
	r.propose(t, &wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: "a"}}})
	if server.Running() != 1 {
		t.Error("the executor does not drive the run without a leader, want it to go on")
	}
	r.group.setLeader(2, true)
	r.until(t, "the end of the run at the executor", func() bool { return server.Running() == 0 })
	if calls := r.replicas.callsTo(""); len(calls) != 1 {
		t.Errorf("%d calls to the replica, want 1", len(calls))
	}
}

// The loss of the connection to an executor, or of a run that the executor has dropped, must not count against the
// replica or the item.
func TestLostRunsAreNotBlamedOnReplicaOrItem(t *testing.T) {
	lost := errors.Join(executorclient.ErrLost, io.EOF)
	for _, outcome := range []replica.Outcome{
		{Verdict: verdict.MayHaveRun, Err: lost}, {Verdict: verdict.DidNotRun, Err: lost},
		executor.OutcomeOf(&wire.RunEnded{Verdict: uint32(verdict.MayHaveRun), NotHeld: true}),
	} {
		c := &call{stream: &stream{text: newText()}, outcome: outcome}
		if c.ending = c.endingOf(outcome, false); c.ending != schedule.Lost {
			t.Errorf("verdict %v: ending %v, want lost", outcome.Verdict, c.ending)
		}
		if ending := c.guardEnding(); ending != poisonguard.Stopped {
			t.Errorf("verdict %v: ending for the guard %v, want stopped", outcome.Verdict, ending)
		}
	}
}

// An executor rejects an order for a reason of its own, for example because its table is older. This must not count
// against the replica or the item.
func TestRejectedOrdersAreNotBlamedOnReplicaOrItem(t *testing.T) {
	outcome := executor.OutcomeOf(&wire.RunEnded{Verdict: uint32(verdict.DidNotRun), NotAdmitted: true})
	c := &call{stream: &stream{text: newText()}, outcome: outcome}
	if c.ending = c.endingOf(outcome, false); c.ending != schedule.Stopped {
		t.Errorf("ending %v, want stopped", c.ending)
	}
	for _, refusal := range []executor.Refusal{executor.Held, executor.Superseded, executor.NotPermitted + 1} {
		outcome := executor.OutcomeOf(&wire.RunEnded{Verdict: uint32(verdict.DidNotRun), NotAdmitted: true, Refusal: uint32(refusal)})
		if ending := c.endingOf(outcome, false); ending != schedule.Lost {
			t.Errorf("refusal %d: ending %v, want lost, after which the item waits", refusal, ending)
		}
	}
}

// An executor at its maximum number of runs rejects the next one. The leader must drive that run itself at once, while
// the executor goes on with the other.
func TestLeaderDrivesRunsThatFullExecutorRejects(t *testing.T) {
	r := newRig(t)
	r.startExecutor(t, executor.Settings{MaximumRuns: 1})
	release := make(chan struct{})
	releaseAnswers := sync.OnceFunc(func() { close(release) })
	defer releaseAnswers()
	r.replicas.set(func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return sendEvents(call, sink, testEvents, 5)
	}, nil)
	r.run(t)
	r.submit(t, "a", 2, nil)
	r.until(t, "both runs at the replica", func() bool { return len(r.replicas.callsTo("r1")) == 2 })
	releaseAnswers()
	results := r.await(t, "a", 2)
	wantWhole(t, results["i0"], "[5]")
	wantWhole(t, results["i1"], "[5]")
	r.until(t, "the ends of both runs", func() bool { return len(eventsOf[*events.RunEnded](r)) >= 2 })
	drivers := map[string]int{}
	for _, ended := range eventsOf[*events.RunEnded](r) {
		drivers[ended.Executor]++
	}
	if len(drivers) != 2 || drivers["e1"] != 1 || drivers[""] != 1 {
		t.Errorf("runs by driver: %v, want one by the executor and one by the leader", drivers)
	}
}

// A load report that an executor forwarded must be dated by its arrival at the executor.
func TestForwardedLoadReportsKeepTheirArrivalTime(t *testing.T) {
	s := &stream{text: newText(), clock: func() time.Duration { return 10 * time.Second }}
	s.ReceivedAt(9 * time.Second)
	if err := s.Head(replica.Head{Status: 200, Stream: true, Load: &loadreport.Report{Pace: 2}}); err != nil {
		t.Fatal(err)
	}
	if seen := s.loadReport.Load(); seen == nil || seen.Seen != 9*time.Second || seen.Pace != 2 {
		t.Errorf("load report %+v, want one seen at 9 s with pace 2", seen)
	}
}
