package metering

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/usage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const length = 5 * time.Second

var errUnavailable = errors.New("away")

// fakeControl serves the control group's ledger. Commands whose answer is lost are executed nevertheless.
type fakeControl struct {
	mutex       sync.Mutex
	ledger      *usage.Ledger
	unavailable bool
	lostAnswers int // number of answers to commands that are lost next
}

func (f *fakeControl) Execute(_ context.Context, _ uint32, command *wire.Command) (*wire.Result, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unavailable {
		return nil, errUnavailable
	}
	var view *wire.UsageView
	var err error
	switch kind := command.GetKind().(type) {
	case *wire.Command_UsageAdd:
		view, err = f.ledger.Add(kind.UsageAdd)
	case *wire.Command_UsageSeal:
		view, err = f.ledger.Seal(kind.UsageSeal)
	case *wire.Command_UsageDeliver:
		view = f.ledger.Deliver(kind.UsageDeliver)
	}
	if f.lostAnswers > 0 {
		f.lostAnswers--
		return nil, errUnavailable
	}
	if err != nil {
		return &wire.Result{Kind: &wire.Result_Invalid{Invalid: err.Error()}}, nil
	}
	return &wire.Result{Kind: &wire.Result_Usage{Usage: view}}, nil
}

func (f *fakeControl) Query(context.Context, uint32, *wire.Query) (*wire.View, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unavailable {
		return nil, errUnavailable
	}
	return &wire.View{Kind: &wire.View_Usage{Usage: f.ledger.View()}}, nil
}

// fakeReceiver accepts reports, and fails the test if two reports of a window differ.
type fakeReceiver struct {
	t           *testing.T
	mutex       sync.Mutex
	highest     uint64
	accepted    map[uint64]map[string]uint64
	calls       int
	lostAnswers int    // number of calls that are executed next but whose answer is lost
	afterReport func() // called after each Report; may be nil
	unavailable bool
}

func (f *fakeReceiver) Report(_ context.Context, token uint64, window *wire.UsageWindow) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	if f.afterReport != nil {
		defer f.afterReport()
	}
	switch {
	case f.unavailable:
		return errUnavailable
	case token < f.highest:
		return ErrSuperseded
	}
	f.highest = token
	if before, known := f.accepted[window.GetWindow()]; known && !maps.Equal(before, figures(window)) {
		f.t.Errorf("window %d: %v, then %v", window.GetWindow(), before, figures(window))
	}
	f.accepted[window.GetWindow()] = figures(window)
	if f.lostAnswers > 0 {
		f.lostAnswers--
		return errUnavailable
	}
	return nil
}

// right is a node's right to report; token 0 stands for none.
type right struct {
	mutex sync.Mutex
	token uint64
}

func (r *right) now() (uint64, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.token, r.token > 0
}

func (r *right) set(token uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.token = token
}

type reportFixture struct {
	control  *fakeControl
	receiver *fakeReceiver
	rights   []*right
	flusher  *Flusher
}

// newReportFixture starts two nodes that may report and one process that counts. It must be called in a synctest
// bubble.
func newReportFixture(t *testing.T) *reportFixture {
	f := &reportFixture{control: &fakeControl{ledger: usage.NewLedger()}, receiver: &fakeReceiver{t: t, accepted: map[uint64]map[string]uint64{}}}
	ctx, cancel := context.WithCancel(t.Context())
	var routines sync.WaitGroup
	t.Cleanup(func() { cancel(); routines.Wait() })
	for range 2 {
		held := &right{}
		f.rights = append(f.rights, held)
		reporter, err := NewReporter(ReporterConfig{Control: f.control, Sender: f.receiver, Right: held.now, Length: length, Settle: SettleTime(2 * length), Clock: bubbleClock()})
		if err != nil {
			t.Fatal(err)
		}
		routines.Go(func() { reporter.Run(ctx) })
	}
	flusher, err := NewFlusher(FlusherConfig{Control: f.control, Reporter: "g/1", Length: length, Clock: bubbleClock()})
	if err != nil {
		t.Fatal(err)
	}
	f.flusher = flusher
	routines.Go(func() { flusher.Run(ctx) })
	return f
}

// runFor counts one request of a tenant and one anonymous request per second for the given time.
func (f *reportFixture) runFor(seconds int) {
	for range seconds {
		f.flusher.Count("one", time.Now())
		f.flusher.Count("", time.Now())
		time.Sleep(time.Second)
	}
}

// check fails unless every window from the first to the last reported one was reported, at least the given number of
// them, with five requests in each but the first.
func (f *reportFixture) check(t *testing.T, least int) {
	t.Helper()
	f.receiver.mutex.Lock()
	defer f.receiver.mutex.Unlock()
	first, last := uint64(1<<63), uint64(0)
	for window := range f.receiver.accepted {
		first, last = min(first, window), max(last, window)
	}
	if len(f.receiver.accepted) < least || uint64(len(f.receiver.accepted)) != last-first+1 {
		t.Errorf("%d windows were reported, from %d to %d; windows are missing", len(f.receiver.accepted), first, last)
	}
	for window, counted := range f.receiver.accepted {
		if window > first && !maps.Equal(counted, map[string]uint64{"one": 5}) {
			t.Errorf("window %d was reported with %v, want one: 5", window, counted)
		}
	}
}

// TestEachWindowIsReportedWithItsRequests guards against missing windows and requests, and against more calls to the
// receiver than there are windows.
func TestEachWindowIsReportedWithItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.rights[0].set(1)
		f.runFor(60)
		f.check(t, 10)
		if f.receiver.calls != len(f.receiver.accepted) {
			t.Errorf("%d calls for %d windows, want one call each", f.receiver.calls, len(f.receiver.accepted))
		}
	})
}

