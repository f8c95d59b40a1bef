package replicabytes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const mega = 1 << 20

// TestOneBodyAtATimeUntilItIsAccepted guards against two bodies under way to one replica: it must get the next one
// only after it has accepted or answered the one before.
func TestOneBodyAtATimeUntilItIsAccepted(t *testing.T) {
	l := New()
	first := l.Add(0, "r", mega)
	if l.Fits(0, "r", mega) || !l.Fits(0, "other", mega) {
		t.Error("want no second body at a replica that has not accepted the first, and one at another replica")
	}
	if !l.Accept(first) || l.Accept(first) || !l.Fits(0, "r", 33*mega) || l.Held("r") != mega {
		t.Error("want Accept true once, and a second body to fit after it")
	}
	second := l.Add(0, "r", mega)
	l.End(time.Second, second, false)
	l.End(time.Second, first, true)
	if l.Held("r") != 0 || l.Bytes() != 0 || !l.Fits(time.Second, "r", mega) {
		t.Errorf("%d bytes are left after all bodies ended, want 0 and the next body to fit", l.Bytes())
	}
}

// TestLargerTotalsAreTriedAtOneReplicaAtATime guards against a total that no replica has answered with yet being
// tried at several replicas, which could all crash at once.
func TestLargerTotalsAreTriedAtOneReplicaAtATime(t *testing.T) {
	l := New()
	addAccepted(l, 0, "r", 16*mega, 16*mega)
	addAccepted(l, 0, "s", 32*mega)
	if !l.Fits(0, "r", mega) || !l.Fits(0, "s", 33*mega) {
		t.Error("want a larger total to fit at a replica while no other replica holds more than safeBytes")
	}
	tried := addAccepted(l, 0, "r", mega)[0]
	if l.Fits(0, "r", mega) || l.Fits(0, "s", mega) || !l.Fits(0, "t", 33*mega) {
		t.Error("want no second larger total at this or another replica, and any body at an empty replica")
	}
	l.End(time.Second, tried, true)
	if !l.Fits(time.Second, "r", mega) || !l.Fits(time.Second, "s", mega) {
		t.Error("want a total that was answered to fit at both replicas")
	}
	addAccepted(l, time.Second, "r", mega)
	addAccepted(l, time.Second, "s", mega)
	if !l.Fits(time.Second, "r", mega) {
		t.Error("want a still larger total to fit at one replica")
	}
}

// addAccepted adds bodies and accepts them.
func addAccepted(l *Ledger, now time.Duration, instance string, bodies ...int64) (added []*Body) {
	for _, bytes := range bodies {
		body := l.Add(now, instance, bytes)
		l.Accept(body)
		added = append(added, body)
	}
	return added
}

// TestCrashSetsLimit checks that the limit follows from what a replica held when it crashed, whichever of its bodies
// ends first, and that the bodies of one crash count once.
func TestCrashSetsLimit(t *testing.T) {
	for _, endsFirst := range []bool{false, true} {
		l := New()
		bodies := addAccepted(l, 0, "r", 30*mega, 30*mega, 20*mega)
		if endsFirst {
			l.End(time.Second, bodies[0], false)
			bodies = bodies[1:]
		}
		for position, body := range bodies {
			crash := l.Crashed(time.Second, "r")
			if want := (Crash{Bytes: 80 * mega, Bodies: 3, Limit: 40 * mega, ByTotal: true, New: position == 0}); crash != want {
				t.Errorf("crash %+v, want %+v", crash, want)
			}
			l.End(time.Second, body, false)
		}
		addAccepted(l, time.Second, "s", 30*mega)
		if l.Limit(time.Second) != 40*mega || l.Fits(time.Second, "s", 11*mega) || !l.Fits(time.Second, "s", 10*mega) {
			t.Errorf("a limit of %d bytes, want 40 MiB, 10 MiB more than 30 to fit and 11 not", l.Limit(time.Second))
		}
		if !l.Fits(time.Second, "t", 60*mega) {
			t.Error("want a body larger than the limit to fit at an empty replica")
		}
	}
}

