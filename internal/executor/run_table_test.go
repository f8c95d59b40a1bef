package executor

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	someRun   = Key{Job: "job", Item: "item"}
	someOrder = Order{Term: 4, Number: 1}
)

// TestNewerLeadersSupersedeOlderOnes: two leaders connect in turn, and the older one retries. Only orders of the newest
// stream of the highest term may be carried out.
func TestNewerLeadersSupersedeOlderOnes(t *testing.T) {
	table := NewRunTable(Settings{})
	former, _ := table.OpenStream(4, 1, 0)
	if refusal := table.Start(former, someRun, 1); refusal != Accepted {
		t.Fatal(refusal)
	}
	next, refused := table.OpenStream(5, 2, time.Second)
	if refused || next == former {
		t.Fatal("the stream of the next leader was refused")
	}
	if refusal := table.Start(former, Key{Item: "other"}, 2); refusal != Superseded {
		t.Errorf("an order of the former leader: %s, want superseded", refusal)
	}
	if table.CanStop(former, someRun, someOrder) || table.Follow(former, someRun, someOrder) {
		t.Error("the former leader can still stop or follow the run")
	}
	if _, refused := table.OpenStream(4, 3, 2*time.Second); !refused {
		t.Error("a stream of an older term was accepted")
	}
	if !table.Follow(next, someRun, someOrder) || table.Start(next, someRun, 1) != Held {
		t.Error("the next leader can't take over the run")
	}
	again, _ := table.OpenStream(5, 4, 3*time.Second)
	if table.Follow(next, someRun, someOrder) || !table.Follow(again, someRun, someOrder) {
		t.Error("orders are not accepted from the newest stream of a term only")
	}
}

// TestOrdersReachOnlyTheirRun: an item runs again, and an order for its former run arrives late. It must neither stop
// the new run nor have the new run's answer reported as that of the former one.
func TestOrdersReachOnlyTheirRun(t *testing.T) {
	table := NewRunTable(Settings{AbandonAfter: time.Second})
	stream, _ := table.OpenStream(4, 5, 0)
	table.Start(stream, someRun, 1)
	former, _ := table.HeldOrder(someRun)
	table.MarkEnded(someRun, former)
	if refusal := table.Start(stream, someRun, 2); refusal != Accepted {
		t.Fatal(refusal)
	}
	if table.CanStop(stream, someRun, former) || table.Follow(stream, someRun, former) {
		t.Error("an order for the former run affects the new one")
	}
	table.MarkReported(stream, someRun, former, time.Minute)
	if dropped := table.DropAbandoned(time.Hour); len(dropped) != 0 {
		t.Error("reporting the end of the former run unfollowed the new one")
	}
	if present, _ := table.HeldOrder(someRun); !table.CanStop(stream, someRun, present) || !table.Follow(stream, someRun, present) {
		t.Error("an order for the current run does not affect it")
	}
}

// TestLateHellosOfALeaderSupersedeNothing: an executor that was frozen receives all hellos of its leader at once, in
// any order. Only the stream with the highest number is still open. If another one became current, every order of the
// leader would be refused.
func TestLateHellosOfALeaderSupersedeNothing(t *testing.T) {
	table := NewRunTable(Settings{})
	table.OpenStream(4, 1, 0)
	open, refused := table.OpenStream(4, 3, time.Second)
	if refused {
		t.Fatal("the leader's newest stream was refused")
	}
	for _, number := range []uint64{1, 2, 3} {
		if late, refused := table.OpenStream(4, number, time.Second); !refused {
			t.Errorf("stream %d after stream 3 was accepted", number)
		} else {
			table.CloseStream(late, time.Second)
		}
	}
	if refusal := table.Start(open, someRun, 1); refusal != Accepted {
		t.Errorf("an order on the open stream: %s, want accepted", refusal)
	}
}

// TestUnfollowedRunsAreDropped: after its leader's stream breaks, a run must continue for AbandonAfter and then be
// dropped. A run that the next leader follows must continue.
func TestUnfollowedRunsAreDropped(t *testing.T) {
	const abandonAfter = 5 * time.Second
	table := NewRunTable(Settings{AbandonAfter: abandonAfter})
	stream, _ := table.OpenStream(1, 6, 0)
	taken, left := Key{Item: "taken over"}, Key{Item: "left"}
	table.Start(stream, taken, 1)
	table.Start(stream, left, 2)
	if dropped := table.DropAbandoned(time.Hour); len(dropped) != 0 {
		t.Fatalf("followed runs were dropped: %v", dropped)
	}
	table.CloseStream(stream, time.Hour)
	const nextAt = time.Hour + time.Second
	next, _ := table.OpenStream(2, 7, nextAt)
	table.Follow(next, taken, Order{Term: 1, Number: 1})
	if dropped := table.DropAbandoned(nextAt + abandonAfter - 1); len(dropped) != 0 {
		t.Fatalf("dropped too early: %v", dropped)
	}
	if dropped := table.DropAbandoned(nextAt + abandonAfter); len(dropped) != 1 || dropped[0] != left {
		t.Fatalf("dropped %v, want only the run that nobody follows", dropped)
	}
}

