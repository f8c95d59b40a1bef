package table

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// change builds a change from texts of the form "row column value", or "-row" to remove a row.
func change(id string, base uint64, texts ...string) *wire.TableChange {
	built := &wire.TableChange{ChangeId: id, BaseVersion: base, Operator: "op-" + id}
	for _, text := range texts {
		if name, removed := strings.CutPrefix(text, "-"); removed {
			built.RemoveRows = append(built.RemoveRows, name)
			continue
		}
		parts := append(strings.SplitN(text, " ", 3), "")
		built.Cells = append(built.Cells, &wire.CellChange{Row: parts[0], Column: parts[1], Value: parts[2]})
	}
	return built
}

// example returns a table at version 1 with a pool and two back ends.
func example(t *testing.T) *Table {
	t.Helper()
	table := New()
	result := table.Apply(change("example", 0, "chat kind pool", "chat max_in_flight 8", "chat live_room 2",
		"chat-1 kind backend", "chat-1 pool chat", "chat-1 address 10.0.0.1:80",
		"chat-2 kind backend", "chat-2 pool chat", "chat-2 address 10.0.0.2:80", "chat-2 weight 50"))
	if result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	return table
}

func TestRefusalsNameTheCell(t *testing.T) {
	for _, test := range []struct {
		texts  []string
		column string
		reason string
	}{
		{[]string{"chat wieght 1"}, "wieght", "unknown column"},
		{[]string{"chat weight 1001"}, "weight", "outside 0 to 1000"},
		{[]string{"chat weight many"}, "weight", "not a whole number"},
		{[]string{"chat state asleep"}, "state", "none of active, draining, removed"},
		{[]string{"chat-1 address 10.0.0.1"}, "address", "not an IP:port"},
		{[]string{"chat-1 address 0.0.0.0:80"}, "address", "dial"},
		{[]string{"chat class_order live,live"}, "class_order", "stands twice"},
		{[]string{"chat-1 pool other"}, "pool", "does not exist"},
		{[]string{"chat-1 pool chat-2"}, "pool", "not a pool"},
		{[]string{"chat-1 address"}, "address", "needs an address"},
		{[]string{"chat-1 staleness_bound 1"}, "staleness_bound", "does not apply"},
		{[]string{"chat-1 kind pool"}, "kind", "fixed"},
		{[]string{"chat kind"}, "kind", "fixed"},
		{[]string{"chat live_room 9"}, "live_room", "above max_in_flight"},
		{[]string{"chat max_in_flight 1"}, "live_room", "above max_in_flight"},
		{[]string{"new weight 1"}, "weight", "set its kind"},
		{[]string{"bad/name kind pool"}, "kind", "not a name"},
		{[]string{"chat weight 1", "chat weight 2"}, "weight", "twice"},
		{[]string{"-chat"}, "pool", "while it has this back end"},
		{[]string{"-nothing"}, "", "does not exist"},
		{[]string{"-chat-1", "chat-1 weight 1"}, "weight", "removed by the same change"},
		{[]string{"r kind route", "r host h", "r path_prefix /a/", "r pools chat:1,other:1"}, "pools", "pool other does not exist"},
		{[]string{"r kind route", "r host h", "r path_prefix /a/", "r pools chat-1:1"}, "pools", "does not exist"},
		{[]string{"r kind route", "r host h", "r path_prefix /a/", "r pools chat:0"}, "pools", "sum to 0"},
		{[]string{"r kind route", "r path_prefix /a", "r pools chat:1"}, "path_prefix", "start and end with a slash"},
		{[]string{"r kind route", "r path_prefix /a/", "r pools chat:1"}, "host", "needs a host"},
		{[]string{"r kind route", "r host h", "r path_prefix /a/", "r pools chat:1", "r timeout_millis 0"}, "timeout_millis", "outside 1"},
		{[]string{"r kind route", "r host H", "r path_prefix /a/", "r pools chat:1",
			"s kind route", "s host h", "s path_prefix /a/", "s pools chat:1"}, "path_prefix", "same host and path prefix"},
		{[]string{"chat host h"}, "host", "does not apply"},
		{[]string{"d kind document", "d text " + strings.Repeat("x", MaximumTextBytes+1)}, "", "too long"},
		{[]string{"chat-1 state draining", "chat-2 weight 0"}, "state", "no back end that takes new work"},
		{[]string{"chat state draining"}, "state", "no back end that takes new work"},
		{[]string{"-chat-1", "-chat-2"}, "", "no back end that takes new work"},
	} {
		table := example(t)
		result := table.Apply(change("bad", 1, test.texts...))
		first := &wire.CellRefusal{}
		if len(result.GetRefusals()) > 0 {
			first = result.GetRefusals()[0]
		}
		if result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_INVALID || table.Version() != 1 ||
			(len(test.texts) == 1 && first.GetColumn() != test.column) || !strings.Contains(result.String(), test.reason) {
			t.Errorf("change %v got %v, want INVALID with the expected column and reason, and version 1", test.texts, result)
		}
	}
}

