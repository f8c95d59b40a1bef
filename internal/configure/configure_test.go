package configure

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/route"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// fakeControl is a Control with a table and without consensus.
type fakeControl struct {
	table   *table.Table
	before  func() // run once before the next change, to simulate another operator
	fetched int    // number of rows that reads returned
	lost    error  // if set, the error of every change, whose outcome is then unknown
}

func (f *fakeControl) Query(_ context.Context, _ uint32, query *wire.Query) (*wire.View, error) {
	update := f.table.UpdateSince(query.GetTable().GetKnownVersion())
	f.fetched += len(update.GetRows())
	return &wire.View{Kind: &wire.View_Table{Table: update}}, nil
}

func (f *fakeControl) ChangeTable(_ context.Context, change *wire.TableChange, _ bool) (*wire.TableResult, uint64, error) {
	if hook := f.before; hook != nil {
		f.before = nil
		hook()
	}
	if f.lost != nil {
		return nil, 0, f.lost
	}
	return f.table.Apply(change), 0, nil
}

func example(revision uint64) *Configuration {
	return &Configuration{
		Revision: revision, Text: fmt.Sprintf("{\"version\": %d}\n", revision),
		Pools: []Pool{{Name: "a", Service: table.Engine, MaxInFlight: 12, HealthPath: "/healthz", Models: []string{"m0", "m1"}},
			{Name: "odd name/ü", Service: table.Application}},
		Routes: []route.Route{
			{Name: "one", Host: "h", PathPrefix: "/a/", Pools: []route.Share{{Pool: "a", Weight: 9}, {Pool: "odd name/ü", Weight: 1}, {Pool: "a", Weight: 1}},
				Kind: table.Batch, Timeout: 10 * time.Second, MaxAttempts: 3, QueueTTL: 40 * time.Second, Deadline: 7500 * time.Millisecond, Sticky: true},
			{Name: "one", Host: "h", PathPrefix: "/b/", Pools: []route.Share{{Pool: "a", Weight: 1}}, Kind: table.Repeatable, Timeout: 1},
		},
	}
}

func TestConfigurationBecomesRows(t *testing.T) {
	control := &fakeControl{table: table.New()}
	importer := &Importer{Control: control, Operator: "test"}
	if err := importer.Put(t.Context(), example(7)); err != nil {
		t.Fatal(err)
	}
	view, _ := ReadView(t.Context(), control, nil)
	routes := route.NewTable(view)
	one, other := routes.Match("h", "/a/x"), routes.Match("h", "/b/")
	if one == nil || other == nil || len(one.Pools) != 2 || one.Pools[0] != (route.Share{Pool: "a", Weight: 10}) || one.QueueTTL != 40*time.Second ||
		one.Deadline != 7500*time.Millisecond || !one.Sticky || one.MaxAttempts != 3 || other.Timeout != time.Millisecond || other.Kind != table.Repeatable {
		t.Fatalf("routes %+v and %+v differ from the configuration", one, other)
	}
	if pool := view.Pool("a"); pool.MaxInFlight != 12 || pool.MaxConnections != 1024 || pool.HealthPath != "/healthz" || len(pool.Models) != 2 {
		t.Fatalf("pool %+v differs from the configuration", pool)
	}
	if view.Pool(RowName("odd name/ü")) == nil || view.Row(ListenerRow).MaxHeader != 16384 {
		t.Fatal("the pool whose name is not a row name, or the listener's default, is missing")
	}
}

func TestInvalidConfigurationChangesNothing(t *testing.T) {
	for name, breakConfiguration := range map[string]func(*Configuration){
		"revision":  func(c *Configuration) { c.Revision = 0 },
		"pool":      func(c *Configuration) { c.Routes[0].Pools[0].Pool = "unknown" },
		"no pool":   func(c *Configuration) { c.Routes[0].Pools = nil },
		"weights":   func(c *Configuration) { c.Routes[1].Pools[0].Weight = 0 },
		"timeout":   func(c *Configuration) { c.Routes[1].Timeout = 0 },
		"same":      func(c *Configuration) { c.Routes[1].Host, c.Routes[1].PathPrefix = "H", "/a/" },
		"prefix":    func(c *Configuration) { c.Routes[1].PathPrefix = "/b" },
		"host":      func(c *Configuration) { c.Routes[1].Host = "a b" },
		"two pools": func(c *Configuration) { c.Pools[1].Name = "a" },
	} {
		control := &fakeControl{table: table.New()}
		importer := &Importer{Control: control}
		broken := example(1)
		breakConfiguration(broken)
		if err := importer.Put(t.Context(), broken); !trace.IsBadParameter(err) || control.table.Version() != 0 {
			t.Errorf("%s: got error %v and table version %d, want BadParameter and 0", name, err, control.table.Version())
		}
	}
}

