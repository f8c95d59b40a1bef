package batchclient

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/servertest"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// fakeLedger is a ledger group in memory. If failure is set, every call returns it.
type fakeLedger struct {
	machine *state.Machine
	index   uint64
	failure error
	queries int
	arrival *wire.JobStore // if not nil, applied before the third query
	seen    func(query *wire.Query, view *wire.View)
}

func (l *fakeLedger) Execute(_ context.Context, _ uint32, command *wire.Command) (*wire.Result, error) {
	if l.failure != nil {
		return nil, l.failure
	}
	l.index++
	return l.machine.Apply(l.index, command), nil
}

func (l *fakeLedger) Query(_ context.Context, _ uint32, query *wire.Query) (*wire.View, error) {
	if l.queries++; l.queries == 3 && l.arrival != nil {
		l.index++
		l.machine.Apply(l.index, &wire.Command{Kind: &wire.Command_JobStore{JobStore: l.arrival}})
	}
	if l.failure != nil {
		return nil, l.failure
	}
	view, err := l.machine.Query(query)
	if l.seen != nil {
		l.seen(query, view)
	}
	return view, err
}

func newClient(t *testing.T) (*Client, *fakeLedger) {
	t.Helper()
	ledger := &fakeLedger{machine: state.New()}
	return New(ledger, viewOf(t)), ledger
}

// viewOf returns a function that returns a table with one route for batch jobs.
func viewOf(t *testing.T) func() *table.View {
	t.Helper()
	row := func(name string, cells ...string) *wire.TableRow {
		made := &wire.TableRow{Name: name}
		for position := 0; position < len(cells); position += 2 {
			made.Cells = append(made.Cells, &wire.TableCell{Column: cells[position], Value: cells[position+1]})
		}
		return made
	}
	view, err := table.NewView().Apply(&wire.TableUpdate{ToVersion: 7, Rows: []*wire.TableRow{
		row("pool-a", "kind", "pool"),
		row("route-a", "kind", "route", "host", "h.example", "path_prefix", "/a/", "pools", "pool-a:1", "route_kind", "batch",
			"max_attempts", "3", "queue_ttl_millis", "40000", "deadline_millis", "7500", "single_version", "true"),
	}})
	if err != nil {
		t.Fatal(err)
	}
	return func() *table.View { return view }
}

func exampleBatch(header ...replica.Header) *Job {
	return &Job{ID: "j", Host: "h.example", Route: "route-a", Received: time.UnixMilli(5000), Step: 2, Model: "m",
		MinVersion: 4, Desired: 1, Items: []Item{{ID: "i", Path: "/a/x", Header: header, Body: []byte{1, 2}, Tokens: 9, Group: "g"}}}
}

// TestBatchJobIsSubmittedWithItsRoute: a job must be stored with the settings of its route, and a resend must be equal
// to it in any order of its headers.
func TestBatchJobIsSubmittedWithItsRoute(t *testing.T) {
	store, ledger := newClient(t)
	first, second := replica.Header{Name: "X-Model", Value: "m"}, replica.Header{Name: "X-B", Value: "b"}
	// A resend may have its headers in any order.
	for _, job := range []*Job{exampleBatch(first, second), exampleBatch(second, first)} {
		if err := store.Submit(t.Context(), job); err != nil {
			t.Fatal(err)
		}
	}
	other := exampleBatch(first)
	if err := store.Submit(t.Context(), other); !trace.IsBadParameter(err) {
		t.Fatalf("submit of other content: %v, want BadParameter", err)
	}
	work := servertest.MustQuery(t, ledger.machine, &wire.Query{Kind: &wire.Query_JobWork{JobWork: &wire.JobWorkQuery{}}}).GetJobWork()
	job := work.GetJobs()[0].GetJob()
	if job.GetMaxAttempts() != 3 || job.GetQueueTtlMillis() != 40_000 || job.GetDeadlineMillis() != 7500 || !job.GetSingleVersion() ||
		job.GetTableVersion() != 7 || job.GetSentUnixMillis() != 5000 || job.GetItems()[0].GetHost() != "h.example" {
		t.Fatalf("stored job %v, want the settings of its route", job)
	}
	gone := exampleBatch()
	gone.Route = "none"
	if err := store.Submit(t.Context(), gone); verdict.Of(err) != verdict.DidNotRun {
		t.Fatalf("submit without a route: %v, want DidNotRun", err)
	}
}

