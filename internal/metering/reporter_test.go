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

var errAway = errors.New("away")

// fakeControl is the control group's ledger; lost commands are carried out and get no answer.
type fakeControl struct {
	mutex  sync.Mutex
	ledger *usage.Ledger
	away   bool
	lose   int // answers to commands
}

func (f *fakeControl) Execute(_ context.Context, _ uint32, command *wire.Command) (*wire.Result, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.away {
		return nil, errAway
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
	if f.lose > 0 {
		f.lose--
		return nil, errAway
	}
	if err != nil {
		return &wire.Result{Kind: &wire.Result_Invalid{Invalid: err.Error()}}, nil
	}
	return &wire.Result{Kind: &wire.Result_Usage{Usage: view}}, nil
}

func (f *fakeControl) Query(context.Context, uint32, *wire.Query) (*wire.View, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.away {
		return nil, errAway
	}
	return &wire.View{Kind: &wire.View_Usage{Usage: f.ledger.View()}}, nil
}

// fakeReceiver takes reports; it checks what must hold of them all.
type fakeReceiver struct {
	t       *testing.T
	mutex   sync.Mutex
	highest uint64
	taken   map[uint64]map[string]uint64
	calls   int
	fail    int    // calls that are carried out and get no answer
	after   func() // called after each call; may be nil
	away    bool
}

func (f *fakeReceiver) Report(_ context.Context, token uint64, window *wire.UsageWindow) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	if f.after != nil {
		defer f.after()
	}
	switch {
	case f.away:
		return errAway
	case token < f.highest:
		return ErrSuperseded
	}
	f.highest = token
	if before, known := f.taken[window.GetWindow()]; known && !maps.Equal(before, figures(window)) {
		f.t.Errorf("window %d: %v, then %v", window.GetWindow(), before, figures(window))
	}
	f.taken[window.GetWindow()] = figures(window)
	if f.fail > 0 {
		f.fail--
		return errAway
	}
	return nil
}

// right is a node's right to report.
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

// newReportFixture starts two nodes that may report and one process that counts, in a synctest bubble.
func newReportFixture(t *testing.T) *reportFixture {
	f := &reportFixture{control: &fakeControl{ledger: usage.NewLedger()}, receiver: &fakeReceiver{t: t, taken: map[uint64]map[string]uint64{}}}
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

// runFor counts one request a second for a while.
func (f *reportFixture) runFor(seconds int) {
	for range seconds {
		f.flusher.Count("one", time.Now())
		f.flusher.Count("", time.Now())
		time.Sleep(time.Second)
	}
}

// check wants every window between the first and the last that was reported, each with its five requests but the first.
func (f *reportFixture) check(t *testing.T, least int) {
	t.Helper()
	f.receiver.mutex.Lock()
	defer f.receiver.mutex.Unlock()
	first, last := uint64(1<<63), uint64(0)
	for window := range f.receiver.taken {
		first, last = min(first, window), max(last, window)
	}
	if len(f.receiver.taken) < least || uint64(len(f.receiver.taken)) != last-first+1 {
		t.Errorf("%d windows are reported, of %d to %d", len(f.receiver.taken), first, last)
	}
	for window, counted := range f.receiver.taken {
		if window > first && !maps.Equal(counted, map[string]uint64{"one": 5}) {
			t.Errorf("window %d is reported with %v", window, counted)
		}
	}
}

// TestEachWindowIsReportedWithItsRequests, within the time in which it is due, with as few calls as there are windows.
func TestEachWindowIsReportedWithItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.rights[0].set(1)
		f.runFor(60)
		f.check(t, 10)
		if f.receiver.calls != len(f.receiver.taken) {
			t.Errorf("%d calls for %d windows", f.receiver.calls, len(f.receiver.taken))
		}
	})
}