// TestTakeoverReportsTheSameFigures guards against figures that depend on the reporting node. The right changes hands
// while answers of the control group and the receiver are lost and the receiver is unavailable for a while. A node
// that wrongly believes that it still holds the right is refused once and then stops.
func TestTakeoverReportsTheSameFigures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.rights[0].set(1)
		f.runFor(13)
		f.control.mutex.Lock()
		f.control.lostAnswers = 2
		f.control.mutex.Unlock()
		f.receiver.mutex.Lock()
		f.receiver.lostAnswers = 3
		f.receiver.mutex.Unlock()
		f.runFor(10)
		f.rights[1].set(2) // the first node still believes that it holds the right
		f.runFor(20)
		f.rights[0].set(0)
		f.receiver.mutex.Lock()
		f.receiver.unavailable = true
		f.receiver.mutex.Unlock()
		f.runFor(20)
		f.receiver.mutex.Lock()
		f.receiver.unavailable = false
		f.receiver.mutex.Unlock()
		f.rights[1].set(0)
		f.rights[0].set(3)
		f.runFor(30)
		f.check(t, 15)
	})
}

// TestRetriesBackOffWhileReceiverIsDown guards against retries that use up the rate limit that all reports share.
func TestRetriesBackOffWhileReceiverIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.receiver.unavailable = true
		f.rights[0].set(1)
		f.runFor(60)
		f.receiver.mutex.Lock()
		defer f.receiver.mutex.Unlock()
		if calls := f.receiver.calls; calls < 20 || calls > 40 {
			t.Errorf("%d calls in 60 s, want 20 to 40", calls)
		}
	})
}

// TestRefusedTokenIsNotUsedAgain guards against a superseded node that goes on reporting under the refused token. It
// must report again only with a higher one.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.receiver.highest = 5
		f.rights[0].set(4)
		f.runFor(40)
		if f.receiver.calls != 1 || len(f.receiver.accepted) != 0 {
			t.Errorf("%d calls, %d windows accepted; want one call and no window", f.receiver.calls, len(f.receiver.accepted))
		}
		f.rights[0].set(6)
		f.runFor(15)
		f.check(t, 8)
	})
}

// TestControlGroupOutageLosesNoCounts guards against counts that are lost while the control group is unavailable.
// They must be sent again until they are accepted.
func TestControlGroupOutageLosesNoCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.rights[0].set(1)
		f.runFor(11)
		f.control.mutex.Lock()
		f.control.unavailable = true
		f.control.mutex.Unlock()
		f.runFor(3)
		f.control.mutex.Lock()
		f.control.unavailable = false
		f.control.mutex.Unlock()
		f.runFor(20)
		f.check(t, 4)
	})
}

// TestRightIsCheckedBeforeEachReport guards against a node that loses the right between two reports of one poll and
// sends the second one nevertheless.
func TestRightIsCheckedBeforeEachReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.receiver.unavailable = true
		f.rights[0].set(1)
		f.runFor(40)
		f.receiver.mutex.Lock()
		f.receiver.unavailable, f.receiver.calls = false, 0
		f.receiver.afterReport = func() { f.rights[0].set(0) }
		f.receiver.mutex.Unlock()
		f.runFor(10)
		f.receiver.mutex.Lock()
		defer f.receiver.mutex.Unlock()
		if f.receiver.calls != 1 {
			t.Errorf("%d reports were sent, want only the one with the right", f.receiver.calls)
		}
	})
}

// TestFailedFlushIsSentAgain guards against counts that are lost with a failed hand-over if nothing new is counted in
// their window.
func TestFailedFlushIsSentAgain(t *testing.T) {
	control := &fakeControl{ledger: usage.NewLedger(), unavailable: true}
	flusher, err := NewFlusher(FlusherConfig{Control: control, Reporter: "g/1", Length: length, Clock: bubbleClock()})
	if err != nil {
		t.Fatal(err)
	}
	flusher.Count("one", time.Now())
	flusher.Flush(t.Context())
	control.unavailable = false
	flusher.Flush(t.Context())
	if control.ledger.View().GetOldest() == 0 {
		t.Error("the ledger has no counts after the second flush")
	}
}

// figures returns a window's requests by tenant.
func figures(window *wire.UsageWindow) map[string]uint64 {
	counted := map[string]uint64{}
	for _, count := range window.GetCounts() {
		counted[count.GetTenant()] = count.GetRequests()
	}
	return counted
}

// bubbleClock returns a clock that follows the test's virtual time.
func bubbleClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// TestSuspensionMovesNoWindow guards against a clock that stops during a suspension. The time of day and the boot
// clock include the time for which a machine is suspended, whereas a steady clock does not. A flusher that compared
// the time of day with the steady clock took the time of day for stepped after a suspension, and for a minute counted
// in windows 5 s behind.
func TestSuspensionMovesNoWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &fakeControl{ledger: usage.NewLedger()}
		suspended, steady := time.Duration(0), bubbleClock()
		wall := func() time.Time { return time.Now().Round(0).Add(suspended) }
		flusher, err := NewFlusher(FlusherConfig{Control: control, Reporter: "g/1", Length: length, Now: wall,
			Clock: func() time.Duration { return steady() + suspended }})
		if err != nil {
			t.Fatal(err)
		}
		flusher.Count("one", wall())
		suspended = 5 * time.Second
		flusher.Count("one", wall())
		flusher.Flush(t.Context())
		view := control.ledger.Snapshot()
		if open := view.GetOpen(); len(open) != 2 || open[1].GetWindow() != usage.WindowOf(wall(), length) {
			t.Errorf("requests were counted in %v, want the second in window %d", open, usage.WindowOf(wall(), length))
		}
	})
}
