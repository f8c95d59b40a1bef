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
	made := &wire.TableChange{ChangeId: id, BaseVersion: base, Operator: "op-" + id}
	for _, text := range texts {
		if name, removed := strings.CutPrefix(text, "-"); removed {
			made.RemoveRows = append(made.RemoveRows, name)
			continue
		}
		parts := append(strings.SplitN(text, " ", 3), "")
		made.Cells = append(made.Cells, &wire.CellChange{Row: parts[0], Column: parts[1], Value: parts[2]})
	}
	return made
}

// example returns a table at version 1 with a pool and two back ends.
func example(t *testing.T) *Table {
	t.Helper()
	made := New()
	result := made.Apply(change("example", 0, "chat kind pool", "chat max_in_flight 8", "chat live_room 2",
		"chat-1 kind backend", "chat-1 pool chat", "chat-1 address 10.0.0.1:80",
		"chat-2 kind backend", "chat-2 pool chat", "chat-2 address 10.0.0.2:80", "chat-2 weight 50"))
	if result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	return made
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
		made := example(t)
		result := made.Apply(change("bad", 1, test.texts...))
		first := &wire.CellRefusal{}
		if len(result.GetRefusals()) > 0 {
			first = result.GetRefusals()[0]
		}
		if result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_INVALID || made.Version() != 1 ||
			(len(test.texts) == 1 && first.GetColumn() != test.column) || !strings.Contains(result.String(), test.reason) {
			t.Errorf("%v: %v", test.texts, result)
		}
	}
}

// TestDocumentReadsBackExactly checks that a document is stored without trimming, that the history and refusals show only
// its length and digest, and that a pool that a route names cannot be removed.
func TestDocumentReadsBackExactly(t *testing.T) {
	made, text := example(t), " {\"a\":\n\"\u017e\"}\n"+strings.Repeat("long ", 2000)
	made.Apply(change("one", 1, "d kind document", "d revision 7", "d text "+text,
		"r kind route", "r host h", "r path_prefix /a/", "r pools chat:1", "r sticky true"))
	view, err := NewView().Apply(made.Update(0))
	if err != nil || view.Row("d").Text != text || view.Row("d").Revision != 7 || !view.Row("r").Sticky || view.Row("r").MaxAttempts != 1 {
		t.Fatal(err, view.Row("d"))
	}
	late := made.Apply(change("late", 1, "d text x"))
	for _, shown := range []string{made.History("d", ColumnText, 0)[0].GetTo(), late.GetRefusals()[0].GetCurrentValue()} {
		if len(shown) > 100 || shown == "" {
			t.Fatalf("document shown as %q, want 1 to 100 bytes", shown)
		}
	}
	gone := change("gone", 2, "-chat", "-chat-1", "-chat-2")
	if result := made.Apply(gone); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_INVALID {
		t.Fatal("a pool that a route names was removed")
	}
}

func TestHarmfulChangeNeedsForce(t *testing.T) {
	made := example(t)
	drain := change("drain", 1, "chat-1 state draining", "chat-2 state draining")
	drain.Note = "moving halls, Force!"
	if result := made.Apply(drain); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	if result := made.Apply(change("all", 2, "-chat", "-chat-1", "-chat-2")); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
}

func TestResendGetsTheSameAnswer(t *testing.T) {
	made := example(t)
	first := made.Apply(change("one", 1, "chat weight 5"))
	made.Apply(change("two", 2, "chat weight 6"))
	resent := change("one", 1, "chat weight 5")
	resent.AtUnixMillis = 77
	if again := made.Apply(resent); !proto.Equal(first, again) {
		t.Fatalf("first result %v, resend got %v, want them equal", first, again)
	}
	if other := made.Apply(change("one", 1, "chat weight 7")); other.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_INVALID {
		t.Fatalf("known id with other content got %v, want INVALID", other)
	}
	lost := made.Apply(change("three", 1, "chat weight 8"))
	refusal := lost.GetRefusals()[0]
	if lost.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_CONFLICT || refusal.GetCurrentValue() != "6" ||
		refusal.GetChangedBy() != "op-two" || refusal.GetChangedVersion() != 3 {
		t.Fatalf("got %v, want a conflict with value 6, set by op-two at version 3", lost)
	}
}

// TestRemovedRowConflicts guards against a change that was based on a version before a row's removal and creates the row
// again, or changes a new row of the same name.
func TestRemovedRowConflicts(t *testing.T) {
	made := example(t)
	made.Apply(change("remove", 1, "-chat-2"))
	for _, step := range []string{"while it is gone", "after it was made again"} {
		late := made.Apply(change("late "+step, 1, "chat-2 kind backend", "chat-2 pool chat", "chat-2 queue_limit 1"))
		if late.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_CONFLICT || len(late.GetRefusals()) != 3 {
			t.Fatalf("%s: %v", step, late)
		}
		made.Apply(change("again "+step, 2, "chat-2 kind backend", "chat-2 pool chat", "chat-2 address 10.0.0.3:80"))
	}
	if made.Version() != 3 {
		t.Fatalf("version %d, want 3", made.Version())
	}
}

