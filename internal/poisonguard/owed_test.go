package poisonguard

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/poison"
)

// identifyOwed returns the identity of an owed request.
func identifyOwed(body string) func() poison.Identity {
	return func() poison.Identity {
		return poison.Identity{Method: "POST", Host: "h", Path: "/x", Body: []byte(body), Owed: true}
	}
}

// runOwed begins a run of an owed request, ends it unless it is refused, and returns the judgment of Begin.
func runOwed(t *testing.T, guard *Guard, body, instance string, ending Ending) poison.Judgment {
	t.Helper()
	return runAs(t, guard, identifyOwed(body), instance, ending)
}

// crashTwice has two back ends crash under an owed request.
func crashTwice(t *testing.T, g *group, guard *Guard, body string) {
	t.Helper()
	runOwed(t, guard, body, "a", Crashed)
	g.follow()
	runOwed(t, guard, body, "b", Crashed)
	g.follow()
}

// TestTrialsWithoutHarmDoNotBeginARest guards against a request that pays the rest of a crash for each trial under which
// nothing crashed: it was rejected, stopped or broken off by a back end that lives on. An item whose trials were rejected
// was at no replica for 7 s, 11 s, and so on.
func TestTrialsWithoutHarmDoNotBeginARest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one, other := g.newGuard(), g.newGuard()
		crashTwice(t, g, one, "item")
		time.Sleep(poison.DefaultOwedRest)
		for _, ending := range []Ending{NotRun, Stopped, Interrupted, NotRun} {
			for _, guard := range []*Guard{one, other} {
				trial, judged := guard.Begin(t.Context(), identifyOwed("item"))
				if judged.Permission != poison.Trial {
					t.Fatalf("before a trial with ending %d: got %+v, want a trial without a rest", ending, judged)
				}
				g.follow() // the claim
				trial.SetBackEnd("c@1", "10.0.0.3:1")
				trial.End(t.Context(), ending)
				g.follow()
			}
		}
		runOwed(t, one, "item", "c", Crashed)
		g.follow()
		for _, guard := range g.guards {
			if judged := runOwed(t, guard, "item", "a", NotRun); judged.Permission != poison.Blocked || judged.Remaining != poison.DefaultOwedRest {
				t.Errorf("after a crash under a trial: got %+v, want the rest", judged)
			}
		}
	})
}

// TestOwnChangesOfTheRecordAreNoSurprise guards against a trial that is refused for a second, because the process does not
// follow its own claim and return of a moment ago yet.
func TestOwnChangesOfTheRecordAreNoSurprise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		crashTwice(t, g, one, "item")
		time.Sleep(poison.DefaultOwedRest)
		for number := range 6 {
			trial, judged := one.Begin(t.Context(), identifyOwed("item"))
			if trial == nil {
				t.Fatalf("trial %d: got %+v, want a trial", number, judged)
			}
			if number%2 == 0 {
				g.follow()
			}
			trial.SetBackEnd("c@1", "10.0.0.3:1")
			trial.End(t.Context(), NotRun)
		}
	})
}

// TestOneTrialAtATime checks that a claim of another process holds a request back until its run has ended, and for the
// rest if that process is lost.
func TestOneTrialAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one, other := g.newGuard(), g.newGuard()
		crashTwice(t, g, one, "item")
		time.Sleep(poison.DefaultOwedRest)
		trial, _ := one.Begin(t.Context(), identifyOwed("item"))
		g.follow()
		for _, guard := range g.guards { // also in the process that holds the claim
			if judged := runOwed(t, guard, "item", "c", NotRun); judged.Permission != poison.Blocked {
				t.Fatalf("beside a trial: got %+v, want a rest", judged)
			}
		}
		trial.SetBackEnd("c@1", "10.0.0.3:1")
		trial.End(t.Context(), NotRun)
		g.follow()
		lost, judged := other.Begin(t.Context(), identifyOwed("item"))
		if lost == nil {
			t.Fatalf("after the trial: got %+v, want a trial", judged)
		}
		g.follow() // the process of the trial is lost now
		if judged := runOwed(t, one, "item", "c", NotRun); judged.Permission != poison.Blocked || judged.Remaining != poison.DefaultOwedRest {
			t.Errorf("beside a claim whose process is lost: got %+v, want the rest", judged)
		}
		time.Sleep(poison.DefaultOwedRest)
		if judged := runOwed(t, one, "item", "c", NotRun); judged.Permission != poison.Trial {
			t.Errorf("after the rest of a lost claim: got %+v, want a trial", judged)
		}
		g.follow()
		if judged := runOwed(t, one, "item", "c", NotRun); judged.Permission != poison.Trial {
			t.Errorf("after a trial beside a lost claim: got %+v, want another one", judged)
		}
	})
}

