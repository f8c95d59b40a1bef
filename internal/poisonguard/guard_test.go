package poisonguard

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// group is a control group with its table. Its guards follow the table when follow is called.
type group struct {
	t          *testing.T
	mutex      sync.Mutex
	held       *table.Table
	leaderless bool          // the group has no leader
	commit     time.Duration // duration of a change
	changes    int
	guards     []*Guard
}

var errNoLeader = errors.New("no leader")

func newGroup(t *testing.T, rows ...string) *group {
	g := &group{t: t, held: table.New()}
	g.put(append([]string{"app kind pool", "a kind backend", "a pool app", "a address 10.0.0.1:1", "a start_unix_millis 1", "b kind backend", "b pool app",
		"b address 10.0.0.2:1", "b start_unix_millis 1", "c kind backend", "c pool app", "c address 10.0.0.3:1", "c start_unix_millis 1",
		"old kind backend", "old pool app", "old address 10.0.0.4:1"}, rows...)...)
	return g
}

// put changes the table as another process would. An entry is "row column value", or "-row" to remove a row.
func (g *group) put(rows ...string) {
	g.t.Helper()
	g.mutex.Lock()
	change := &wire.TableChange{BaseVersion: g.held.Version(), ChangeId: fmt.Sprint("put-", g.held.Version()), Operator: "test", Note: table.ForceNote}
	for _, text := range rows {
		if name, removed := strings.CutPrefix(text, "-"); removed {
			change.RemoveRows = append(change.RemoveRows, name)
			continue
		}
		parts := strings.SplitN(text, " ", 3)
		change.Cells = append(change.Cells, &wire.CellChange{Row: parts[0], Column: parts[1], Value: parts[2]})
	}
	result := g.held.Apply(change)
	g.mutex.Unlock()
	if result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		g.t.Fatal(result)
	}
	g.follow()
}

// follow passes the current table to all guards.
func (g *group) follow() {
	g.mutex.Lock()
	view, err := table.NewView().Apply(g.held.UpdateSince(0))
	guards := g.guards
	g.mutex.Unlock()
	if err != nil {
		g.t.Fatal(err)
	}
	for _, guard := range guards {
		guard.Follow(view)
	}
}

// Query implements configure.Control.
func (g *group) Query(_ context.Context, _ uint32, query *wire.Query) (*wire.View, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.leaderless {
		return nil, errNoLeader
	}
	return &wire.View{Kind: &wire.View_Table{Table: g.held.UpdateSince(query.GetTable().GetKnownVersion())}}, nil
}

// ChangeTable implements configure.Control.
func (g *group) ChangeTable(_ context.Context, change *wire.TableChange, _ bool) (*wire.TableResult, uint64, error) {
	time.Sleep(g.commit)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.leaderless {
		return nil, 0, errNoLeader
	}
	g.changes++
	return g.held.Apply(change), 0, nil
}

func (g *group) setLeaderless(leaderless bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.leaderless = leaderless
}

// records returns the record of suspects.
func (g *group) records() []poison.Record {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	view, err := table.NewView().Apply(g.held.UpdateSince(0))
	if err != nil {
		g.t.Fatal(err)
	}
	return poison.Records(view)
}

// TestSuspectsAreRecordedOnceAllReadThem guards against recording suspects while an older build runs, which would
// reject the change and continue with a different table. If the table has suspects already, every build understands
// them.
func TestSuspectsAreRecordedOnceAllReadThem(t *testing.T) {
	g := &group{t: t, held: table.New()}
	made, err := New(Config{Control: g, Recorded: func() bool { return false }})
	if err != nil {
		t.Fatal(err)
	}
	g.guards = append(g.guards, made)
	g.follow()
	want := poison.StepRequest{Digest: 7, Step: poison.Report, Instance: "i-1@5", Subject: "x"}
	if _, err := made.applySteps(t.Context(), []poison.StepRequest{want}); err != errNotRecorded || g.changes != 0 {
		t.Fatalf("got error %v and %d changes, want errNotRecorded and none", err, g.changes)
	}
	made.config.Recorded = nil
	if _, err := made.applySteps(t.Context(), []poison.StepRequest{want}); err != nil || len(g.records()) != 1 {
		t.Fatalf("got error %v and records %v, want one record", err, g.records())
	}
	g.follow()
	made.config.Recorded = func() bool { return false }
	want.Digest = 8
	if _, err := made.applySteps(t.Context(), []poison.StepRequest{want}); err != nil || len(g.records()) != 2 {
		t.Errorf("got error %v and records %v, want two records", err, g.records())
	}
}