// TestDocumentReadsBackExactly checks that a document is stored without trimming, that the history and refusals show
// only its length and digest, and that a pool that a route names cannot be removed.
func TestDocumentReadsBackExactly(t *testing.T) {
	table, text := example(t), " {\"a\":\n\"\u017e\"}\n"+strings.Repeat("long ", 2000)
	table.Apply(change("one", 1, "d kind document", "d revision 7", "d text "+text,
		"r kind route", "r host h", "r path_prefix /a/", "r pools chat:1", "r sticky true"))
	view, err := NewView().Apply(table.UpdateSince(0))
	if err != nil || view.Row("d").Text != text || view.Row("d").Revision != 7 || !view.Row("r").Sticky || view.Row("r").MaxAttempts != 1 {
		t.Fatal(err, view.Row("d"))
	}
	late := table.Apply(change("late", 1, "d text x"))
	for _, shown := range []string{table.History("d", ColumnText, 0)[0].GetTo(), late.GetRefusals()[0].GetCurrentValue()} {
		if len(shown) > 100 || shown == "" {
			t.Fatalf("document shown as %q, want 1 to 100 bytes", shown)
		}
	}
	gone := change("gone", 2, "-chat", "-chat-1", "-chat-2")
	if result := table.Apply(gone); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_INVALID {
		t.Fatal("a pool that a route names was removed")
	}
}

func TestHarmfulChangeNeedsForce(t *testing.T) {
	table := example(t)
	drain := change("drain", 1, "chat-1 state draining", "chat-2 state draining")
	drain.Note = "moving halls, Force!"
	if result := table.Apply(drain); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	if result := table.Apply(change("all", 2, "-chat", "-chat-1", "-chat-2")); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
}

func TestResendGetsTheSameAnswer(t *testing.T) {
	table := example(t)
	first := table.Apply(change("one", 1, "chat weight 5"))
	table.Apply(change("two", 2, "chat weight 6"))
	resent := change("one", 1, "chat weight 5")
	resent.AtUnixMillis = 77
	if again := table.Apply(resent); !proto.Equal(first, again) {
		t.Fatalf("first result %v, resend got %v, want them equal", first, again)
	}
	if other := table.Apply(change("one", 1, "chat weight 7")); other.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_INVALID {
		t.Fatalf("known id with other content got %v, want INVALID", other)
	}
	lost := table.Apply(change("three", 1, "chat weight 8"))
	refusal := lost.GetRefusals()[0]
	if lost.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_CONFLICT || refusal.GetCurrentValue() != "6" ||
		refusal.GetChangedBy() != "op-two" || refusal.GetChangedVersion() != 3 {
		t.Fatalf("got %v, want a conflict with value 6, set by op-two at version 3", lost)
	}
}