// TestOwedRequestRunsWithoutAnAnswerToItsClaim guards against an owed request that never runs, because each claim is
// answered later than it is waited for, and counts all the same.
func TestOwedRequestRunsWithoutAnAnswerToItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		crashTwice(t, g, one, "item")
		g.commit = 2 * sendTimeout
		time.Sleep(poison.DefaultOwedRest)
		for range 4 {
			if judged := runOwed(t, one, "item", "c", NotRun); judged.Permission != poison.Trial {
				t.Fatalf("with slow commits: got %+v, want a trial", judged)
			}
			time.Sleep(2 * g.commit)
			g.follow()
		}
	})
}

// TestLateClaimOfARefusedRunIsReturned guards against a claim that is taken after its run was refused for want of an
// answer, so that other processes wait for a run that never was.
func TestLateClaimOfARefusedRunIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one, other := g.newGuard(), g.newGuard()
		run(t, one, "live", "a", Crashed)
		g.follow()
		run(t, one, "live", "b", Crashed)
		g.follow()
		time.Sleep(poison.DefaultTrialRest)
		g.commit = 2 * sendTimeout
		if judged := run(t, one, "live", "c", NotRun); judged.Permission != poison.Blocked {
			t.Fatalf("without an answer to the claim: got %+v, want refused", judged)
		}
		time.Sleep(2 * g.commit)
		g.follow()
		g.commit = 0
		one.sendPostponed(t.Context())
		g.follow()
		if judged := run(t, other, "live", "c", NotRun); judged.Permission != poison.Trial {
			t.Errorf("in another process: got %+v, want a trial", judged)
		}
	})
}

// TestOwedRequestRunsWhileNoRecordIsKept guards against an owed request that waits for the end of an upgrade: while some
// process may not understand rows of suspects, no crash is recorded and no run can be claimed.
func TestOwedRequestRunsWhileNoRecordIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		one.config.Recorded = func() bool { return false }
		runOwed(t, one, "item", "a", Crashed)
		runOwed(t, one, "item", "b", Crashed)
		if judged := runOwed(t, one, "item", "c", NotRun); judged.Permission != poison.Blocked {
			t.Fatalf("after two crashes: got %+v, want a rest", judged)
		}
		time.Sleep(poison.DefaultOwedRest)
		if judged := runOwed(t, one, "item", "c", NotRun); judged.Permission != poison.Trial {
			t.Errorf("after the rest: got %+v, want a trial", judged)
		}
	})
}

// TestClearedCrashesDoNotBlock guards against a request that rests for ever: this process observed two crashes, the
// control group accepted the reports, and the suspect was cleared before the process followed a table with it.
func TestClearedCrashesDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		for _, identity := range []func() poison.Identity{identify("bad"), identifyOwed("bad")} {
			for _, instance := range []string{"a@1", "b@1"} {
				made, _ := one.Begin(t.Context(), identity)
				made.SetBackEnd(instance, "10.0.0.1:1")
				made.End(t.Context(), Crashed)
			}
			cleared := identity()
			other, err := New(Config{Control: g})
			if err != nil {
				t.Fatal(err)
			}
			other.deliver(t.Context(), poison.StepRequest{Step: poison.Clear, Digest: cleared.Digest()})
			g.follow()
			time.Sleep(time.Minute)
			if made, judged := one.Begin(t.Context(), identity); made == nil || judged.Permission != poison.Free {
				t.Errorf("owed %t, a minute after the suspect was cleared: got %+v, want free", cleared.Owed, judged)
			}
		}
	})
}