// TestFiguresAreTheSameWhoeverReports: the right changes hands while answers of the control group and of the receiver are lost,
// and both are away for a while; a node that still believes to hold the right is refused once and is still.
func TestFiguresAreTheSameWhoeverReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.rights[0].set(1)
		f.runFor(13)
		f.control.mutex.Lock()
		f.control.lose = 2
		f.control.mutex.Unlock()
		f.receiver.mutex.Lock()
		f.receiver.fail = 3
		f.receiver.mutex.Unlock()
		f.runFor(10)
		f.rights[1].set(2) // the first node does not know yet
		f.runFor(20)
		f.rights[0].set(0)
		f.receiver.mutex.Lock()
		f.receiver.away = true
		f.receiver.mutex.Unlock()
		f.runFor(20)
		f.receiver.mutex.Lock()
		f.receiver.away = false
		f.receiver.mutex.Unlock()
		f.rights[1].set(0)
		f.rights[0].set(3)
		f.runFor(30)
		f.check(t, 15)
	})
}

// TestCallsAreFewWhileTheReceiverIsAway, since they have a common rate.
func TestCallsAreFewWhileTheReceiverIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.receiver.away = true
		f.rights[0].set(1)
		f.runFor(60)
		f.receiver.mutex.Lock()
		defer f.receiver.mutex.Unlock()
		if calls := f.receiver.calls; calls < 20 || calls > 40 {
			t.Errorf("%d calls in 60 s", calls)
		}
	})
}

// TestRefusedTokenIsNotUsedAgain.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.receiver.highest = 5
		f.rights[0].set(4)
		f.runFor(40)
		if f.receiver.calls != 1 || len(f.receiver.taken) != 0 {
			t.Errorf("%d calls, %d windows taken", f.receiver.calls, len(f.receiver.taken))
		}
		f.rights[0].set(6)
		f.runFor(15)
		f.check(t, 8)
	})
}

// TestLedgerThatIsCutOffLosesNothing: counts go again until they are taken.
func TestLedgerThatIsCutOffLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.rights[0].set(1)
		f.runFor(11)
		f.control.mutex.Lock()
		f.control.away = true
		f.control.mutex.Unlock()
		f.runFor(3)
		f.control.mutex.Lock()
		f.control.away = false
		f.control.mutex.Unlock()
		f.runFor(20)
		f.check(t, 4)
	})
}

// TestRightIsLookedAtBeforeEachReport: a node that loses it between two reports of one turn sends no more.
func TestRightIsLookedAtBeforeEachReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReportFixture(t)
		f.receiver.away = true
		f.rights[0].set(1)
		f.runFor(40)
		f.receiver.mutex.Lock()
		f.receiver.away, f.receiver.calls = false, 0
		f.receiver.after = func() { f.rights[0].set(0) }
		f.receiver.mutex.Unlock()
		f.runFor(10)
		f.receiver.mutex.Lock()
		defer f.receiver.mutex.Unlock()
		if f.receiver.calls != 1 {
			t.Errorf("%d reports, one of them with the right", f.receiver.calls)
		}
	})
}

// TestHandOverThatIsLostGoesAgain, also when nothing new is counted in its window.
func TestHandOverThatIsLostGoesAgain(t *testing.T) {
	control := &fakeControl{ledger: usage.NewLedger(), away: true}
	flusher, err := NewFlusher(FlusherConfig{Control: control, Reporter: "g/1", Length: length, Clock: bubbleClock()})
	if err != nil {
		t.Fatal(err)
	}
	flusher.Count("one", time.Now())
	flusher.Flush(t.Context())
	control.away = false
	flusher.Flush(t.Context())
	if control.ledger.View().GetOldest() == 0 {
		t.Error("the count is lost")
	}
}

// figures are a window's requests by tenant.
func figures(window *wire.UsageWindow) map[string]uint64 {
	counted := map[string]uint64{}
	for _, count := range window.GetCounts() {
		counted[count.GetTenant()] = count.GetRequests()
	}
	return counted
}

// bubbleClock is a clock that follows the test's virtual time.
func bubbleClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// The time of day and the boot clock count the time for which a machine is suspended, and the steady clock does not. A flusher that held
// the time of day by the steady clock took it for stepped after a suspension, and counted in windows 5 s behind for a minute.
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
			t.Errorf("counted in %v, the second request is of window %d", open, usage.WindowOf(wall(), length))
		}
	})
}