// newGuard returns the guard of a new process, which has followed the current table.
func (g *group) newGuard() *Guard {
	start := time.Now()
	made, err := New(Config{Control: g, Clock: func() time.Duration { return time.Since(start) }, Leading: func() bool { return true }})
	if err != nil {
		g.t.Fatal(err)
	}
	g.guards = append(g.guards, made)
	g.follow()
	return made
}

// runGuard starts the guard's Run. The returned function stops it.
func runGuard(t *testing.T, guard *Guard) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		guard.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func identify(body string) func() poison.Identity {
	return func() poison.Identity {
		return poison.Identity{Method: "POST", Host: "h", Path: "/x", Body: []byte(body)}
	}
}

// run begins a run, sends it to a back end unless it is refused, ends it and returns the judgment of Begin.
func run(t *testing.T, guard *Guard, body, instance string, ending Ending) poison.Judgment {
	t.Helper()
	return runAs(t, guard, identify(body), instance, ending)
}

// runAs is run for a request with the given identity.
func runAs(t *testing.T, guard *Guard, identity func() poison.Identity, instance string, ending Ending) poison.Judgment {
	t.Helper()
	made, judged := guard.Begin(t.Context(), identity)
	if made == nil {
		return judged
	}
	address := map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1", "c": "10.0.0.3:1", "old": "10.0.0.4:1"}[instance]
	if instance != "old" {
		instance += "@1"
	}
	made.SetBackEnd(instance, address)
	made.End(t.Context(), ending)
	synctest.Wait() // an answer is recorded in the background
	return judged
}

// TestCrashesAreKnownEverywhere checks that all processes share the crashes of a request. It crashes one back end in
// each of two processes, rests, gets one trial in the whole deployment, and is condemned, also in a process that starts
// afterwards. Other requests stay free.
func TestCrashesAreKnownEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one, other := g.newGuard(), g.newGuard()
		run(t, one, "bad", "a", Crashed)
		g.follow()
		if judged := run(t, other, "bad", "b", Crashed); judged.Permission != poison.Isolated {
			t.Fatalf("after one crash: got %+v, want apart", judged)
		}
		g.follow()
		for _, guard := range g.guards {
			if judged := run(t, guard, "bad", "c", Crashed); judged.Permission != poison.Blocked || judged.Remaining != poison.DefaultTrialRest || judged.Condemned() {
				t.Fatalf("after two crashes: got %+v, want the rest before a trial", judged)
			}
		}
		time.Sleep(poison.DefaultTrialRest)
		trial, _ := one.Begin(t.Context(), identify("bad"))
		if second, judged := other.Begin(t.Context(), identify("bad")); trial == nil || second != nil || judged.Permission != poison.Blocked {
			t.Fatalf("two claims: got runs %v and %v, the second with %+v, want only the first permitted", trial, second, judged)
		}
		trial.SetBackEnd("c@1", "10.0.0.3:1")
		trial.End(t.Context(), Crashed)
		late := g.newGuard()
		g.follow()
		for _, guard := range []*Guard{one, other, late} {
			if judged := run(t, guard, "bad", "a", Crashed); !judged.Condemned() || judged.Remaining != poison.DefaultCondemnedRest {
				t.Errorf("after three crashes: got %+v, want condemned with the default rest", judged)
			}
			if judged := run(t, guard, "good", "a", Answered); judged.Permission != poison.Free {
				t.Errorf("another request: got %+v, want free", judged)
			}
		}
		if records := g.records(); len(records) != 1 || records[0].Crashes != 3 || fmt.Sprint(records[0].Crashed) != "[a@1 b@1 c@1]" {
			t.Errorf("got records %+v, want one with 3 crashes of a@1, b@1 and c@1", records)
		}
	})
}

// TestCrashesOfOneStartCountOnce guards against counting a crash twice that two processes observed. A back end whose
// start is not known may have restarted under the same name, so each report of its crash counts.
func TestCrashesOfOneStartCountOnce(t *testing.T) {
	for instance, want := range map[string]uint32{"a": 1, "old": 2} {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(t)
			one, other := g.newGuard(), g.newGuard()
			run(t, one, "bad", instance, Crashed)
			run(t, other, "bad", instance, Crashed)
			if records := g.records(); len(records) != 1 || records[0].Crashes != want {
				t.Errorf("two reports of %s: got %+v, want %d crashes", instance, records, want)
			}
		})
	}
}

