package control

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// countedTable is a table whose reads are counted.
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
	return c.table.Update(known), nil
}

// drain makes one more version.
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

// follow brings a view to the newest version as a session would, and returns how many updates that took.
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
				t.Fatal("a packed update was sent to a holder that doesn't read it, or beside another")
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

// TestWholeTableIsMadeOnceForManyHolders: when all processes of a fleet start at once, each gets the whole table; it is
// read and packed once, also while the version goes on rising, and what is newer follows.
func TestWholeTableIsMadeOnceForManyHolders(t *testing.T) {
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
					t.Errorf("a holder stays at version %d with %d rows", view.Version(), len(view.Rows()))
				}
			})
		}
		holders.Wait()
		if reads := source.reads.Load() - before; reads > 1 {
			t.Fatalf("version %d: 30 new holders took %d reads of the table", version, reads)
		}
	}
}

// TestWholeTableDoesNotLagForever: new holders are not sent a table that is long out of date.
func TestWholeTableDoesNotLagForever(t *testing.T) {
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
		t.Fatalf("version %d after %d updates", view.Version(), count)
	}
}

// TestSmallUpdatesAreNotPacked: one replica's change costs no compression.
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
		t.Fatalf("%v, %v", published, err)
	}
	if published, err := updates.updateFrom(0); err != nil || published.packed == nil {
		t.Fatalf("the whole table is not packed: %v", err)
	}
}

// TestVersionThatAHolderGotFirstIsAnnounced: a holder renews between the moment at which a change is applied and the one at
// which the publisher looks. The holder gets it, and the others are told all the same, once.
func TestVersionThatAHolderGotFirstIsAnnounced(t *testing.T) {
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
	source.drain(t, 2) // applied; the publisher has not looked yet
	if published, err := updates.updateFrom(behind); err != nil || published == nil || published.update.ToVersion != source.table.Version() {
		t.Fatalf("%v, %v: the holder that is behind did not get the newest version", published, err)
	}
	version, newer, err := updates.refresh()
	if err != nil || !newer || version != source.table.Version() {
		t.Fatalf("version %d of %d, newer %v, %v", version, source.table.Version(), newer, err)
	}
	if _, newer, err = updates.refresh(); newer || err != nil {
		t.Fatalf("a version was announced twice: %v", err)
	}
}