// TestRewardCallsAreSubmittedWithTheirItem: a reward call must be stored with its item, and a job with an invalid one
// must not be stored.
func TestRewardCallsAreSubmittedWithTheirItem(t *testing.T) {
	for name, test := range map[string]struct {
		reward Reward
		taken  bool
		want   func(error) bool
	}{
		"whole":    {Reward{ID: "c", Host: "h.example", Path: "/a/score", Body: []byte{3}}, true, func(err error) bool { return err == nil }},
		"no id":    {Reward{Host: "h.example", Path: "/a/score"}, false, trace.IsBadParameter},
		"no host":  {Reward{ID: "c", Path: "/a/score"}, false, trace.IsBadParameter},
		"no path":  {Reward{ID: "c", Host: "h.example"}, false, trace.IsBadParameter},
		"relative": {Reward{ID: "c", Host: "h.example", Path: "a/score"}, false, trace.IsBadParameter},
		"no route": {Reward{ID: "c", Host: "h.example", Path: "/b"}, false, func(err error) bool { return verdict.Of(err) == verdict.DidNotRun }},
	} {
		store, ledger := newClient(t)
		job := exampleBatch()
		job.Items[0].Reward = &test.reward
		if err := store.Submit(t.Context(), job); !test.want(err) {
			t.Errorf("%s: %v", name, err)
		}
		jobs := servertest.MustQuery(t, ledger.machine, &wire.Query{Kind: &wire.Query_JobWork{JobWork: &wire.JobWorkQuery{}}}).GetJobWork().GetJobs()
		if taken := len(jobs) > 0; taken != test.taken {
			t.Errorf("%s: stored %v, want the opposite", name, taken)
			continue
		}
		if !test.taken {
			continue
		}
		held := jobs[0].GetJob().GetItems()[0].GetReward()
		if held.GetId() != "c" || held.GetHost() != "h.example" || held.GetPath() != "/a/score" || string(held.GetBody()) != "\x03" {
			t.Errorf("stored reward call: %v", held)
		}
	}
}

// TestBatchErrorsKeepTheirVerdict: callers decide on retries by the verdict, so that an error of the ledger must keep
// it.
func TestBatchErrorsKeepTheirVerdict(t *testing.T) {
	store, ledger := newClient(t)
	for _, known := range []verdict.Verdict{verdict.DidNotRun, verdict.MayHaveRun} {
		ledger.failure = verdict.New(known, "no leader")
		if err := store.Submit(t.Context(), exampleBatch()); verdict.Of(err) != known {
			t.Fatalf("want verdict %v, got %v", known, err)
		}
		if _, err := store.Results(t.Context(), Reference{ID: "j"}, 0, 0); err == nil || trace.IsNotFound(err) {
			t.Fatalf("a failed read returned: %v, want an error other than NotFound", err)
		}
	}
}