// TestBystandersAreCleared checks that a harmless request which ran beside two crashes is free in all processes after
// its trial was answered. A trial that was stopped or did not run proves nothing, and its claim is returned.
func TestBystandersAreCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one, other := g.newGuard(), g.newGuard()
		run(t, one, "good", "a", Crashed)
		run(t, one, "good", "b", Crashed)
		g.follow()
		for _, ending := range []Ending{Stopped, NotRun, Answered} {
			time.Sleep(poison.DefaultTrialRest)
			if judged := run(t, one, "good", "c", ending); judged.Permission != poison.Trial {
				t.Fatalf("before a trial with ending %d: got %+v, want a trial", ending, judged)
			}
			g.follow()
		}
		if judged := run(t, other, "good", "a", Answered); judged.Permission != poison.Free || len(g.records()) != 0 {
			t.Errorf("after the answer: got %+v and records %v, want free and none", judged, g.records())
		}
	})
}

// TestWithoutALeader checks a process whose control group has no leader. It counts the crashes that it observed, does
// not delay requests for long, does not run a request whose crash is not on record, and reports once there is a leader.
func TestWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		defer runGuard(t, one)()
		g.setLeaderless(true)
		began := time.Now()
		run(t, one, "bad", "a", Crashed)
		if took := time.Since(began); took > sendTimeout {
			t.Errorf("the report of a crash delayed its request by %s, want at most 150ms", took)
		}
		if judged := run(t, one, "bad", "b", Crashed); judged.Permission != poison.Blocked || judged.Crashes != 1 || judged.Remaining <= 0 {
			t.Errorf("without a leader: got %+v, want a rest after one crash", judged)
		}
		if took := time.Since(began); took > sendTimeout+maximumRecordWait {
			t.Errorf("two runs took %s without a leader, want at most 1.15s", took)
		}
		began = time.Now()
		if judged := run(t, one, "good", "b", Answered); judged.Permission != poison.Free || time.Since(began) > 0 {
			t.Errorf("another request: got %+v after %s, want free without delay", judged, time.Since(began))
		}
		g.setLeaderless(false)
		time.Sleep(2 * retryInterval)
		if records := g.records(); len(records) != 1 || records[0].Crashes != 1 {
			t.Errorf("with a leader again: got records %+v, want one with one crash", records)
		}
	})
}

// TestRunsWaitForTheRecord guards against a second run of a request whose crash is not on record yet: if the process
// were killed then, both crashes would be lost. The run waits, and begins as soon as a newly elected leader has taken
// the report.
func TestRunsWaitForTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		defer runGuard(t, one)()
		g.setLeaderless(true)
		run(t, one, "good", "a", Crashed)
		if made, judged := one.TryBegin(t.Context(), identify("good")); made != nil || judged.Permission != poison.Blocked {
			t.Errorf("a hedged run: got %+v, want refused with a rest", judged)
		}
		began := time.Now()
		time.AfterFunc(400*time.Millisecond, func() { g.setLeaderless(false) })
		if judged := run(t, one, "good", "b", Answered); judged.Permission != poison.Isolated || time.Since(began) > maximumRecordWait {
			t.Errorf("got %+v after %s, want apart within 1s", judged, time.Since(began))
		}
		if len(g.records()) != 0 {
			t.Errorf("after its answer: got records %+v, want none", g.records())
		}
	})
}

// TestRunsWaitForNoRecordThatIsNotKept guards against waiting for a record that may not be written: while some process
// may not understand rows of suspects, each process decides by the crashes that it observed itself.
func TestRunsWaitForNoRecordThatIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		one.config.Recorded = func() bool { return false }
		began := time.Now()
		for number, instance := range []string{"a", "b"} {
			if judged := run(t, one, "bad", instance, Crashed); judged.Permission == poison.Blocked {
				t.Errorf("run %d: got %+v, want no rest", number, judged)
			}
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("two runs took %s, want no delay", took)
		}
		if judged := run(t, one, "bad", "c", Crashed); judged.Permission != poison.Blocked || judged.Crashes != 2 {
			t.Errorf("after two crashes: got %+v, want a rest", judged)
		}
	})
}

// TestCrashesThatShowLate checks runs that broke off for an unknown reason. Such a run counts as a crash once the table
// shows that its back end has restarted or that another one has its address. It does not count if the back end keeps
// running, leaves as planned, or ends long after the run.
func TestCrashesThatShowLate(t *testing.T) {
	for name, test := range map[string]struct {
		before, after []string
		wait          time.Duration
		want          int
	}{
		"started again":       {after: []string{"a start_unix_millis 9"}, want: 1},
		"another one there":   {after: []string{"-a", "n kind backend", "n pool app", "n address 10.0.0.1:1"}, want: 1},
		"lives on":            {after: []string{"b start_unix_millis 9"}},
		"left by plan":        {before: []string{"a state draining"}, after: []string{"-a", "n kind backend", "n pool app", "n address 10.0.0.1:1"}},
		"long after the run":  {wait: 2 * brokenRunTime, after: []string{"a start_unix_millis 9"}},
		"taken out by nobody": {after: []string{"-a"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t)
				one := g.newGuard()
				if test.before != nil {
					g.put(test.before...)
				}
				run(t, one, "bad", "a", Interrupted)
				time.Sleep(test.wait)
				g.put(test.after...)
				synctest.Wait()
				if records := g.records(); len(records) != test.want {
					t.Errorf("got records %+v, want %d", records, test.want)
				}
			})
		})
	}
}

