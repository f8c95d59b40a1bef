package usage

import (
	"fmt"
	"maps"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

func add(reporter string, window uint64, tenant string, requests uint64) *wire.UsageAdd {
	return &wire.UsageAdd{Reporter: reporter, Windows: []*wire.UsageWindow{{Window: window, Counts: []*wire.UsageCount{{Tenant: tenant, Requests: requests}}}}}
}

// mustAdd adds counts that the ledger has to accept.
func mustAdd(t *testing.T, ledger *Ledger, command *wire.UsageAdd) *wire.UsageView {
	t.Helper()
	view, err := ledger.Add(command)
	if err != nil {
		t.Fatal(err)
	}
	return view
}

func figures(window *wire.UsageWindow) map[string]uint64 {
	counted := map[string]uint64{}
	for _, count := range window.GetCounts() {
		counted[count.GetTenant()] = count.GetRequests()
	}
	return counted
}

// TestSealedFiguresNeverChange guards against figures that differ between reports: repeated and late copies of counts
// must change nothing, counts that arrive after the seal must be dropped, and a window without counts must be sealed
// as well.
func TestSealedFiguresNeverChange(t *testing.T) {
	ledger := NewLedger()
	mustAdd(t, ledger, add("g1/a", 5, "one", 3))
	mustAdd(t, ledger, add("g1/a", 5, "one", 7)) // the reporter's new total
	mustAdd(t, ledger, add("g1/a", 5, "one", 3)) // a delayed copy of an older total
	mustAdd(t, ledger, add("g1/b", 5, "one", 2)) // the same process after a restart
	mustAdd(t, ledger, add("g2/a", 5, "two", 1))
	if oldest := ledger.View().GetOldest(); oldest != 5 {
		t.Errorf("oldest window %d, want 5", oldest)
	}
	view, err := ledger.Seal(&wire.UsageSeal{First: 5, Through: 6})
	if err != nil || view.GetNext() != 7 || len(view.GetPending()) != 2 {
		t.Fatal(view, err)
	}
	if got := figures(view.GetPending()[0]); !maps.Equal(got, map[string]uint64{"one": 9, "two": 1}) {
		t.Errorf("window 5 was sealed with %v, want one: 9, two: 1", got)
	}
	if late := mustAdd(t, ledger, add("g2/a", 5, "two", 4)); late.GetNext() != 7 {
		t.Errorf("the answer to a late count is %v, want 7 as the next window", late)
	}
	again, err := ledger.Seal(&wire.UsageSeal{First: 5, Through: 6})
	if err != nil || !proto.Equal(again, view) {
		t.Errorf("a repeated seal returned %v, %v; want the same view", again, err)
	}
	if left := ledger.Deliver(&wire.UsageDeliver{Window: 5}); len(left.GetPending()) != 1 || left.GetPending()[0].GetWindow() != 6 {
		t.Errorf("after a delivery: %v, want only window 6 pending", left)
	}
	if left := ledger.Deliver(&wire.UsageDeliver{Window: 5}); len(left.GetPending()) != 1 {
		t.Errorf("after a repeated delivery: %v, want one window pending", left)
	}
}

// TestFirstSealStartsAtOldestPlausibleWindow covers counts that arrived after the sealing node had chosen the first
// window. They must be sealed too, but not the counts of a process whose clock is far wrong.
func TestFirstSealStartsAtOldestPlausibleWindow(t *testing.T) {
	ledger := NewLedger()
	mustAdd(t, ledger, add("g1/a", 1, "one", 1))
	mustAdd(t, ledger, add("g1/a", 9_999, "one", 4))
	view, err := ledger.Seal(&wire.UsageSeal{First: 10_000, Through: 10_000})
	if err != nil || len(view.GetPending()) != 2 || view.GetPending()[0].GetWindow() != 9_999 || figures(view.GetPending()[0])["one"] != 4 {
		t.Errorf("Seal returned %v, %v; want windows 9999 with 4 requests and 10000", view, err)
	}
}

func TestLedgerIsBounded(t *testing.T) {
	ledger := NewLedger()
	for _, command := range []*wire.UsageAdd{add("", 1, "one", 1), add("g", 1, string(make([]byte, maximumNameBytes+1)), 1)} {
		if _, err := ledger.Add(command); err == nil {
			t.Errorf("invalid command %.40v was accepted", command)
		}
	}
	for window := range uint64(maximumOpenWindows) {
		mustAdd(t, ledger, add("g", window+1, "one", 1))
	}
	if _, err := ledger.Add(add("g", maximumOpenWindows+1, "one", 1)); err == nil {
		t.Error("more windows than the limit were opened")
	}
	if _, err := ledger.Seal(&wire.UsageSeal{First: 2, Through: 1}); err == nil {
		t.Error("a seal of an empty range was accepted")
	}
	for ledger.View().GetNext() <= maximumPendingWindows+1 {
		before := ledger.View().GetNext()
		if view, err := ledger.Seal(&wire.UsageSeal{First: 1, Through: 1 << 40}); err != nil || view.GetNext() == before {
			break
		}
	}
	if pending := len(ledger.View().GetPending()); pending != maximumPendingWindows {
		t.Errorf("%d windows are pending, want the limit", pending)
	}
	if _, err := ledger.Add(add("g", ledger.View().GetNext()+maximumOpenWindows, "one", 1)); err == nil {
		t.Error("a window too far ahead of the sealed ones was opened")
	}
}

// TestEachRequestIsCountedAtMostOnce simulates reporters whose hand-overs are lost, repeated and delayed, and a
// ledger that is restored from its snapshot at random times. The figures of a sealed window must equal the counts
// that had arrived by the time of the seal, and must never change.
func TestEachRequestIsCountedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger, meters := NewLedger(), map[string]*Meter{}
		arrived := map[uint64]map[string]uint64{} // the counts that arrived, by window and reporter
		sealed := map[uint64]map[string]uint64{}
		var copies []*wire.UsageAdd
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "reporter")
			if meters[name] == nil {
				meters[name] = NewMeter(1)
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				window := ledger.View().GetNext() + rapid.Uint64Range(1, 4).Draw(t, "window")
				meters[name].Count("t", EndOf(window, 1).Add(-1))
			case 2:
				command := &wire.UsageAdd{Reporter: name, Windows: meters[name].Unsent()}
				copies = append(copies, command)
				if rapid.Bool().Draw(t, "lost") {
					meters[name].Lost(command.GetWindows())
					break
				}
				deliver(t, ledger, command, arrived)
			case 3:
				if len(copies) > 0 {
					deliver(t, ledger, rapid.SampledFrom(copies).Draw(t, "copy"), arrived)
				}
			case 4:
				view, err := ledger.Seal(&wire.UsageSeal{First: 1, Through: ledger.View().GetNext() + 1})
				if err != nil {
					t.Fatal(err)
				}
				for _, window := range view.GetPending() {
					if before, known := sealed[window.GetWindow()]; known && !maps.Equal(before, figures(window)) {
						t.Fatalf("window %d changed from %v to %v", window.GetWindow(), before, figures(window))
					}
					sealed[window.GetWindow()] = figures(window)
				}
			case 5:
				restored := NewLedger()
				if err := restored.Restore(proto.CloneOf(ledger.Snapshot())); err != nil || fmt.Sprint(restored.Snapshot()) != fmt.Sprint(ledger.Snapshot()) {
					t.Fatalf("restored state %v differs from the original, error %v", restored.Snapshot(), err)
				}
				ledger = restored
			}
		}
		for window, got := range sealed {
			want := uint64(0)
			for _, requests := range arrived[window] {
				want += requests
			}
			if got["t"] != want {
				t.Fatalf("window %d was sealed with %d requests, want the %d that arrived", window, got["t"], want)
			}
		}
	})
}

func deliver(t *rapid.T, ledger *Ledger, command *wire.UsageAdd, arrived map[uint64]map[string]uint64) {
	next := ledger.View().GetNext()
	if _, err := ledger.Add(command); err != nil {
		t.Fatal(err)
	}
	for _, window := range command.GetWindows() {
		if window.GetWindow() < next {
			continue
		}
		if arrived[window.GetWindow()] == nil {
			arrived[window.GetWindow()] = map[string]uint64{}
		}
		arrived[window.GetWindow()][command.GetReporter()] = max(arrived[window.GetWindow()][command.GetReporter()], figures(window)["t"])
	}
}

func TestDeliverDoesNotChangeEarlierViews(t *testing.T) {
	ledger := NewLedger()
	mustAdd(t, ledger, add("g", 1, "one", 1))
	view, err := ledger.Seal(&wire.UsageSeal{First: 1, Through: 1})
	if err != nil {
		t.Fatal(err)
	}
	before := proto.CloneOf(view)
	ledger.Deliver(&wire.UsageDeliver{Window: 1})
	if !proto.Equal(before, view) {
		t.Errorf("Deliver changed an earlier view from %v to %v", before, view)
	}
}