// TestCrashIsAttributedToTotalOrSingleBody checks which crashes set a limit. A crash is attributed to the total only
// if that is larger than any that a replica answered with, and only while there is no limit. Otherwise a request that
// crashes replicas could be overlooked again and again. A crash with a single body is attributed to that body.
// Crashes that are not attributed to the total must not set a first limit.
func TestCrashIsAttributedToTotalOrSingleBody(t *testing.T) {
	for _, one := range []struct {
		name     string
		answered int64
		bodies   []int64
		sum      bool
	}{
		{"no total was answered", 0, []int64{20 * mega, 20 * mega}, true},
		{"a total within safeBytes", 0, []int64{16 * mega, 16 * mega}, false},
		{"a single body", 0, []int64{60 * mega}, false},
		{"a total that was answered before", 40 * mega, []int64{20 * mega, 20 * mega}, false},
		{"a total larger than any answered", 30 * mega, []int64{33 * mega, 33 * mega}, true},
	} {
		l := New()
		if one.answered > 0 {
			l.End(0, addAccepted(l, 0, "before", one.answered)[0], true)
		}
		addAccepted(l, time.Second, "r", one.bodies...)
		if crash := l.Crashed(time.Second, "r"); crash.ByTotal != one.sum || (crash.Limit > 0) != one.sum || l.Limit(time.Second) != crash.Limit {
			t.Errorf("%s: crash %+v, want ByTotal and a limit only for a total larger than any answered", one.name, crash)
		}
		addAccepted(l, time.Minute, "s", 40*mega, 40*mega)
		if crash := l.Crashed(time.Minute, "s"); crash.ByTotal == one.sum || crash.Limit == 0 {
			t.Errorf("%s: second crash %+v, want a limit, and ByTotal only if the first crash set no limit", one.name, crash)
		}
	}
	if crash := New().Crashed(0, "r"); crash != (Crash{}) {
		t.Errorf("a crash without large bodies: %+v, want an empty one", crash)
	}
}

// TestLimitIsRaisedAndExpires checks that answers close to the limit raise it, up to a fraction of the total at the
// crash, and that it expires after the retention time.
func TestLimitIsRaisedAndExpires(t *testing.T) {
	l := New()
	for _, body := range addAccepted(l, 0, "r", 40*mega, 40*mega) {
		l.Crashed(0, "r")
		l.End(0, body, false)
	}
	now := time.Duration(0)
	for range 12 {
		now += raiseInterval
		before := l.Limit(now)
		l.End(now, addAccepted(l, now, "s", before)[0], true)
		if after := l.Limit(now); after < before || after > before+before/raiseDivisor || after > 60*mega {
			t.Fatalf("an answer changed the limit from %d to %d, want a raise by an eighth at most, up to 60 MiB", before, after)
		}
		l.End(now, addAccepted(l, now, "s", l.Limit(now))[0], true)
	}
	if l.Limit(now) != 60*mega {
		t.Errorf("the limit was raised to %d, want 60 MiB", l.Limit(now))
	}
	if l.Limit(retention) != 0 || !l.Fits(retention, "s", 1<<40) {
		t.Error("a limit holds after the retention time, want none")
	}
}

// TestAccountingStaysExact guards against leaked or lost bytes in random sequences of calls. The total must equal
// that of the bodies that have not ended, no replica may get more than its limit except for a single body, and no
// state may be left at the end.
func TestAccountingStaysExact(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, seed))
		l := New()
		var bodies []*Body
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(random.IntN(2000)) * time.Millisecond
			instance := fmt.Sprint(random.IntN(4))
			switch random.IntN(5) {
			case 0, 1:
				if bytes := int64(random.IntN(33*mega) + largeBodyThreshold); l.Fits(now, instance, bytes) {
					alone := l.Held(instance) == 0
					bodies = append(bodies, l.Add(now, instance, bytes))
					if limit := l.Limit(now); limit > 0 && !alone && l.Held(instance) > limit {
						t.Fatalf("seed %d: %d bytes beyond the limit of %d", seed, l.Held(instance), limit)
					}
				}
			case 2:
				if len(bodies) > 0 {
					l.Accept(bodies[random.IntN(len(bodies))])
				}
			case 3:
				if len(bodies) > 0 {
					at := random.IntN(len(bodies))
					l.End(now, bodies[at], random.IntN(2) == 0)
					bodies = append(bodies[:at], bodies[at+1:]...)
				}
			case 4:
				if before := l.Limit(now); random.IntN(10) == 0 {
					if crash := l.Crashed(now, instance); crash.New && before > 0 && l.Limit(now) > before {
						t.Fatalf("seed %d: a crash raised the limit", seed)
					}
				}
			}
			var sum int64
			for _, body := range bodies {
				sum += body.Bytes
			}
			if sum != l.Bytes() {
				t.Fatalf("seed %d: %d bytes, want %d", seed, l.Bytes(), sum)
			}
		}
		for _, body := range bodies {
			l.End(now, body, true)
		}
		l.prune(now + 2*crashWindow)
		if l.Bytes() != 0 || len(l.replicas) > 0 {
			t.Fatalf("seed %d: %d bytes at %d replicas are left", seed, l.Bytes(), len(l.replicas))
		}
	}
}

// TestUnacceptedBodiesDoNotCountAsAnswered guards against an overestimate of what replicas can hold: bodies that were
// still being sent when a replica answered do not show that it had memory for them.
func TestUnacceptedBodiesDoNotCountAsAnswered(t *testing.T) {
	l := New()
	first := addAccepted(l, 0, "r", 33*mega)[0]
	l.Add(0, "r", 33*mega)
	l.End(time.Second, first, true)
	addAccepted(l, time.Second, "s", 20*mega, 20*mega)
	if crash := l.Crashed(time.Second, "s"); crash.MaxAnswered != 33*mega || !crash.ByTotal {
		t.Errorf("crash %+v, want MaxAnswered 33 MiB and ByTotal", crash)
	}
}