// TestHighestRevisionPrevails guards against an older configuration that overwrites a newer one. It writes revisions in
// random order, sometimes with another operator's write between planning and applying a change, which makes the change
// conflict.
func TestHighestRevisionPrevails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		control := &fakeControl{table: table.New()}
		importer := &Importer{Control: control, Operator: "test"}
		want := &Configuration{}
		put := func(label string) {
			c := example(uint64(rapid.IntRange(1, 9).Draw(t, label)))
			c.Routes = c.Routes[:rapid.IntRange(0, 2).Draw(t, label+" routes")]
			c.Text = strings.Repeat(c.Text, len(c.Routes)+1)
			if err := importer.Put(context.Background(), c); err != nil {
				t.Fatal(err)
			}
			if c.Revision > want.Revision { // a concurrent write within Put has completed before
				want = c
			}
			if revision, text, _ := importer.Get(context.Background()); revision != want.Revision || text != want.Text {
				t.Fatalf("got revision %d with %q, want %d with %q", revision, text, want.Revision, want.Text)
			}
			view, _ := ReadView(context.Background(), control, nil)
			if len(route.FromView(view)) != len(want.Routes) {
				t.Fatalf("got %d routes, want %d", len(route.FromView(view)), len(want.Routes))
			}
		}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "raced") {
				control.before = func() { put("other") }
			}
			put("own")
		}
	})
}

// TestReadsFetchOnlyNewerRows guards against reads whose cost grows with the number of back ends. A process that
// follows the table must read and change the configuration without fetching rows that it has, and see the same as a
// read of the whole table.
func TestReadsFetchOnlyNewerRows(t *testing.T) {
	control := &fakeControl{table: table.New()}
	other := &Importer{Control: control, Operator: "other"}
	if err := other.Put(t.Context(), example(1)); err != nil {
		t.Fatal(err)
	}
	fleet := &wire.TableChange{ChangeId: "fleet", BaseVersion: control.table.Version()}
	for number := range 500 {
		name := fmt.Sprintf("backend-%d", number)
		for column, value := range map[string]string{table.ColumnKind: string(table.Backend), table.ColumnPool: "a",
			table.ColumnAddress: fmt.Sprintf("10.0.%d.%d:80", number/250, number%250+1)} {
			fleet.Cells = append(fleet.Cells, &wire.CellChange{Row: name, Column: column, Value: value})
		}
	}
	if result := control.table.Apply(fleet); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	followed, err := ReadView(t.Context(), control, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err = other.Put(t.Context(), example(2)); err != nil { // the view lags by this one
		t.Fatal(err)
	}
	control.fetched = 0
	importer := &Importer{Control: control, Operator: "test", View: func() *table.View { return followed }}
	if revision, text, err := importer.Get(t.Context()); err != nil || revision != 2 || text != example(2).Text {
		t.Fatalf("got revision %d (error %v), want 2 with its text", revision, err)
	}
	if err = importer.Put(t.Context(), example(3)); err != nil {
		t.Fatal(err)
	}
	if control.fetched == 0 || control.fetched > 20 {
		t.Fatalf("a read and a change fetched %d rows, want 1 to 20", control.fetched)
	}
	if revision, _, err := other.Get(t.Context()); err != nil || revision != 3 {
		t.Fatalf("revision %d (error %v) after the change, want 3", revision, err)
	}
}

// TestPutWithoutAnswerIsNoSuccess checks that Put returns an error, and not one for an invalid configuration, if the
// change gets no answer. The same configuration must be accepted when it is sent again.
func TestPutWithoutAnswerIsNoSuccess(t *testing.T) {
	control := &fakeControl{table: table.New(), lost: trace.ConnectionProblem(nil, "no answer")}
	importer := &Importer{Control: control, Operator: "test"}
	if err := importer.Put(t.Context(), example(3)); err == nil || trace.IsBadParameter(err) {
		t.Fatalf("change without an answer: got error %v, want one that is not BadParameter", err)
	}
	control.lost = nil
	if err := importer.Put(t.Context(), example(3)); err != nil {
		t.Fatal(err)
	}
	if revision, _, err := importer.Get(t.Context()); err != nil || revision != 3 {
		t.Fatalf("got revision %d (error %v), want 3", revision, err)
	}
}