// TestLateReportBeginsNoRest guards against a rest that begins anew when a crash comes on record: the control group had
// no leader when the back end crashed.
func TestLateReportBeginsNoRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		defer runGuard(t, one)()
		crashTwice(t, g, one, "item")
		time.Sleep(poison.DefaultOwedRest)
		trial, _ := one.Begin(t.Context(), identifyOwed("item"))
		trial.SetBackEnd("c@1", "10.0.0.3:1")
		g.setLeaderless(true)
		crashedAt := time.Now()
		trial.End(t.Context(), Crashed)
		time.Sleep(poison.DefaultOwedRest - time.Second)
		if judged := runOwed(t, one, "item", "a", NotRun); judged.Permission != poison.Blocked {
			t.Errorf("before the report: got %+v, want a rest", judged)
		}
		g.setLeaderless(false)
		time.Sleep(retryInterval)
		synctest.Wait()
		g.follow()
		if judged := runOwed(t, one, "item", "a", NotRun); judged.Permission != poison.Blocked || judged.Remaining != poison.DefaultOwedRest-time.Since(crashedAt) {
			t.Errorf("after the report: got %+v %v after the crash, want the rest since the crash", judged, time.Since(crashedAt))
		}
	})
}

// TestClaimOfAClearedSuspectHoldsNothing guards against a rest beside a claim that was never made, because the suspect had
// been cleared when this process asked for it.
func TestClaimOfAClearedSuspectHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		crashTwice(t, g, one, "item")
		time.Sleep(poison.DefaultOwedRest)
		identity := identifyOwed("item")()
		if _, err := one.applySteps(t.Context(), []poison.StepRequest{{Step: poison.Clear, Digest: identity.Digest()}}); err != nil {
			t.Fatal(err)
		}
		for range 2 { // the process does not follow that yet
			if judged := runOwed(t, one, "item", "c", NotRun); judged.Permission != poison.Trial {
				t.Errorf("got %+v, want a trial", judged)
			}
		}
	})
}

// TestCrashThatShowsLateBeginsNoRestThen guards against a rest that begins when the table shows, seconds after a run broke
// off, that its back end has restarted. An item was at no replica for 6.3 s beside idle ones: a replica hung under it, two
// others crashed, and the first one came back shortly before the rest was over.
func TestCrashThatShowsLateBeginsNoRestThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		runOwed(t, one, "item", "c", Interrupted)
		crashTwice(t, g, one, "item")
		time.Sleep(poison.DefaultOwedRest - 100*time.Millisecond)
		g.put("c start_unix_millis 9")
		synctest.Wait()
		g.follow()
		if records := g.records(); len(records) != 1 || records[0].Crashes != 3 {
			t.Fatalf("got records %+v, want one with 3 crashes", records)
		}
		time.Sleep(100 * time.Millisecond)
		if judged := runOwed(t, one, "item", "a", NotRun); judged.Permission != poison.Trial {
			t.Errorf("after the rest since the runs: got %+v, want a trial", judged)
		}
	})
}

// TestGuiltyOwedRequestCrashesOneReplicaInARest guards a large pool against an owed request that does crash replicas: its
// first trial comes at once, and each further one a rest after the crash before it.
func TestGuiltyOwedRequestCrashesOneReplicaInARest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := []string{"large kind pool"}
		for _, name := range strings.Split("d e f g h i j k l m", " ") {
			rows = append(rows, name+" kind backend", name+" pool large", name+" address 10.0.1.1:"+strconv.Itoa(len(rows)), name+" start_unix_millis 1")
		}
		g := newGroup(t, rows...)
		one := g.newGuard()
		var crashes []time.Duration
		began := time.Now()
		for number := 0; time.Since(began) < 10*time.Second; {
			made, judged := one.BeginInPool(t.Context(), "large", identifyOwed("guilty"))
			if made == nil {
				time.Sleep(min(judged.Remaining, 100*time.Millisecond))
				continue
			}
			crashes = append(crashes, time.Since(began))
			made.SetBackEnd(string(rune('d'+number))+"@1", "10.0.1.1:1")
			number++
			made.End(t.Context(), Crashed)
			g.follow()
		}
		if len(crashes) != 5 || crashes[2] != 0 || crashes[3] != poison.DefaultOwedRest || crashes[4] != 2*poison.DefaultOwedRest {
			t.Errorf("got crashes after %v, want three at once and then one in each rest", crashes)
		}
	})
}