// TestPlannedEndsAreNoCrash guards against suspecting a request that the planned end of a draining back end
// interrupted.
func TestPlannedEndsAreNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		g.put("a state draining")
		run(t, one, "good", "a", Crashed)
		if records := g.records(); len(records) != 0 {
			t.Errorf("got records %+v, want none", records)
		}
	})
}

// TestManyAtOneCrashAreFewChanges guards against one change of the table for each run of a crashed engine: while the
// report of the first of sixteen runs is committed, the others queue and are committed together.
func TestManyAtOneCrashAreFewChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		g.commit = 5 * time.Millisecond
		var ending sync.WaitGroup
		for number := range 16 {
			made, _ := one.Begin(t.Context(), identify(fmt.Sprint(number)))
			made.SetBackEnd("a@1", "10.0.0.1:1")
			ending.Go(func() { made.End(t.Context(), Crashed) })
		}
		ending.Wait()
		if g.changes != 2 || len(g.records()) != 16 {
			t.Errorf("%d changes for %d suspects, want 2 for 16", g.changes, len(g.records()))
		}
		if occupied := one.Occupied(); len(occupied) != 0 {
			t.Errorf("got %v as occupied after all runs ended, want none", occupied)
		}
	})
}

// TestLateReportsToAFullRecord guards against a crash that counts for ever: its report is postponed without a leader,
// and the record is full once there is one.
func TestLateReportsToAFullRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		one.config.Settings.Maximum = 1
		other := identify("other")()
		name := poison.RowName(other.Digest())
		g.put(name+" kind suspect", name+" crashes 3")
		g.setLeaderless(true)
		run(t, one, "good", "a", Crashed)
		g.setLeaderless(false)
		if one.book.Len() != 2 {
			t.Fatalf("%d suspects before the report is refused, want 2", one.book.Len())
		}
		one.sendPostponed(t.Context())
		g.follow()
		if one.book.Len() != 1 {
			t.Errorf("%d suspects, want only the one on record", one.book.Len())
		}
	})
}

// TestOutdatedSuspectsAreForgotten checks that the leader removes a suspect after its retention and not before.
func TestOutdatedSuspectsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		defer runGuard(t, one)()
		run(t, one, "good", "a", Crashed)
		g.follow()
		time.Sleep(poison.DefaultCondemnedRest - time.Second)
		if len(g.records()) != 1 {
			t.Error("the suspect was removed before its retention ended")
		}
		time.Sleep(2 * time.Second)
		if records := g.records(); len(records) != 0 {
			t.Errorf("after the retention: got records %+v, want none", records)
		}
	})
}

// TestOperatorsReleaseAndCondemn checks that an operator can condemn a request by adding the row of a suspect, and
// release it by removing the row.
func TestOperatorsReleaseAndCondemn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		one := g.newGuard()
		identity := identify("bad")()
		name := poison.RowName(identity.Digest())
		g.put(name+" kind suspect", name+" crashes 3", name+" crashed_back_ends "+poison.AddTrial("", poison.OperatorTrial))
		if judged := run(t, one, "bad", "a", Answered); !judged.Condemned() {
			t.Errorf("after an operator added the row: got %+v, want condemned", judged)
		}
		g.put("-" + name)
		if judged := run(t, one, "bad", "a", Answered); judged.Permission != poison.Free {
			t.Errorf("after an operator removed the row: got %+v, want free", judged)
		}
	})
}

// TestEndingsOfCalls checks the ending that EndingOf derives from each kind of outcome of a call.
func TestEndingsOfCalls(t *testing.T) {
	for want, outcome := range map[Ending]replica.Outcome{
		NotRun:      {Verdict: verdict.DidNotRun, Peer: replica.PeerGone},
		Answered:    {Verdict: verdict.Ran, Complete: true, Status: 500},
		Crashed:     {Verdict: verdict.MayHaveRun, Peer: replica.PeerGone},
		Interrupted: {Verdict: verdict.Ran, Peer: replica.PeerListening},
	} {
		if got := EndingOf(outcome); got != want {
			t.Errorf("%+v: got ending %d, want %d", outcome, got, want)
		}
	}
}