// TestFirstStreamOfATermRestartsTheGracePeriod: a run that has been unfollowed for almost all of AbandonAfter is listed
// to a new leader. That leader must then have the full period to attach to it.
func TestFirstStreamOfATermRestartsTheGracePeriod(t *testing.T) {
	const abandonAfter = 5 * time.Second
	table := NewRunTable(Settings{AbandonAfter: abandonAfter})
	stream, _ := table.OpenStream(4, 8, 0)
	table.Start(stream, someRun, 1)
	table.CloseStream(stream, 0)
	openedAt := abandonAfter - time.Millisecond
	next, _ := table.OpenStream(5, 9, openedAt)
	if dropped := table.DropAbandoned(openedAt + abandonAfter - 1); len(dropped) != 0 {
		t.Fatal("the run was dropped before the new leader could attach to it")
	}
	if !table.Follow(next, someRun, someOrder) {
		t.Error("the run can't be attached to")
	}
	table.CloseStream(next, openedAt)
	if dropped := table.DropAbandoned(openedAt + abandonAfter); len(dropped) != 1 {
		t.Error("the run was not dropped after AbandonAfter")
	}
}

// TestReconnectsOfOneTermKeepNoAbandonedRuns: a leader whose stream breaks repeatedly connects again each time. Runs
// that it followed must be kept for AbandonAfter from its last stream on. Runs that it never followed must be dropped
// AbandonAfter after its first connection, and not be kept alive by the reconnects.
func TestReconnectsOfOneTermKeepNoAbandonedRuns(t *testing.T) {
	const abandonAfter = 5 * time.Second
	table := NewRunTable(Settings{AbandonAfter: abandonAfter})
	stream, _ := table.OpenStream(4, 1, 0)
	followed, left := Key{Item: "followed"}, Key{Item: "left"}
	table.Start(stream, followed, 1)
	table.Start(stream, left, 2)
	for number := range uint64(abandonAfter / time.Second) {
		openedAt := time.Duration(number) * time.Second
		next, refused := table.OpenStream(5, 1+number, openedAt)
		if refused || !table.Follow(next, followed, Order{Term: 4, Number: 1}) {
			t.Fatalf("stream %d: refused %v, or the run can't be followed", number, refused)
		}
		if dropped := table.DropAbandoned(openedAt); len(dropped) != 0 {
			t.Fatalf("dropped at %v: %v", openedAt, dropped)
		}
	}
	if dropped := table.DropAbandoned(abandonAfter); !slices.Equal(dropped, []Key{left}) {
		t.Errorf("dropped %v, want the run that was never followed in this term", dropped)
	}
	table.OpenStream(5, 99, 2*abandonAfter)
	if dropped := table.DropAbandoned(3*abandonAfter - 1); len(dropped) != 0 {
		t.Errorf("dropped too early: %v", dropped)
	}
	table.OpenStream(5, 100, 3*abandonAfter-1)
	if dropped := table.DropAbandoned(3 * abandonAfter); !slices.Equal(dropped, []Key{followed}) {
		t.Errorf("dropped %v, want the run that the last streams did not follow", dropped)
	}
}

// TestEndedAnswersAreKeptForTheNextLeader: the end of a run was reported to a leader that may be lost before it commits
// the answer. The next leader must still get it, and the item must be able to run again.
func TestEndedAnswersAreKeptForTheNextLeader(t *testing.T) {
	table := NewRunTable(Settings{AbandonAfter: time.Second})
	stream, _ := table.OpenStream(1, 10, 0)
	table.Start(stream, someRun, 1)
	order, _ := table.HeldOrder(someRun)
	table.MarkEnded(someRun, order)
	table.MarkReported(stream, someRun, order, time.Minute)
	if next, _ := table.OpenStream(2, 11, time.Minute); !table.Follow(next, someRun, order) {
		t.Fatal("the answer was dropped")
	}
	stream, _ = table.OpenStream(3, 12, time.Minute)
	if refusal := table.Start(stream, someRun, 1); refusal != Accepted {
		t.Fatalf("a start of an item whose run has ended: %s, want accepted", refusal)
	}
	table.MarkEnded(someRun, order) // a late end of the former run
	if table.Running() != 1 {
		t.Fatal("the end of the former run marked the new one as ended")
	}
}

