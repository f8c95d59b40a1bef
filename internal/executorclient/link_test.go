package executorclient

import (
	"errors"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// testLink is an open link of a leader of term 3 without a connection: the test plays the executor.
type testLink struct {
	*link
	ignored int // ignored reports
}

func newTestLink(t *testing.T) *testLink {
	t.Helper()
	made := &testLink{}
	fleet, err := New(Config{Term: 3, Peers: func() []Peer { return nil }, OnIgnoredReport: func() { made.ignored++ }})
	if err != nil {
		t.Fatal(err)
	}
	made.link = newLink(fleet, Peer{Name: "e1"}, func() {})
	made.reconcile(&wire.RunWelcome{Accepted: true})
	return made
}

// begin orders the run that the tests use.
func (l *testLink) begin(t *testing.T, number uint64) *followedRun {
	t.Helper()
	run := newFollowedRun(executor.Order{Term: 3, Number: number})
	start := startOrder()
	start.Number = number
	if !l.link.begin(start.GetKey(), run, &wire.RunOrder{Kind: &wire.RunOrder_Start{Start: start}}) {
		t.Fatal("the run was not ordered")
	}
	return run
}

// reportOf returns a report with a part of the answer of the run that order started, and with its end.
func reportOf(order executor.Order, data string) *wire.RunReport {
	key := startOrder().GetKey()
	return &wire.RunReport{
		Progress: []*wire.RunProgress{{Key: key, Order: executor.WireOrder(order), Data: []byte(data)}},
		Ended:    []*wire.RunEnded{{Key: key, Order: executor.WireOrder(order), Whole: true}},
	}
}

// TestReportsReachOnlyTheirRun: the link was frozen, the item runs again, and reports about its former run arrive late.
// They must not reach the new run.
func TestReportsReachOnlyTheirRun(t *testing.T) {
	l := newTestLink(t)
	former := l.begin(t, 1)
	l.unfollow(keyOf(startOrder().GetKey()), former)
	run := l.begin(t, 2)
	for _, other := range []executor.Order{former.order, {Term: 2, Number: 2}, {}} {
		l.applyReport(reportOf(other, "former "))
	}
	if pieces, outcome := run.takeQueued(); len(pieces) > 0 || outcome != nil {
		t.Errorf("the run received %v and %v of other runs", pieces, outcome)
	}
	if l.ignored != 6 {
		t.Errorf("%d reports counted as ignored, want 6", l.ignored)
	}
	l.applyReport(reportOf(run.order, "own"))
	if pieces, outcome := run.takeQueued(); len(pieces) != 1 || string(pieces[0].data) != "own" || outcome == nil || !outcome.Complete {
		t.Errorf("the run received %v, %v, want its own report", pieces, outcome)
	}
}

// TestHeldRunsOfOtherOrders: after a reconnect the executor holds a run of the item that another order started. That
// run must be stopped, and the followed run must end as lost instead of waiting for reports.
func TestHeldRunsOfOtherOrders(t *testing.T) {
	l := newTestLink(t)
	run := l.begin(t, 2)
	<-l.orders
	l.reconcile(&wire.RunWelcome{Accepted: true, Runs: []*wire.HeldRun{{Key: startOrder().GetKey(), Term: 3, Number: 1}}})
	if _, outcome := run.takeQueued(); outcome == nil || !errors.Is(outcome.Err, ErrLost) {
		t.Errorf("outcome %v, want ErrLost", outcome)
	}
	select {
	case order := <-l.orders:
		if executor.OrderOf(order.GetStop().GetOrder()) != (executor.Order{Term: 3, Number: 1}) {
			t.Errorf("order %v, want a stop of order 1", order)
		}
	default:
		t.Error("the run of the other order was not stopped")
	}
}

// TestProtocolsAreNotMixed: an executor of another protocol version must get no runs; in version 1, reports do not name
// their order.
func TestProtocolsAreNotMixed(t *testing.T) {
	for _, one := range []struct {
		welcome *wire.RunWelcome
		want    error
	}{
		{&wire.RunWelcome{Accepted: true}, errProtocol},
		{&wire.RunWelcome{Accepted: true, Protocol: executor.Protocol + 1}, errProtocol},
		{&wire.RunWelcome{Protocol: executor.Protocol}, errRefused},
		{&wire.RunWelcome{Accepted: true, Protocol: executor.Protocol}, nil},
	} {
		if err := checkWelcome(one.welcome); !errors.Is(err, one.want) {
			t.Errorf("welcome %v: %v, want %v", one.welcome, err, one.want)
		}
	}
}

// TestHeardIsTheLastReport: what a leader knows of a run ends with the executor's last report, however much time has
// passed since. LastReportAt must not advance without a report.
func TestHeardIsTheLastReport(t *testing.T) {
	l := newTestLink(t)
	now := 10 * time.Second
	l.fleet.config.Clock = func() time.Duration { return now }
	run := l.begin(t, 1)
	at := &Executor{link: l.link}
	if heard := at.LastReportAt(); heard != 0 {
		t.Errorf("heard at %v before the first report, want 0", heard)
	}
	l.applyReport(&wire.RunReport{})
	now += time.Second
	if heard := at.LastReportAt(); heard != 10*time.Second {
		t.Errorf("heard at %v, want 10s", heard)
	}
	l.loseAll(ErrLost)
	if _, outcome := run.takeQueued(); outcome == nil || !errors.Is(outcome.Err, ErrLost) {
		t.Errorf("outcome %v, want ErrLost", outcome)
	}
}

// TestLoadReportsReachTheLeader: the load report of a replica must be delivered with the time at which the executor
// received it, not the time at which the link delivered it.
func TestLoadReportsReachTheLeader(t *testing.T) {
	l := newTestLink(t)
	l.fleet.config.Clock = func() time.Duration { return 10 * time.Second }
	run := l.begin(t, 1)
	head := &wire.RunHead{Status: 200, Load: &wire.RunLoad{Running: 3, Slots: 4, Pace: 2.5, AgeMicros: 400_000}}
	l.applyReport(&wire.RunReport{Progress: []*wire.RunProgress{{Key: startOrder().GetKey(), Order: executor.WireOrder(run.order), Head: head}}})
	pieces, _ := run.takeQueued()
	sink := &collectingSink{}
	if err := deliver(pieces, sink); err != nil {
		t.Fatal(err)
	}
	if load := sink.head.Load; load == nil || load.Running != 3 || load.Slots != 4 || load.Pace != 2.5 {
		t.Errorf("load %+v, want 3 running, 4 slots, pace 2.5", load)
	}
	if sink.came != 10*time.Second-400*time.Millisecond {
		t.Errorf("received at %v, want 9.6s", sink.came)
	}
}

// TestLateExecutorsGetNoRuns: an executor whose report is late may be frozen. Runs already there wait for it for a
// while, but new runs must go elsewhere.
func TestLateExecutorsGetNoRuns(t *testing.T) {
	l := newTestLink(t)
	now := 10 * time.Second
	l.fleet.config.Clock = func() time.Duration { return now }
	l.reconcile(&wire.RunWelcome{Accepted: true})
	for _, step := range []struct {
		pass   time.Duration
		report bool
		usable bool
	}{
		{0, false, true}, // the welcome counts like a report
		{lateAfter, false, true},
		{time.Millisecond, false, false},
		{0, true, true},
		{lateAfter + time.Millisecond, false, false},
	} {
		now += step.pass
		if step.report {
			l.applyReport(&wire.RunReport{})
		}
		if l.isUsable() != step.usable {
			t.Errorf("at %v: usable %v, want the opposite", now, !step.usable)
		}
	}
}

// TestOnlyNotPermittedPausesAnExecutor: an executor whose routing table or lease is behind would refuse the next run
// too, and must get no runs for a while. A refusal that concerns one item, lack of capacity, or a run that is no longer
// followed must not pause it.
func TestOnlyNotPermittedPausesAnExecutor(t *testing.T) {
	for _, one := range []struct {
		refusal executor.Refusal
		number  uint64 // number of the refused order; the followed run has number 1
		paused  bool
	}{
		{executor.NotPermitted, 1, true},
		{executor.Accepted, 1, true}, // from an older build, which reports no reason
		{executor.NotPermitted, 9, false},
		{executor.Held, 1, false},
		{executor.Full, 1, false},
		{executor.Leaving, 1, false},
		{executor.Superseded, 1, false},
		{executor.NotPermitted + 1, 1, false}, // from a newer build
	} {
		l := newTestLink(t)
		l.fleet.config.Clock = func() time.Duration { return 10 * time.Second }
		l.reconcile(&wire.RunWelcome{Accepted: true})
		run := l.begin(t, 1)
		order := executor.WireOrder(executor.Order{Term: run.order.Term, Number: one.number})
		ended := &wire.RunEnded{Key: startOrder().GetKey(), Order: order, NotAdmitted: true, Refusal: uint32(one.refusal)}
		l.applyReport(&wire.RunReport{Ended: []*wire.RunEnded{ended}})
		if l.isUsable() == one.paused {
			t.Errorf("refusal %d of order %d: paused %v, want the opposite", one.refusal, one.number, !one.paused)
		}
		if _, outcome := run.takeQueued(); (outcome != nil) != (one.number == 1) {
			t.Errorf("refusal %d of order %d: outcome %v, want one only for order 1", one.refusal, one.number, outcome)
		}
	}
}
