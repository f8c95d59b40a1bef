package control

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// countedTable is a table that counts its reads.
type countedTable struct {
	mutex sync.Mutex
	table *table.Table
	reads atomic.Int64
}

func newCountedTable(t *testing.T, replicas int) *countedTable {
	t.Helper()
	c := &countedTable{table: table.New()}
	change := &wire.TableChange{ChangeId: "fleet", Cells: []*wire.CellChange{{Row: "p", Column: table.ColumnKind, Value: string(table.Pool)}}}
	for number := range replicas {
		name := fmt.Sprintf("r%05d", number)
		change.Cells = append(change.Cells,
			&wire.CellChange{Row: name, Column: table.ColumnKind, Value: string(table.Backend)},
			&wire.CellChange{Row: name, Column: table.ColumnPool, Value: "p"},
			&wire.CellChange{Row: name, Column: table.ColumnAddress, Value: fmt.Sprintf("10.0.%d.%d:80", number/250, number%250+1)})
	}
	if result := c.table.Apply(change); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	return c
}

func (c *countedTable) read(known uint64) (*wire.TableUpdate, error) {
	c.reads.Add(1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.table.UpdateSince(known), nil
}

// drain changes the state of one back end to draining, which creates one new version.
func (c *countedTable) drain(t *testing.T, number int) {
	t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change := &wire.TableChange{ChangeId: fmt.Sprint("drain-", number), BaseVersion: c.table.Version(), Note: table.ForceNote,
		Cells: []*wire.CellChange{{Row: fmt.Sprintf("r%05d", number), Column: table.ColumnState, Value: string(table.Draining)}}}
	if result := c.table.Apply(change); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
}

// follow updates a view to the newest version as a session would, and returns the view and the number of updates.
func follow(t *testing.T, updates *tableUpdates, view *table.View, packed bool) (*table.View, int) {
	t.Helper()
	for count := 0; ; count++ {
		published, err := updates.updateFrom(view.Version())
		if err != nil {
			t.Fatal(err)
		}
		if published == nil {
			return view, count
		}
		reply := &wire.SessionReply{}
		published.addTo(reply, packed)
		if len(reply.PackedUpdate) > 0 {
			if !packed || reply.Update != nil {
				t.Fatal("a packed update was sent to a holder that does not accept it, or together with another update")
			}
			if reply.Update, err = wire.UnpackUpdate(reply.PackedUpdate); err != nil {
				t.Fatal(err)
			}
		}
		if view, err = view.Apply(reply.Update); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFullTableIsBuiltOnceForManyHolders guards against building the full table for each holder when all processes of a
// fleet start at the same time. It must be read and packed once, even while the version keeps rising, and newer changes
// must follow as deltas.
func TestFullTableIsBuiltOnceForManyHolders(t *testing.T) {
	source := newCountedTable(t, 1000)
	updates := newTableUpdates(source.read)
	if _, newer, err := updates.refresh(); !newer || err != nil {
		t.Fatal(newer, err)
	}
	for version := range 20 {
		source.drain(t, version)
		if _, newer, err := updates.refresh(); !newer || err != nil {
			t.Fatal(newer, err)
		}
		before := source.reads.Load()
		var holders sync.WaitGroup
		for number := range 30 {
			holders.Go(func() {
				view, _ := follow(t, updates, table.NewView(), number%2 == 0)
				if view.Version() != source.table.Version() || view.Row(fmt.Sprintf("r%05d", version)).State != table.Draining || len(view.Rows()) != 1001 {
					t.Errorf("a holder got version %d with %d rows, want the newest version with 1001 rows", view.Version(), len(view.Rows()))
				}
			})
		}
		holders.Wait()
		if reads := source.reads.Load() - before; reads > 1 {
			t.Fatalf("version %d: 30 new holders caused %d reads of the table, want at most 1", version, reads)
		}
	}
}

// TestLagOfFullTableIsBounded guards against sending new holders a table that is long out of date.
func TestLagOfFullTableIsBounded(t *testing.T) {
	source := newCountedTable(t, maximumFullTableLag+50)
	updates := newTableUpdates(source.read)
	if _, _, err := updates.refresh(); err != nil {
		t.Fatal(err)
	}
	for version := range maximumFullTableLag + 1 {
		source.drain(t, version)
	}
	if _, _, err := updates.refresh(); err != nil {
		t.Fatal(err)
	}
	if view, count := follow(t, updates, table.NewView(), true); count != 1 || view.Version() != source.table.Version() {
		t.Fatalf("got version %d after %d updates, want the newest version after 1", view.Version(), count)
	}
}

// TestSmallUpdatesAreNotPacked guards against compressing the small update of one replica's change.
func TestSmallUpdatesAreNotPacked(t *testing.T) {
	source := newCountedTable(t, 1000)
	updates := newTableUpdates(source.read)
	if _, _, err := updates.refresh(); err != nil {
		t.Fatal(err)
	}
	known := updates.version()
	source.drain(t, 3)
	if _, _, err := updates.refresh(); err != nil {
		t.Fatal(err)
	}
	if published, err := updates.updateFrom(known); err != nil || published.packed != nil || len(published.update.Rows) != 1 {
		t.Fatalf("got %v (%v), want an unpacked update of one row", published, err)
	}
	if published, err := updates.updateFrom(0); err != nil || published.packed == nil {
		t.Fatalf("the full table is not packed (error %v)", err)
	}
}

// TestVersionSentBeforeRefreshIsAnnounced guards against a version that is never announced because a holder renewed,
// and received it, after it was applied and before the publisher refreshed. The other holders must still be notified,
// exactly once.
func TestVersionSentBeforeRefreshIsAnnounced(t *testing.T) {
	source := newCountedTable(t, 10)
	updates := newTableUpdates(source.read)
	if _, newer, err := updates.refresh(); !newer || err != nil {
		t.Fatal(newer, err)
	}
	behind := updates.version()
	for number := range 2 {
		source.drain(t, number)
		if _, newer, err := updates.refresh(); !newer || err != nil {
			t.Fatal(newer, err)
		}
	}
	source.drain(t, 2) // applied, but not yet refreshed by the publisher
	if published, err := updates.updateFrom(behind); err != nil || published == nil || published.update.ToVersion != source.table.Version() {
		t.Fatalf("got %v (%v), want an update to the newest version for a holder that is behind", published, err)
	}
	version, newer, err := updates.refresh()
	if err != nil || !newer || version != source.table.Version() {
		t.Fatalf("refresh returned version %d of %d, newer %v (%v), want the newest version as newer", version, source.table.Version(), newer, err)
	}
	if _, newer, err = updates.refresh(); newer || err != nil {
		t.Fatalf("a version was announced twice (error %v)", err)
	}
}