func TestLeavingAndFullExecutorsStartNothing(t *testing.T) {
	table := NewRunTable(Settings{MaximumRuns: 1})
	stream, _ := table.OpenStream(1, 13, 0)
	table.Start(stream, someRun, 1)
	if refusal := table.Start(stream, Key{Item: "second"}, 2); refusal != Full {
		t.Errorf("a start at the limit of runs: %s, want full", refusal)
	}
	table.Leave()
	if refusal := table.Start(stream, Key{Item: "second"}, 2); refusal != Leaving {
		t.Errorf("a start while draining: %s, want leaving", refusal)
	}
}

// TestEndedAnswersTakeNoRunSlots: answers retained for the next leader must not count against the limit of runs in
// progress. Their own number is bounded, and the oldest are dropped first.
func TestEndedAnswersTakeNoRunSlots(t *testing.T) {
	table := NewRunTable(Settings{MaximumRuns: 2, AbandonAfter: time.Minute})
	stream, _ := table.OpenStream(1, 14, 0)
	for number := range uint64(5) {
		key, order := Key{Item: string(rune('a' + number))}, Order{Term: 1, Number: number + 1}
		if refusal := table.Start(stream, key, order.Number); refusal != Accepted {
			t.Fatalf("start of run %d with %d ended answers: %s, want accepted", number, number, refusal)
		}
		table.MarkEnded(key, order)
		if number < 4 {
			table.MarkReported(stream, key, order, time.Duration(number)*time.Second)
		}
	}
	dropped := table.DropAbandoned(5 * time.Second)
	if want := []Key{{Item: "a"}, {Item: "b"}}; !slices.Equal(dropped, want) {
		t.Errorf("dropped %v, want %v: the end of the last one was not reported yet", dropped, want)
	}
	table.Start(stream, Key{Item: "x"}, 10)
	table.Start(stream, Key{Item: "y"}, 11)
	if refusal := table.Start(stream, Key{Item: "z"}, 12); refusal != Full {
		t.Errorf("a third run: %s, want full", refusal)
	}
}

// TestOnlyTheNewestStreamControlsRuns draws random connects, orders and stream losses. An order may be carried out only
// if its stream is the newest one of the highest term, and no run of an item may start while another run of it is in
// progress.
func TestOnlyTheNewestStreamControlsRuns(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		table := NewRunTable(Settings{AbandonAfter: time.Second, MaximumRuns: 3})
		var now time.Duration
		terms := map[uint64]uint64{} // by stream id
		newest, highest, last := uint64(0), uint64(0), uint64(0)
		running := map[Key]Order{}
		for range 50 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond
			key := Key{Item: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "item")}
			stream := uint64(rapid.IntRange(0, len(terms)+1).Draw(t, "stream"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				term := uint64(rapid.IntRange(1, 5).Draw(t, "term"))
				number := uint64(rapid.IntRange(1, 5).Draw(t, "number"))
				made, refused := table.OpenStream(term, number, now)
				if late := term < highest || term == highest && number <= last; refused != late {
					t.Fatalf("stream %d of term %d after stream %d of term %d: refused %v", number, term, last, highest, refused)
				}
				if !refused {
					terms[made], newest, highest, last = term, made, term, number
				}
			case 1:
				refusal := table.Start(stream, key, 1)
				if refusal != Accepted {
					continue
				}
				if _, held := running[key]; held || stream != newest || newest == 0 {
					t.Fatalf("stream %d started %v while %v is in progress; the newest stream is %d", stream, key, running[key], newest)
				}
				running[key], _ = table.HeldOrder(key)
				accepted++
			case 2:
				if order, held := running[key]; held {
					table.MarkEnded(key, order)
					delete(running, key)
				}
			case 3:
				table.CloseStream(stream, now)
				if stream == newest {
					newest = 0
				}
			case 4:
				for _, dropped := range table.DropAbandoned(now) {
					delete(running, dropped)
				}
			case 5:
				order, _ := table.HeldOrder(key)
				if table.Follow(stream, key, order) && (stream != newest || newest == 0) {
					t.Fatalf("stream %d follows a run; the newest stream is %d", stream, newest)
				}
			}
			if table.Running() != len(running) {
				t.Fatalf("%d runs in progress, want %d", table.Running(), len(running))
			}
		}
	})
	if accepted == 0 {
		t.Fatal("no order to start a run was accepted")
	}
}