// TestFleetLimitIsHeldAgainstHigherOrNone guards against a new leader that does not know the limit yet and thereby
// lifts it. A higher limit or none must take effect only after fleetLimitHold, a lower one at once.
func TestFleetLimitIsHeldAgainstHigherOrNone(t *testing.T) {
	l := New()
	l.SetFleetLimit(0, 40*mega)
	l.SetFleetLimit(time.Second, 40*mega)
	for _, limit := range []int64{0, 60 * mega} {
		if l.SetFleetLimit(time.Second+fleetLimitHold-1, limit); l.Limit(time.Second+fleetLimitHold-1) != 40*mega {
			t.Errorf("a fleet limit of %d replaces 40 MiB before fleetLimitHold has passed", limit)
		}
	}
	if l.SetFleetLimit(2*time.Second, 30*mega); l.Limit(2*time.Second) != 30*mega {
		t.Error("a lower fleet limit does not take effect at once")
	}
	if l.SetFleetLimit(2*time.Second+fleetLimitHold, 0); l.Limit(2*time.Second+fleetLimitHold) != 0 {
		t.Error("a fleet limit holds after fleetLimitHold, want none")
	}
}

// TestSingleBodyCrashAdoptsFleetLimit checks that a crash with a single body sets no limit by itself, but makes the
// process adopt a fleet limit that arrives within singleBodyCrashWindow, and not later.
func TestSingleBodyCrashAdoptsFleetLimit(t *testing.T) {
	for _, one := range []struct {
		after   time.Duration
		learned int64
	}{{singleBodyCrashWindow, 40 * mega}, {singleBodyCrashWindow + 1, 0}} {
		l := New()
		body := addAccepted(l, time.Second, "r", 40*mega)[0]
		l.Crashed(time.Second, "r")
		l.End(time.Second, body, false)
		if l.Limit(time.Second) != 0 || l.SingleBodyCrash(time.Second) != 40*mega {
			t.Errorf("a limit of %d and a single body of %d bytes after the crash, want 0 and 40 MiB", l.Limit(time.Second), l.SingleBodyCrash(time.Second))
		}
		l.SetFleetLimit(time.Second+one.after, 40*mega)
		if learned := l.LearnedLimit(time.Second + one.after); learned != one.learned || l.SingleBodyCrash(time.Second+one.after) != 0 {
			t.Errorf("learned limit %d with a fleet limit %v after the crash, want it within singleBodyCrashWindow only, and SingleBodyCrash 0", learned, one.after)
		}
	}
}

// TestIgnoredCrashSetsNoLimit guards against a limit after a crash with another cause, whichever body reports it. The
// next crash must set a limit again.
func TestIgnoredCrashSetsNoLimit(t *testing.T) {
	l := New()
	for _, body := range addAccepted(l, 0, "r", 40*mega, 40*mega) {
		l.IgnoreCrash(time.Second, "r")
		if crash := l.Crashed(time.Second, "r"); crash != (Crash{}) {
			t.Errorf("crash %+v after IgnoreCrash, want an empty one", crash)
		}
		l.End(time.Second, body, false)
	}
	addAccepted(l, time.Minute, "r", 40*mega, 40*mega)
	if crash := l.Crashed(time.Minute, "r"); l.Limit(time.Minute) != 40*mega || !crash.ByTotal {
		t.Errorf("crash %+v a minute later, want ByTotal and a limit of 40 MiB", crash)
	}
}

// TestWaitEstimate checks the wait until enough bodies are answered for the limit, by the time that earlier bodies
// took. Without a limit the wait is unknown (0), and for an empty replica it is 0.
func TestWaitEstimate(t *testing.T) {
	l := New()
	l.End(2*time.Second, addAccepted(l, 0, "r", mega)[0], true)
	addAccepted(l, 3*time.Second, "r", mega)
	addAccepted(l, 4*time.Second, "r", mega)
	l.Add(4*time.Second, "s", mega)
	if wait := l.Wait(4*time.Second, "r", mega); wait != 0 {
		t.Errorf("a wait of %v without a limit, want 0", wait)
	}
	l.SetFleetLimit(0, 2*mega)
	for _, one := range []struct {
		now      time.Duration
		instance string
		bytes    int64
		want     time.Duration
	}{
		{4 * time.Second, "r", mega, time.Second},
		{4 * time.Second, "r", 2 * mega, 2 * time.Second},
		{4 * time.Second, "r", 9 * mega, 2 * time.Second}, // larger than the limit: must wait until the replica is empty
		{time.Minute, "r", mega, 0},                       // the bodies should have been answered already
		{4 * time.Second, "s", mega, 0},                   // excluded by a body that is not accepted yet
		{4 * time.Second, "empty", 9 * mega, 0},
	} {
		if wait := l.Wait(one.now, one.instance, one.bytes); wait != one.want {
			t.Errorf("%v, %s, %d bytes: a wait of %v, want %v", one.now, one.instance, one.bytes, wait, one.want)
		}
	}
}
