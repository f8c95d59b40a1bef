package batchrun

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/executorclient"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/weights"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	testEvents  = 6                // events in each item's answer
	testTimeout = 30 * time.Second // after which a test fails; tests don't assert any durations
)

// fakeGroup is a ledger group of one node, with a real state machine.
type fakeGroup struct {
	mutex       sync.Mutex
	machine     *state.Machine
	index       uint64
	term        uint64
	leading     bool
	changed     chan struct{}
	beforeApply func(command *wire.Command) // may change the command; may be nil
	// failedReads is how many of the next local queries fail.
	failedReads int
}

var errUnread = errors.New("the state cannot be read")

func newFakeGroup() *fakeGroup {
	return &fakeGroup{machine: state.New(), term: 1, leading: true, changed: make(chan struct{}, 1)}
}

func (g *fakeGroup) Leads() (uint64, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.term, g.leading
}

// setLeader sets the term and whether the node leads in it.
func (g *fakeGroup) setLeader(term uint64, leading bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.term, g.leading = term, leading
}

func (g *fakeGroup) Changed() <-chan struct{} { return g.changed }

func (g *fakeGroup) Query(_ context.Context, query *wire.Query) (*wire.View, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.machine.Query(query)
}

func (g *fakeGroup) LocalQuery(ctx context.Context, query *wire.Query) (*wire.View, error) {
	g.mutex.Lock()
	fails := g.failedReads > 0
	g.failedReads = max(g.failedReads-1, 0)
	g.mutex.Unlock()
	if fails {
		return nil, errUnread
	}
	return g.Query(ctx, query)
}

func (g *fakeGroup) Propose(_ context.Context, command *wire.Command) (*wire.Result, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.index++
	if g.beforeApply != nil {
		g.beforeApply(command)
	}
	result := g.machine.Apply(g.index, command)
	if command.GetJobSubmit() != nil || command.GetJobEnd() != nil {
		select {
		case g.changed <- struct{}{}:
		default:
		}
	}
	return result, nil
}

// fakeSession has a table and a lease on it, which is valid unless expired is set.
type fakeSession struct {
	mutex   sync.Mutex
	view    *table.View
	version uint64
	expired bool
	addRows func(row func(name string, cells ...string)) // adds further rows to each table; may be nil
}

func (s *fakeSession) AdmitView() (*table.View, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view, !s.expired
}

// set replaces the table with a new one. Each back end of pool p is given as "name state", followed by further cells.
func (s *fakeSession) set(t *testing.T, slots int, backends ...string) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	update := &wire.TableUpdate{ToVersion: s.version}
	row := func(name string, cells ...string) {
		added := &wire.TableRow{Name: name}
		for _, cell := range cells {
			column, value, _ := strings.Cut(cell, "=")
			added.Cells = append(added.Cells, &wire.TableCell{Column: column, Value: value})
		}
		update.Rows = append(update.Rows, added)
	}
	row("p", "kind=pool", fmt.Sprint("max_in_flight=", slots))
	for number, backend := range backends {
		words := strings.Fields(backend)
		row(words[0], append([]string{"kind=backend", "pool=p", fmt.Sprint("address=10.0.0.1:", 1000+number), "state=" + words[1]}, words[2:]...)...)
	}
	if s.addRows != nil {
		s.addRows(row)
	}
	view, err := table.NewView().Apply(update)
	if err != nil {
		t.Fatal(err)
	}
	s.view = view
}

// behaviour is how a fake replica answers a call.
type behaviour func(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome

// fakeReplicas is a replica.Caller with a behaviour for each instance.
type fakeReplicas struct {
	mutex       sync.Mutex
	behaviours  map[string]behaviour // by instance; default answerWith(5)
	calls       []replica.Call       // admitted calls
	running     map[string]int       // running calls by attempt
	overlapped  bool                 // an attempt had more than one running call
	beforeAdmit func()               // called before a call is admitted; may be nil
}

func (f *fakeReplicas) Do(ctx context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
	if f.beforeAdmit != nil {
		f.beforeAdmit()
	}
	if err := call.Admit(); err != nil {
		return replica.Outcome{Verdict: verdict.DidNotRun, Err: err}
	}
	f.mutex.Lock()
	f.calls = append(f.calls, *call)
	f.running[call.AttemptID]++
	f.overlapped = f.overlapped || f.running[call.AttemptID] > 1
	play := f.behaviours[call.Instance]
	f.mutex.Unlock()
	defer func() {
		f.mutex.Lock()
		f.running[call.AttemptID]--
		f.mutex.Unlock()
	}()
	if play == nil {
		play = answerWith(5)
	}
	return play(ctx, call, sink)
}

func (f *fakeReplicas) isRunning(attempt string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.running[attempt] > 0
}

// set replaces the behaviours of both replicas.
func (f *fakeReplicas) set(first, second behaviour) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.behaviours["r1"], f.behaviours["r2"] = first, second
}

