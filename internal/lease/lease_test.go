package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clock is a simulated clock with its own speed and start.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(real time.Duration) time.Duration {
	return c.offset + time.Duration(float64(real)*c.rate)
}

// renewal is a request to renew a lease. Renewals and replies are delivered after a random delay, out of order, or
// never.
type renewal struct {
	holder int
	sentAt time.Duration // on the holder's clock
	acted  uint64
}

type reply struct {
	renewal
	version uint64
	granted bool
}

// world simulates successive control leaders and several holders, each with its own clock.
type world struct {
	real     time.Duration
	version  uint64
	inForce  uint64 // highest version that any leader has declared in force
	leader   clock
	granter  *Granter
	unsafe   Unsafe
	holders  []*Holder
	clocks   []clock
	renewals []renewal
	replies  []reply
}

func newWorld(t *rapid.T, unsafe Unsafe) *world {
	w := &world{version: 1, unsafe: unsafe}
	w.electLeader(t)
	for range 3 {
		w.holders = append(w.holders, NewHolderUnsafe(unsafe))
		w.clocks = append(w.clocks, drawClock(t))
	}
	return w
}

func drawClock(t *rapid.T) clock {
	return clock{
		rate:   rapid.SampledFrom([]float64{1, 1.02, 1 + DefaultClockDrift}).Draw(t, "rate"),
		offset: time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second,
	}
}

func (w *world) electLeader(t *rapid.T) {
	w.leader = drawClock(t)
	w.granter = NewGranterUnsafe(w.leader.at(w.real), Settings{}, w.version, w.unsafe)
}

// step performs one random action and reports whether some holder admits work below the version in force.
func (w *world) step(t *rapid.T) bool {
	holder := rapid.IntRange(0, len(w.holders)-1).Draw(t, "holder")
	now := w.leader.at(w.real)
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0, 1:
		w.real += time.Duration(rapid.SampledFrom([]int{1, 20, 150, 400, 1100, 1300}).Draw(t, "millis")) * time.Millisecond
	case 2:
		w.version++
		w.granter.RecordCommit(now, w.version)
	case 3:
		w.renewals = append(w.renewals, renewal{holder, w.clocks[holder].at(w.real), w.holders[holder].Version()})
	case 4:
		w.deliverRandomRenewal(t, now)
	case 5:
		w.deliverRandomReply(t)
	case 6:
		if rapid.IntRange(0, 4).Draw(t, "elect") == 0 {
			w.electLeader(t)
		}
	default:
		w.inForce = max(w.inForce, w.granter.InForce(now))
	}
	for position, candidate := range w.holders {
		if version, ok := candidate.Admit(w.clocks[position].at(w.real)); ok && version < w.inForce {
			return true
		}
	}
	return false
}

func (w *world) deliverRandomRenewal(t *rapid.T, now time.Duration) {
	if len(w.renewals) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.renewals)-1).Draw(t, "renewal")
	request := w.renewals[at]
	w.renewals = append(w.renewals[:at], w.renewals[at+1:]...)
	granted := w.granter.Renew(HolderID{Name: string(rune('a' + request.holder))}, now, request.acted)
	w.replies = append(w.replies, reply{request, w.version, granted})
}

func (w *world) deliverRandomReply(t *rapid.T) {
	if len(w.replies) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply")
	answer := w.replies[at]
	w.replies = append(w.replies[:at], w.replies[at+1:]...)
	if rapid.Bool().Draw(t, "update comes with the reply") {
		w.holders[answer.holder].ActOn(answer.version)
	}
	if answer.granted {
		w.holders[answer.holder].RecordRenewal(answer.sentAt, DefaultLease)
	}
}

func runWorld(t *rapid.T, unsafe Unsafe) (violated bool) {
	w := newWorld(t, unsafe)
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		if w.step(t) {
			return true
		}
	}
	return false
}

func TestNoHolderActsBelowTheVersionInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if runWorld(t, Unsafe{}) {
			t.Fatal("a holder admits work below the version in force")
		}
	})
}

func TestEachSafetyStepIsNeeded(t *testing.T) {
	for name, unsafe := range map[string]Unsafe{
		"lease check": {SkipLeaseCheck: true}, "new leader's wait": {SkipNewLeaderWait: true}, "version of a renewal": {GrantAnyVersion: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 5000 {
				violated := false
				rapid.Custom(func(t *rapid.T) bool { violated = runWorld(t, unsafe); return violated }).Example(seed)
				if violated {
					return
				}
			}
			t.Fatal("no violation in 5000 runs without this safety step, want at least one")
		})
	}
}

// TestChangeComesIntoForceWithinTheBound covers one holder that never acknowledges a change and one that does. The
// first must not delay the change beyond Settings.Bound.
func TestChangeComesIntoForceWithinTheBound(t *testing.T) {
	settings := Settings{}.WithDefaults()
	granter := NewGranter(0, settings, 1)
	stuck, quick := HolderID{Name: "stuck"}, HolderID{Name: "quick"}
	start := 10 * time.Second
	granter.Renew(stuck, start, 1)
	granter.Renew(quick, start, 1)
	granter.RecordCommit(start, 2)
	acted := uint64(1)
	for now := start; ; now += 100 * time.Millisecond {
		granter.Renew(stuck, now, 1)
		if !granter.Renew(quick, now, acted) {
			t.Fatalf("the quick holder lost its lease at %v", now)
		}
		acted = 2
		if granter.InForce(now) == 2 {
			if taken := now - start; taken > settings.Bound()+100*time.Millisecond {
				t.Fatalf("in force after %v, bound %v", taken, settings.Bound())
			}
			break
		}
		if late := granter.Late(now, 2); len(late) == 0 || late[len(late)-1].ID != stuck {
			t.Fatalf("late holders: %v, want the stuck one last", late)
		}
	}
	if granter.Renew(stuck, start+5*time.Second, 1) {
		t.Fatal("a holder below the version in force was granted a lease")
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	if err := (Settings{}).WithDefaults().Validate(); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []Settings{{}, {Lease: time.Second, RenewInterval: time.Second, Grace: 1}, {Lease: 9, RenewInterval: 3, Grace: 1, ClockDrift: 2}} {
		if bad.Validate() == nil {
			t.Fatalf("invalid settings %+v were accepted", bad)
		}
	}
}

// TestInForceEqualsTheOldestGrant checks the version in force against a look at all holders, for random renewals,
// departures and expiries.
func TestInForceEqualsTheOldestGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		granter := NewGranter(now, Settings{}, 0)
		now += time.Hour // no lease of an earlier leader is left
		newest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			holder := HolderID{Name: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "holder"), Incarnation: 1}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				newest++
				granter.RecordCommit(now, newest)
			case 1:
				granter.Leave(holder)
			default:
				granter.Renew(holder, now, newest-min(newest, uint64(rapid.IntRange(0, 3).Draw(t, "behind"))))
			}
			want := newest
			for _, held := range granter.Holders(now) {
				want = min(want, held.Version)
				if !granter.MayHold(now, held.ID) {
					t.Fatalf("%v is listed as a holder, but may not hold a lease", held.ID)
				}
			}
			if got := granter.InForce(now); got != want {
				t.Fatalf("version %d is in force, want %d", got, want)
			}
			if len(granter.holders) != granter.byExpiry.Len() {
				t.Fatalf("%d holders and %d grants", len(granter.holders), granter.byExpiry.Len())
			}
		}
	})
}