// TestRemovedRowConflicts guards against a change that was based on a version before a row's removal and creates the
// row again, or changes a new row of the same name.
func TestRemovedRowConflicts(t *testing.T) {
	table := example(t)
	table.Apply(change("remove", 1, "-chat-2"))
	for _, step := range []string{"while it is gone", "after it was made again"} {
		late := table.Apply(change("late "+step, 1, "chat-2 kind backend", "chat-2 pool chat", "chat-2 queue_limit 1"))
		if late.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_CONFLICT || len(late.GetRefusals()) != 3 {
			t.Fatalf("%s: got %v, want a conflict in 3 cells", step, late)
		}
		table.Apply(change("again "+step, 2, "chat-2 kind backend", "chat-2 pool chat", "chat-2 address 10.0.0.3:80"))
	}
	if table.Version() != 3 {
		t.Fatalf("version %d, want 3", table.Version())
	}
}

func TestBackendInheritsFromPool(t *testing.T) {
	table := example(t)
	view, err := NewView().Apply(table.UpdateSince(0))
	if err != nil {
		t.Fatal(err)
	}
	backends := view.Backends("chat")
	if len(backends) != 2 || backends[0].MaxInFlight != 8 || backends[0].LiveReserve != 2 || backends[0].Weight != 100 ||
		backends[1].Weight != 50 || backends[0].Service != Engine || strings.Join(backends[0].ClassOrder, " ") != "live rollout" {
		t.Fatalf("back ends %+v and %+v do not have their own and their pool's values", backends[0], backends[1])
	}
	drain := change("drain", 1, "chat state draining", "chat-2 state removed")
	drain.Note = ForceNote
	table.Apply(drain)
	next, err := view.Apply(table.UpdateSince(1))
	if err != nil || len(next.Backends("chat")) != 1 || next.Backends("chat")[0].State != Draining || next.Row("chat-2").State != Removed {
		t.Fatalf("got %v, %+v, want chat-1 listed as draining and chat-2 not listed", err, next)
	}
	if view.Backends("chat")[0].State != Active {
		t.Fatal("applying an update modified the earlier view")
	}
}

func TestViewRejectsGapsAndIgnoresOldUpdates(t *testing.T) {
	table := example(t)
	view, _ := NewView().Apply(table.UpdateSince(0))
	if _, err := NewView().Apply(&wire.TableUpdate{FromVersion: 1, ToVersion: 2}); err == nil {
		t.Fatal("an update that starts above the view's version was accepted")
	}
	if same, err := view.Apply(table.UpdateSince(0)); err != nil || same != view {
		t.Fatal("a duplicate update changed the view")
	}
	ahead, _ := view.Apply(&wire.TableUpdate{FromVersion: 1, ToVersion: 9})
	if same, err := ahead.Apply(table.UpdateSince(ahead.Version())); err != nil || same != ahead {
		t.Fatal("an update from an older table changed the view")
	}
}

var drawnTexts = []string{
	"p kind pool", "p weight 0", "p weight 9", "p live_room 70", "p max_in_flight 80", "p max_in_flight", "-p",
	"b kind backend", "b pool p", "b pool q", "b address 10.0.0.1:1", "b state draining", "b state", "-b",
	"q kind pool", "q queue_limit 3", "-q",
}

