package registry

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// startedAt returns a heartbeat of the replica i-0 with a start time.
func startedAt(start, sequence uint64) Registration {
	heartbeat := replica(0, sequence)
	heartbeat.Start = start
	return heartbeat
}

func (f *fixture) row(t interface{ Fatal(...any) }) *table.Row {
	row := f.control.view().Row("i-0")
	if row == nil {
		t.Fatal("the replica has no row")
	}
	return row
}

// changeLeader simulates a new leader, which has received no heartbeats.
func (f *fixture) changeLeader(t *testing.T) {
	f.leading = false
	f.service.tick(t.Context())
	f.leading = true
}

// TestRestartReplacesRegistration guards against a restarted replica that gets no work. Its sequences begin at 1 again,
// so without comparing the starts all its heartbeats are acknowledged as late, and the row keeps the former process's
// address and draining state.
func TestRestartReplacesRegistration(t *testing.T) {
	f := newFixture(t)
	former := startedAt(1000, 40)
	former.Draining = true
	f.send(t, former)
	f.control.table.Apply(&wire.TableChange{ChangeId: "hand", BaseVersion: f.control.table.Version(), Operator: "ops", Note: table.ForceNote,
		Cells: []*wire.CellChange{{Row: "i-0", Column: table.ColumnWeight, Value: "0"}}})
	again := startedAt(2000, 1)
	again.Address = "10.0.9.9:80"
	f.send(t, again)
	row := f.row(t)
	if row.Start != 2000 || row.Sequence != 1 || row.Address != again.Address || row.State != table.Active {
		t.Fatalf("got row %+v, want the new start, sequence 1, the new address and state active", row)
	}
	if row.Weight != 0 {
		t.Fatal("the weight that an operator set was lost at the restart")
	}
}

// TestFormerStartChangesNothing delivers a heartbeat and the deregistration of a former start after the replica
// restarted: at the leader, at a new leader, and the heartbeat also through another node. The row must not change.
func TestFormerStartChangesNothing(t *testing.T) {
	f := newFixture(t)
	f.send(t, startedAt(1000, 3))
	f.send(t, startedAt(2000, 1))
	version := f.control.table.Version()
	late := startedAt(1000, 50)
	late.Address, late.Draining = "10.0.9.9:80", true
	deliver := func(when string) {
		t.Helper()
		f.send(t, late)
		if err := f.service.Deregister(t.Context(), late.Incarnation()); err != nil {
			t.Fatal(err)
		}
		if f.control.table.Version() != version {
			t.Fatalf("%s: a former start changed the row to %+v", when, f.row(t))
		}
	}
	deliver("at the leader")
	f.changeLeader(t)
	deliver("at a new leader")
	f.leading = false
	_ = f.service.TakeHere(t.Context(), &late) // returns an error because this node is not the leader
	if f.control.table.Version() != version {
		t.Fatalf("through another node: a former start changed the row to %+v", f.row(t))
	}
}

// TestFormerStartIsNotHeard guards against heartbeats of a former start hiding the silence of the new start.
func TestFormerStartIsNotHeard(t *testing.T) {
	f := newFixture(t)
	for number := 1; number < 4; number++ {
		f.send(t, replica(number, 1))
	}
	f.send(t, startedAt(2000, 1))
	for sequence := uint64(2); sequence < 9; sequence++ {
		f.now += heartbeatInterval
		for number := 1; number < 4; number++ {
			f.send(t, replica(number, sequence))
		}
		f.send(t, startedAt(1000, 50+sequence))
		f.service.tick(t.Context())
	}
	if f.state("i-0") != table.Removed {
		t.Fatalf("got state %q, want removed", f.state("i-0"))
	}
	f.send(t, startedAt(2000, 2))
	if f.state("i-0") != table.Active {
		t.Fatalf("got state %q after its own heartbeat, want active", f.state("i-0"))
	}
}

// TestRestartAfterDeregistration checks that a deregistered replica comes back with a later start, but not with the
// same.
func TestRestartAfterDeregistration(t *testing.T) {
	f := newFixture(t)
	f.send(t, startedAt(1000, 3))
	if err := f.service.Deregister(t.Context(), incarnation.Incarnation{ID: "i-0", Start: 1000}); err != nil {
		t.Fatal(err)
	}
	f.send(t, startedAt(1000, 4))
	if f.state("i-0") != table.Removed {
		t.Fatal("a deregistered start came back")
	}
	f.send(t, startedAt(2000, 1))
	if row := f.row(t); row.State != table.Active || row.Sequence != 1 {
		t.Fatalf("got row %+v, want state active and sequence 1", row)
	}
}