func (f *fakeReplicas) callsTo(instance string) []replica.Call {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var calls []replica.Call
	for _, call := range f.calls {
		if instance == "" || call.Instance == instance {
			calls = append(calls, call)
		}
	}
	return calls
}

// answerWith sends complete answers. The head has the first of the weight versions, and event i switches to version i
// if there is one.
func answerWith(versions ...uint64) behaviour {
	return func(_ context.Context, call *replica.Call, sink replica.Sink) replica.Outcome {
		return sendEvents(call, sink, testEvents, versions...)
	}
}

// sendEvents sends the events up to a count. A count below testEvents ends the answer early, in the middle of an event.
func sendEvents(call *replica.Call, sink replica.Sink, count int, versions ...uint64) replica.Outcome {
	outcome := replica.Outcome{Status: 200, Verdict: verdict.Ran}
	if outcome.Err = sink.Head(replica.Head{Status: 200, Stream: true, Length: -1, Version: versions[0]}); outcome.Err != nil {
		return outcome
	}
	for id := call.ResumeAfter + 1; id < int64(count); id++ {
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", id, call.AttemptID, id)
		if int(id) < len(versions) {
			event = fmt.Sprintf("x-version: %d\n%s", versions[id], event)
		}
		if outcome.Err = sink.Body([]byte(event)); outcome.Err != nil {
			return outcome
		}
	}
	if count < testEvents {
		outcome.Err = sink.Body([]byte("id: 99\ndata: ha"))
		return outcome
	}
	outcome.Complete = true
	return outcome
}

func statusOnly(status int) behaviour {
	return func(_ context.Context, _ *replica.Call, sink replica.Sink) replica.Outcome {
		err := sink.Head(replica.Head{Status: status})
		return replica.Outcome{Status: status, Verdict: verdict.Ran, Err: err}
	}
}

func refusing(reason replica.Refusal) behaviour {
	return func(context.Context, *replica.Call, replica.Sink) replica.Outcome {
		return replica.Outcome{Verdict: verdict.DidNotRun, Refused: reason, Err: errors.New("refused")}
	}
}

// rig is a runner with fakes of everything that it depends on.
type rig struct {
	retention time.Duration
	group     *fakeGroup
	session   *fakeSession
	replicas  *fakeReplicas
	routed    bool // requests have a route; guarded by mutex
	mutex     sync.Mutex
	runner    *Runner // set by run
	serving   func() *weights.Serving
	// listInterval is Config.ListInterval; 0: the default.
	listInterval time.Duration
	logged       *logrustest.Hook // the runner's log
	guard        *poisonguard.Guard
	executors    func() []executorclient.Peer
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{group: newFakeGroup(), session: &fakeSession{}, routed: true, logged: new(logrustest.Hook),
		replicas: &fakeReplicas{behaviours: map[string]behaviour{}, running: map[string]int{}}}
	r.session.set(t, 4, "r1 active", "r2 active")
	return r
}

func (r *rig) route(*table.View, string, string) (Route, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return Route{Pools: []schedule.Share{{Pool: "p", Weight: 1}}}, r.routed
}

// log returns a log whose only output is r.logged.
func (r *rig) log() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.AddHook(r.logged)
	return logrus.NewEntry(logger)
}

// eventsOf returns the events of a type that the runner has logged.
func eventsOf[T logging.Event](r *rig) []T {
	var found []T
	for _, entry := range r.logged.AllEntries() {
		for _, value := range entry.Data {
			if event, is := value.(T); is {
				found = append(found, event)
			}
		}
	}
	return found
}