// TestBatchIsReadByPosition follows a job from before its submission to after its end, including a read that waits for
// a result.
func TestBatchIsReadByPosition(t *testing.T) {
	store, ledger := newClient(t)
	if _, err := store.Results(t.Context(), Reference{ID: "j"}, 0, 0); !trace.IsNotFound(err) {
		t.Fatal(err)
	}
	if err := store.End(t.Context(), Reference{ID: "j"}); !trace.IsNotFound(err) {
		t.Fatal(err)
	}
	if err := store.Submit(t.Context(), exampleBatch()); err != nil {
		t.Fatal(err)
	}
	body, err := store.Item(t.Context(), Reference{ID: "j"}, "i")
	if err != nil || string(body) != "\x01\x02" {
		t.Fatalf("body %q (%v), want 01 02", body, err)
	}
	found, err := store.Results(t.Context(), Reference{ID: "j"}, 0, 0)
	if err != nil || found.Total != 1 || len(found.Results) != 0 {
		t.Fatalf("%v (%v), want no results of 1 item", found, err)
	}
	result := &wire.JobResult{Item: "i", State: wire.JobItemState_JOB_ITEM_STATE_COMPLETED, Text: []byte("a\nb"), Versions: []uint64{4, 5}}
	ledger.queries, ledger.arrival = 0, &wire.JobStore{Jobs: []*wire.JobResults{{Job: "j", Results: []*wire.JobResult{result}}}}
	if found, err = store.Results(t.Context(), Reference{ID: "j"}, 0, time.Minute); err != nil || len(found.Results) != 1 {
		t.Fatalf("a waiting reader got %v (%v), want 1 result", found, err)
	}
	for range 2 {
		if err := store.End(t.Context(), Reference{ID: "j"}); err != nil {
			t.Fatal(err)
		}
	}
	found, err = store.Results(t.Context(), Reference{ID: "j"}, 0, time.Second)
	if err != nil || !found.Results[0].Completed || found.Results[0].Text != "a\nb" || len(found.Results[0].Versions) != 2 {
		t.Fatalf("after the end: %v (%v), want 1 completed result", found, err)
	}
	if _, err := store.Item(t.Context(), Reference{ID: "j"}, "i"); !trace.IsNotFound(err) {
		t.Fatal(err)
	}
	ledger.failure = errors.New("cut off")
	if _, err := store.Item(t.Context(), Reference{ID: "j"}, "i"); err == nil || trace.IsNotFound(err) {
		t.Fatal(err)
	}
}

// TestItemsThatHoldAnotherRequestAreRejected guards against an item of which a line break, or a blank in its path, puts a
// second request before a replica.
func TestItemsThatHoldAnotherRequestAreRejected(t *testing.T) {
	const request = "x\r\n\r\nPOST /a/second HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, change := range map[string]func(item *Item){
		"value":            func(item *Item) { item.Header[0].Value = request },
		"name":             func(item *Item) { item.Header[0].Name = "X: y\r\nZ" },
		"name with blank":  func(item *Item) { item.Header[0].Name = "X-Odd " },
		"no name":          func(item *Item) { item.Header[0].Name = "" },
		"bare line feed":   func(item *Item) { item.Header[0].Value = "x\ny" },
		"id":               func(item *Item) { item.ID = "i\r\nX: y" },
		"path":             func(item *Item) { item.Path = "/a/x HTTP/1.1\r\nHost: h\r\n\r\nPOST /a/second" },
		"blank in path":    func(item *Item) { item.Path = "/a/x y" },
		"relative path":    func(item *Item) { item.Path = "a/x" },
		"reward call's id": func(item *Item) { item.Reward = &Reward{ID: "c\r\nX: y", Host: "h.example", Path: "/a/score"} },
		"reward call's path": func(item *Item) {
			item.Reward = &Reward{ID: "c", Host: "h.example", Path: "/a/score HTTP/1.1\r\n\r\n"}
		},
		"reward call's host": func(item *Item) { item.Reward = &Reward{ID: "c", Host: "h\r\nX: y", Path: "/a/score"} },
	} {
		store, ledger := newClient(t)
		job := exampleBatch(replica.Header{Name: "X-Model", Value: "m \u00e4\t"})
		change(&job.Items[0])
		if err := store.Submit(t.Context(), job); !trace.IsBadParameter(err) {
			t.Errorf("%s: got %v, want BadParameter", name, err)
		}
		view := servertest.MustQuery(t, ledger.machine, &wire.Query{Kind: &wire.Query_JobWork{JobWork: &wire.JobWorkQuery{}}})
		if stored := view.GetJobWork().GetJobs(); len(stored) > 0 {
			t.Errorf("%s: stored %v", name, stored)
		}
	}
}