// TestRestartWhileItsAddressIsReused restarts a replica at another address while another replica registers at its
// former address. Both must serve, regardless of which heartbeat arrives first.
func TestRestartWhileItsAddressIsReused(t *testing.T) {
	for _, restartFirst := range []bool{true, false} {
		f := newFixture(t)
		f.send(t, startedAt(1000, 3))
		f.now += 2 * heartbeatInterval
		again, other := startedAt(2000, 1), replica(1, 1)
		again.Address, other.Address = "10.0.9.9:80", startedAt(1000, 3).Address
		if restartFirst {
			f.send(t, again)
			f.send(t, other)
		} else {
			f.send(t, other)
			f.send(t, again)
		}
		f.send(t, startedAt(1000, 4))
		if f.state("i-0") != table.Active || f.state("i-1") != table.Active || f.row(t).Address != again.Address {
			t.Fatalf("restart first %t: got states %q and %q, want both active, i-0 at its new address", restartFirst, f.state("i-0"), f.state("i-1"))
		}
	}
}

// TestNewestStartPrevails delivers heartbeats and deregistrations of several starts of a replica in random order, some
// twice, with changes of the leader in between. The row must always match the newest message of the latest start.
func TestNewestStartPrevails(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		f := newFixture(t)
		var start, newest uint64
		want := table.State("")
		for range rapid.IntRange(1, 25).Draw(t, "deliveries") {
			said := rapid.Uint64Range(0, 3).Draw(t, "start")
			sequence := rapid.Uint64Range(1, 6).Draw(t, "sequence")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				f.changeLeader(outer)
				continue
			case 1:
				if err := f.service.Deregister(context.Background(), incarnation.Incarnation{ID: "i-0", Start: said}); err != nil {
					t.Fatal(err)
				}
				if want != "" && (said >= start || said == 0) {
					start, newest, want = max(said, start), LastSequence, table.Removed
				}
			default:
				heartbeat := startedAt(said, sequence)
				heartbeat.Draining = sequence > 4
				f.send(t, heartbeat)
				if want != "" && said == start && sequence <= newest || said < start {
					break
				}
				start, newest, want = said, sequence, table.Active
				if heartbeat.Draining {
					want = table.Draining
				}
			}
			if f.state("i-0") != want || want != "" && f.row(t).Start != start {
				t.Fatalf("got state %q, want %q of start %d", f.state("i-0"), want, start)
			}
		}
	})
}

// TestUnknownPoolEndsNobody guards against a heartbeat with an unknown pool and the address of a running replica: if it
// were registered, it would permanently deregister that replica. Before the first configuration any pool is accepted.
func TestUnknownPoolEndsNobody(t *testing.T) {
	f := newFixture(t)
	f.send(t, replica(0, 1))
	f.control.table.Apply(&wire.TableChange{ChangeId: "config", BaseVersion: f.control.table.Version(), Operator: "ops", Cells: []*wire.CellChange{
		{Row: "route", Column: table.ColumnKind, Value: string(table.Route)}, {Row: "route", Column: table.ColumnHost, Value: "a.example"},
		{Row: "route", Column: table.ColumnPathPrefix, Value: "/"}, {Row: "route", Column: table.ColumnPools, Value: "pool:1"}}})
	f.now += 2 * heartbeatInterval
	other := replica(1, 1)
	other.Address, other.Pool = replica(0, 1).Address, "nobody"
	if err := f.service.Heartbeat(t.Context(), &other); err != ErrUnknownPool {
		t.Fatalf("got error %v, want ErrUnknownPool", err)
	}
	if f.state("i-0") != table.Active || f.state("i-1") != "" || f.control.view().Row("nobody") != nil {
		t.Fatalf("got states %q and %q, want active and no row, and no new pool", f.state("i-0"), f.state("i-1"))
	}
}

// TestCheckRejectsInvalidCells checks that a registration with a cell that the table would reject fails before it is
// batched with others.
func TestCheckRejectsInvalidCells(t *testing.T) {
	for _, change := range []func(*Registration){
		func(r *Registration) { r.Address = "0.0.0.0:80" },
		func(r *Registration) { r.Address = "[fe80::1%eth0]:80" },
		func(r *Registration) { r.Address = "10.0.0.1:0" },
		func(r *Registration) { r.Start = incarnation.MaximumStart + 1 },
	} {
		heartbeat := replica(0, 1)
		change(&heartbeat)
		if heartbeat.Check() == nil {
			t.Errorf("Check accepted %+v, want an error", heartbeat)
		}
	}
}

// TestSilenceOfAFormerStart restarts a replica while the leader removes its former start as silent. The row of the new
// start must not change.
func TestSilenceOfAFormerStart(t *testing.T) {
	f := newFixture(t)
	for number := 1; number < 4; number++ {
		f.send(t, replica(number, 1))
	}
	f.send(t, startedAt(1000, 1))
	raced := false
	for sequence := uint64(2); sequence < 9 && !raced; sequence++ {
		f.now += heartbeatInterval
		for number := 1; number < 4; number++ {
			f.send(t, replica(number, sequence))
		}
		f.control.before = func() {
			raced = true
			f.send(t, startedAt(2000, 1))
		}
		f.service.tick(t.Context())
		f.control.before = nil
	}
	if row := f.row(t); !raced || row.State != table.Active || row.Start != 2000 {
		t.Fatalf("raced %t: got state %s of start %d, want a race and active of start 2000", raced, row.State, row.Start)
	}
}