func TestBackendInheritsFromPool(t *testing.T) {
	made := example(t)
	view, err := NewView().Apply(made.Update(0))
	if err != nil {
		t.Fatal(err)
	}
	backends := view.Backends("chat")
	if len(backends) != 2 || backends[0].MaxInFlight != 8 || backends[0].LiveRoom != 2 || backends[0].Weight != 100 ||
		backends[1].Weight != 50 || backends[0].Service != Engine || strings.Join(backends[0].ClassOrder, " ") != "live rollout" {
		t.Fatalf("back ends %+v and %+v do not have their own and their pool's values", backends[0], backends[1])
	}
	drain := change("drain", 1, "chat state draining", "chat-2 state removed")
	drain.Note = ForceNote
	made.Apply(drain)
	next, err := view.Apply(made.Update(1))
	if err != nil || len(next.Backends("chat")) != 1 || next.Backends("chat")[0].State != Draining || next.Row("chat-2").State != Removed {
		t.Fatalf("got %v, %+v, want chat-1 listed as draining and chat-2 not listed", err, next)
	}
	if view.Backends("chat")[0].State != Active {
		t.Fatal("applying an update modified the earlier view")
	}
}

func TestViewRejectsGapsAndIgnoresOldUpdates(t *testing.T) {
	made := example(t)
	view, _ := NewView().Apply(made.Update(0))
	if _, err := NewView().Apply(&wire.TableUpdate{FromVersion: 1, ToVersion: 2}); err == nil {
		t.Fatal("an update that starts above the view's version was accepted")
	}
	if same, err := view.Apply(made.Update(0)); err != nil || same != view {
		t.Fatal("a duplicate update changed the view")
	}
	ahead, _ := view.Apply(&wire.TableUpdate{FromVersion: 1, ToVersion: 9})
	if same, err := ahead.Apply(made.Update(ahead.Version())); err != nil || same != ahead {
		t.Fatal("an update from an older table changed the view")
	}
}

var drawnTexts = []string{
	"p kind pool", "p weight 0", "p weight 9", "p live_room 70", "p max_in_flight 80", "p max_in_flight", "-p",
	"b kind backend", "b pool p", "b pool q", "b address 10.0.0.1:1", "b state draining", "b state", "-b",
	"q kind pool", "q queue_limit 3", "-q",
}

// TestDeltasSnapshotsAndRestoresAgree guards against views that diverge from the table, and replicas that diverge after a
// restore. Several views follow a table under random changes by deltas from their own versions. Each must equal a view of
// the whole table, and a restored table must give the same results and snapshots as the original.
func TestDeltasSnapshotsAndRestoresAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		made, holders := New(), []*View{NewView(), NewView(), NewView()}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			texts := rapid.SliceOfN(rapid.SampledFrom(drawnTexts), 1, 5).Draw(t, "texts")
			next := change(fmt.Sprint(rapid.IntRange(0, step).Draw(t, "id")), made.Version()-min(made.Version(), uint64(rapid.IntRange(0, 1).Draw(t, "behind"))), texts...)
			next.Note = ForceNote
			copied := New()
			if err := copied.Restore(proto.CloneOf(made.Snapshot())); err != nil {
				t.Fatal(err)
			}
			before := made.Version()
			result := made.Apply(next)
			if again := copied.Apply(next); !proto.Equal(result, again) || !proto.Equal(made.Snapshot(), copied.Snapshot()) {
				t.Fatalf("restored table: got %v, want %v with an equal snapshot", again, result)
			}
			if made.Version() > before && result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
				t.Fatalf("a refused change raised the version: %v", result)
			}
			follow(t, made, holders)
		}
	})
}

// follow updates one of the views by a delta and compares it with a view of the whole table.
func follow(t *rapid.T, made *Table, holders []*View) {
	fresh, err := NewView().Apply(made.Update(0))
	if err != nil {
		t.Fatal(err)
	}
	at := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
	if holders[at], err = holders[at].Apply(made.Update(holders[at].Version())); err != nil {
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
	made := example(t)
	made.Apply(change("one", 1, "chat-2 weight 60"))
	made.Apply(change("two", 2, "-chat-2"))
	history := made.History("chat-2", "weight", 0)
	if len(history) != 3 || history[0].GetFrom() != "60" || history[0].GetTo() != "" || history[1].GetFrom() != "50" ||
		history[1].GetTo() != "60" || history[1].GetOperator() != "op-one" || history[2].GetVersion() != 1 {
		t.Fatalf("history %v, want removal of 60, change from 50 to 60 by op-one, creation at version 1", history)
	}
	if len(made.History("", "", 2)) != 2 {
		t.Fatal("History returned another number of entries than the limit")
	}
}

// TestHistoryAndRemovalsAreBounded exceeds the bounds of history and removals. A change with a base version older than the
// listed removals must then conflict, because whether its row was removed is no longer known, and an update from such a
// version must contain the whole table.
func TestHistoryAndRemovalsAreBounded(t *testing.T) {
	made := example(t)
	for round := 0; made.removalFloor == 0; round++ {
		id, texts := fmt.Sprint("r", round), []string{}
		for row := range 1000 {
			texts = append(texts, fmt.Sprintf("r%d-%d kind pool", round, row))
		}
		made.Apply(change("make "+id, made.Version(), texts...))
		for position := range texts {
			texts[position] = "-" + strings.Fields(texts[position])[0]
		}
		made.Apply(change("drop "+id, made.Version(), texts...))
	}
	if len(made.removed) > MaximumRemoved || len(made.history) > MaximumHistory {
		t.Fatalf("%d removals and %d history entries, want at most 10000 of each", len(made.removed), len(made.history))
	}
	if made.Update(2).GetFromVersion() != 0 {
		t.Fatal("an update from a version below the removal floor is a delta, want the whole table")
	}
	late := made.Apply(change("late", 2, "r0-1 kind pool"))
	if late.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_CONFLICT {
		t.Fatalf("change based below the removal floor got %v, want CONFLICT", late)
	}
}
