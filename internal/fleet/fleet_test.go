package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
	"github.com/tamarindring/tamarindring/internal/workload/caller"
)

func TestMain(m *testing.M) {
	// All of these belong to fasthttp: process-wide clocks, and cleaners that notice a stop only after their sleep.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

func testFleet(t *testing.T) *fleet {
	t.Helper()
	config := Config{Deployment: Deployments()[0], Folder: t.TempDir()}
	if err := config.setDefaults(); err != nil {
		t.Fatal(err)
	}
	return newFleet(config)
}

// result returns the counts of one invariant.
func result(t *testing.T, f *fleet, name invariant.Name) invariant.Result {
	t.Helper()
	for _, one := range f.registry.Results() {
		if one.Name == name {
			return one
		}
	}
	t.Fatalf("no invariant %s", name)
	return invariant.Result{}
}

// TestADispatchOnAnOldTableIsNotSeen examines a dispatch on an old version just before and just at the time at which
// the newer version must be in force. Only the second is a violation.
func TestADispatchOnAnOldTableIsNotSeen(t *testing.T) {
	f := testFleet(t)
	evidence := &f.evidence.table
	evidence.recordCreation(1, nil)
	change := &wire.TableChange{ChangeId: "second"}
	evidence.recordSending(change)
	at := time.Now()
	evidence.recordAnswer(change, &wire.TableResult{Outcome: wire.TableOutcome_TABLE_OUTCOME_ACCEPTED, Version: 2}, at)
	f.examineDispatch(gateway.Dispatch{At: at.Add(inForceBound - time.Millisecond), TableVersion: 1})
	if found := result(t, f, invariant.TableInForce); found.Examined != 1 || found.Violated != 0 {
		t.Fatalf("%+v: want no violation by a dispatch within the bound", found)
	}
	f.examineDispatch(gateway.Dispatch{At: at.Add(inForceBound), TableVersion: 1})
	if found := result(t, f, invariant.TableInForce); found.Examined != 2 || found.Violated != 1 {
		t.Fatalf("%+v: want a violation by a dispatch on version 1 after the bound", found)
	}
}

func TestNewWorkForALeavingBackendIsNotSeen(t *testing.T) {
	f := testFleet(t)
	at := time.Now()
	f.evidence.recordLeave(at, "engine-1")
	for _, dispatch := range []gateway.Dispatch{
		{Kind: "send", Backend: "engine-1", At: at.Add(leaveBound)},
		{Kind: "resume", Backend: "engine-1", At: at.Add(2 * leaveBound)},
		{Kind: "send", Backend: "engine-2", At: at.Add(2 * leaveBound)},
	} {
		f.examineDispatch(dispatch)
	}
	if found := result(t, f, invariant.LeavingBackend); found.Examined != 1 || found.Violated != 0 {
		t.Fatalf("%+v: want only the dispatch to engine-2 examined, without a violation", found)
	}
	f.examineDispatch(gateway.Dispatch{Kind: "send", Backend: "engine-1", At: at.Add(2 * leaveBound)})
	if found := result(t, f, invariant.LeavingBackend); found.Violated != 1 {
		t.Fatalf("%+v: want a violation by a send after the bound", found)
	}
}

// TestATightenedBoundIsNotExpected tightens the staleness bound. A trainer must accept the old bound until the new
// one is in force, and not after that.
func TestATightenedBoundIsNotExpected(t *testing.T) {
	f := testFleet(t)
	evidence := &f.evidence.table
	bound := func(value string) []*wire.CellChange {
		return []*wire.CellChange{{Row: poolModel, Column: table.ColumnStalenessBound, Value: value}}
	}
	evidence.recordCreation(1, bound("3"))
	change := &wire.TableChange{ChangeId: "tighter", Cells: bound("2")}
	evidence.recordSending(change)
	evidence.recordAnswer(change, &wire.TableResult{Outcome: wire.TableOutcome_TABLE_OUTCOME_ACCEPTED, Version: 2}, time.Now())
	if now, _ := evidence.largestBound(); now != 3 {
		t.Fatalf("bound %d, want 3 until the tightened bound is in force", now)
	}
	evidence.recordInForce(2, time.Now().Add(-logSlack))
	if now, _ := evidence.largestBound(); now != 2 {
		t.Fatalf("bound %d, want 2 once the tightened bound is in force", now)
	}
}

// TestADoubledExecutionIsNotSeen runs a key twice at an application replica, and runs a key whose caller was told
// that it did not run. Both must be violations.
func TestADoubledExecutionIsNotSeen(t *testing.T) {
	f := testFleet(t)
	for _, part := range f.applications {
		if err := part.startNew(context.Background()); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = part.kill() }()
	}
	for _, key := range []string{"twice", "twice", "refused", "once"} {
		invoke(t, f.applications[0].address, key)
	}
	f.examineVerdicts([]caller.Call{{Key: "twice", Verdict: verdict.Ran}, {Key: "refused", Verdict: verdict.DidNotRun},
		{Key: "once", Verdict: verdict.Ran, Answered: true}}, f.runs)
	if found := result(t, f, invariant.RunAtMostOnce); found.Examined != 3 || found.Violated != 1 {
		t.Fatalf("run-at-most-once: %+v, want 3 examined and 1 violated", found)
	}
	if found := result(t, f, invariant.NotRunIsFinal); found.Examined != 1 || found.Violated != 1 {
		t.Fatalf("not-run-is-final: %+v, want 1 examined and 1 violated", found)
	}
}

func invoke(t *testing.T, address, key string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/invoke/push", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Idempotency-Key", key)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d: %v", response.StatusCode, err)
	}
}

func TestARunThatExaminedNothingPasses(t *testing.T) {
	f := testFleet(t)
	if summary := f.registry.Summary(); summary.Passed() || len(summary.Unexamined) != 10 {
		t.Fatalf("%+v: want all ten invariants unexamined", summary)
	}
	report := &Report{Unexamined: []invariant.Name{invariant.SampleOnce}}
	if report.Passed() {
		t.Fatal("a report with an unexamined invariant passed")
	}
}

// TestAWholeDeploymentBreaksAPromise runs a deployment for ten seconds. No invariant may be violated or stay
// unexamined.
func TestAWholeDeploymentBreaksAPromise(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for ten seconds")
	}
	report, err := Run(context.Background(), Config{Deployment: Deployments()[0], Duration: MinimumDuration, Folder: t.TempDir(), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if report.Violations > 0 {
		t.Fatalf("violations: %+v", report.Invariants)
	}
	if !report.Passed() {
		t.Fatalf("unexamined: %v", report.Unexamined)
	}
	folder := t.TempDir()
	if err := report.Write(folder); err != nil {
		t.Fatal(err)
	}
	checkKeys(t, filepath.Join(folder, "report.json"))
}

// checkKeys checks that report.json has the keys on which its readers rely.
func checkKeys(t *testing.T, path string) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(content, &keys); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"violations", "invariants", "live", "rollout", "trainers", "control"} {
		if keys[key] == nil {
			t.Errorf("report.json has no %s", key)
		}
	}
}