// TestDeltasSnapshotsAndRestoresAgree guards against views that diverge from the table, and replicas that diverge after
// a restore. Several views follow a table under random changes by deltas from their own versions. Each must equal a
// view of the whole table, and a restored table must give the same results and snapshots as the original.
func TestDeltasSnapshotsAndRestoresAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, holders := New(), []*View{NewView(), NewView(), NewView()}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			texts := rapid.SliceOfN(rapid.SampledFrom(drawnTexts), 1, 5).Draw(t, "texts")
			next := change(fmt.Sprint(rapid.IntRange(0, step).Draw(t, "id")), table.Version()-min(table.Version(), uint64(rapid.IntRange(0, 1).Draw(t, "behind"))), texts...)
			next.Note = ForceNote
			copied := New()
			if err := copied.Restore(proto.CloneOf(table.Snapshot())); err != nil {
				t.Fatal(err)
			}
			before := table.Version()
			result := table.Apply(next)
			if again := copied.Apply(next); !proto.Equal(result, again) || !proto.Equal(table.Snapshot(), copied.Snapshot()) {
				t.Fatalf("restored table: got %v, want %v with an equal snapshot", again, result)
			}
			if table.Version() > before && result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
				t.Fatalf("a refused change raised the version: %v", result)
			}
			follow(t, table, holders)
		}
	})
}

// follow updates one of the views by a delta and compares it with a view of the whole table.
func follow(t *rapid.T, table *Table, holders []*View) {
	fresh, err := NewView().Apply(table.UpdateSince(0))
	if err != nil {
		t.Fatal(err)
	}
	at := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
	if holders[at], err = holders[at].Apply(table.UpdateSince(holders[at].Version())); err != nil {
		t.Fatal(err)
	}
	if got, want := describe(holders[at]), describe(fresh); got != want {
		t.Fatalf("view after a delta:\n%s\nwant that of the whole table:\n%s", got, want)
	}
}

// describe returns the version, rows and lists of back ends of a view as text.
func describe(view *View) string {
	var text strings.Builder
	fmt.Fprintln(&text, view.Version())
	for _, row := range view.Rows() {
		fmt.Fprintf(&text, "%+v\n", *row)
	}
	for _, pool := range view.Pools() {
		for _, backend := range view.Backends(pool.Name) {
			fmt.Fprintln(&text, pool.Name, backend.Name)
		}
	}
	return text.String()
}

func TestHistoryHasOldAndNewValues(t *testing.T) {
	table := example(t)
	table.Apply(change("one", 1, "chat-2 weight 60"))
	table.Apply(change("two", 2, "-chat-2"))
	history := table.History("chat-2", "weight", 0)
	if len(history) != 3 || history[0].GetFrom() != "60" || history[0].GetTo() != "" || history[1].GetFrom() != "50" ||
		history[1].GetTo() != "60" || history[1].GetOperator() != "op-one" || history[2].GetVersion() != 1 {
		t.Fatalf("history %v, want removal of 60, change from 50 to 60 by op-one, creation at version 1", history)
	}
	if len(table.History("", "", 2)) != 2 {
		t.Fatal("History returned another number of entries than the limit")
	}
}

// TestHistoryAndRemovalsAreBounded exceeds the bounds of history and removals. A change with a base version older than
// the listed removals must then conflict, because whether its row was removed is no longer known, and an update from
// such a version must contain the whole table.
func TestHistoryAndRemovalsAreBounded(t *testing.T) {
	table := example(t)
	for round := 0; table.removalFloor == 0; round++ {
		id, texts := fmt.Sprint("r", round), []string{}
		for row := range 1000 {
			texts = append(texts, fmt.Sprintf("r%d-%d kind pool", round, row))
		}
		table.Apply(change("make "+id, table.Version(), texts...))
		for position := range texts {
			texts[position] = "-" + strings.Fields(texts[position])[0]
		}
		table.Apply(change("drop "+id, table.Version(), texts...))
	}
	if len(table.removed) > MaximumRemoved || len(table.history) > MaximumHistory {
		t.Fatalf("%d removals and %d history entries, want at most 10000 of each", len(table.removed), len(table.history))
	}
	if table.UpdateSince(2).GetFromVersion() != 0 {
		t.Fatal("an update from a version below the removal floor is a delta, want the whole table")
	}
	late := table.Apply(change("late", 2, "r0-1 kind pool"))
	if late.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_CONFLICT {
		t.Fatalf("change based below the removal floor got %v, want CONFLICT", late)
	}
}