// run starts the runner, and stops it at the end of the test.
func (r *rig) run(t *testing.T) {
	t.Helper()
	firstEvent, stall := 100*time.Millisecond, time.Duration(0)
	if r.executors != nil { // they report progress only a few times a second
		firstEvent, stall = testTimeout, testTimeout
	}
	runner, err := New(Config{
		Group: r.group, Session: r.session, Caller: r.replicas, Route: r.route, VersionField: "x-version", ScoreHeader: "x-score", Checkpoint: 1, // after each event
		Retention: r.retention, ListInterval: r.listInterval, Serving: r.serving, ServingWait: time.Hour,
		Schedule: schedule.Settings{FirstEvent: firstEvent, MinimumStall: stall, FailurePause: 5 * time.Millisecond,
			MaximumPause: 20 * time.Millisecond, VersionPause: 5 * time.Millisecond},
		Guard: r.guard, Executors: r.executors, Log: r.log(),
	})
	if err != nil {
		t.Fatal(err)
	}
	r.runner = runner
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		runner.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		if r.replicas.overlapped {
			t.Error("an item ran at two replicas at the same time")
		}
	})
	if r.executors != nil { // until it is connected, the leader drives runs itself
		r.until(t, "the connection to an executor", func() bool { return len(eventsOf[*events.ExecutorGreeted](r)) > 0 })
	}
}

func (r *rig) submit(t *testing.T, id string, items int, change func(*wire.JobSubmit)) {
	t.Helper()
	submit := &wire.JobSubmit{Id: id, SentUnixMillis: time.Now().UnixMilli(), DeadlineMillis: 5000}
	for number := range items {
		submit.Items = append(submit.Items, &wire.JobItem{Id: fmt.Sprint("i", number), Method: "POST", Path: "/x", Group: fmt.Sprint("g", number/2)})
	}
	if change != nil {
		change(submit)
	}
	submit.Digest = batch.Digest(submit)
	r.propose(t, &wire.Command{Kind: &wire.Command_JobSubmit{JobSubmit: submit}})
}

func (r *rig) propose(t *testing.T, command *wire.Command) {
	t.Helper()
	result, err := r.group.Propose(t.Context(), command)
	if err != nil || result.GetJob().GetOutcome() != wire.JobOutcome_JOB_OUTCOME_ACCEPTED {
		t.Fatalf("result %v and error %v, want the command to be accepted", result, err)
	}
}

// partialEvents counts the events in the committed texts of unfinished items.
func (r *rig) partialEvents(t *testing.T) (events uint64) {
	t.Helper()
	view, err := r.group.Query(t.Context(), &wire.Query{Kind: &wire.Query_JobWork{JobWork: &wire.JobWorkQuery{}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, work := range view.GetJobWork().GetJobs() {
		for _, partial := range work.GetPartials() {
			events += partial.GetEvents()
		}
	}
	return events
}

// await waits until a job has at least count results, and returns them by item.
func (r *rig) await(t *testing.T, job string, count int) map[string]*wire.JobResult {
	t.Helper()
	found := map[string]*wire.JobResult{}
	r.until(t, fmt.Sprintf("%d results of %s", count, job), func() bool {
		query := &wire.Query{Kind: &wire.Query_JobResults{JobResults: &wire.JobResultsQuery{Job: job}}}
		view, err := r.group.Query(t.Context(), query)
		if err != nil {
			t.Fatal(err)
		}
		for _, result := range view.GetJobResults().GetResults() {
			found[result.GetItem()] = result
		}
		return len(found) >= count
	})
	return found
}

// until waits until a condition is true. The test fails if it is still false after testTimeout.
func (r *rig) until(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); !reached(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// wantWhole checks that a result has its item's complete text, generated by the given versions.
func wantWhole(t *testing.T, result *wire.JobResult, versions string) {
	t.Helper()
	var lines []string
	for id := range testEvents {
		lines = append(lines, fmt.Sprintf("%s-%d", result.GetItem(), id))
	}
	if result.GetState() != wire.JobItemState_JOB_ITEM_STATE_COMPLETED || textOf(t, result) != strings.Join(lines, "\n") {
		t.Fatalf("result %v, want a completed item with its complete text", result)
	}
	if got := fmt.Sprint(result.GetVersions()); got != versions {
		t.Fatalf("versions %s, want %s", got, versions)
	}
}

func textOf(t *testing.T, result *wire.JobResult) string {
	t.Helper()
	text, err := batch.Text(result)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
