package registry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/configure"
	"github.com/tamarindring/tamarindring/internal/incarnation"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// fakeControl is a control group that consists of a table without consensus.
type fakeControl struct {
	mutex  sync.Mutex // guards table
	table  *table.Table
	before func() // called once before the next change
	cut    bool   // every call fails
}

func (f *fakeControl) Query(context.Context, uint32, *wire.Query) (*wire.View, error) {
	if f.cut {
		return nil, trace.ConnectionProblem(nil, "cut off")
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return &wire.View{Kind: &wire.View_Table{Table: f.table.UpdateSince(0)}}, nil
}

func (f *fakeControl) ChangeTable(_ context.Context, change *wire.TableChange, _ bool) (*wire.TableResult, uint64, error) {
	if f.cut {
		return nil, 0, trace.ConnectionProblem(nil, "cut off")
	}
	if hook := f.before; hook != nil {
		f.before = nil
		hook()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table.Apply(change), 0, nil
}

func (f *fakeControl) view() *table.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	view, _ := table.NewView().Apply(f.table.UpdateSince(0))
	return view
}

type fixture struct {
	control *fakeControl
	service *Service
	now     time.Duration
	leading bool
}

// heartbeatInterval is the heartbeat interval.
const heartbeatInterval = time.Second

func newFixture(t interface{ Fatal(...any) }) *fixture {
	f := &fixture{control: &fakeControl{table: table.New()}, leading: true}
	service, err := New(Config{Control: f.control, View: f.control.view, Heartbeat: heartbeatInterval,
		Leading: func() bool { return f.leading }, Clock: func() time.Duration { return f.now }})
	if err != nil {
		t.Fatal(err)
	}
	f.service = service
	return f
}

func (f *fixture) send(t interface{ Fatal(...any) }, heartbeat Registration) {
	if err := f.service.Heartbeat(context.Background(), &heartbeat); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) state(instance string) table.State {
	row := f.control.view().Row(instance)
	if row == nil {
		return ""
	}
	return row.State
}

// replica returns a heartbeat of the replica i-number at an address of its own.
func replica(number int, sequence uint64) Registration {
	return Registration{Instance: fmt.Sprint("i-", number), Pool: "pool", Zone: "hall", Slots: 12,
		Address: fmt.Sprintf("10.0.0.%d:80", number+1), Sequence: sequence}
}

// TestLateHeartbeatsSayNothing delivers the heartbeats and the deregistration of a replica in random order, some twice.
// The row must always match the newest delivered message, and a deregistered replica must not come back.
func TestLateHeartbeatsSayNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t)
		newest, want := uint64(0), table.State("")
		for range rapid.IntRange(1, 20).Draw(t, "deliveries") {
			sequence := uint64(rapid.IntRange(0, 8).Draw(t, "sequence"))
			if sequence == 0 && newest > 0 {
				if err := f.service.Deregister(context.Background(), incarnation.Incarnation{ID: "i-0"}); err != nil {
					t.Fatal(err)
				}
				newest, want = LastSequence, table.Removed
			}
			heartbeat := replica(0, max(sequence, 1))
			heartbeat.Draining = heartbeat.Sequence > 5
			f.send(t, heartbeat)
			if heartbeat.Sequence > newest {
				newest, want = heartbeat.Sequence, table.Active
				if heartbeat.Draining {
					want = table.Draining
				}
			}
			if got := f.state("i-0"); got != want {
				t.Fatalf("got state %q, want %q, after sequence %d of newest %d", got, want, heartbeat.Sequence, newest)
			}
		}
	})
}

// TestUnchangedHeartbeatWritesNothing checks that a heartbeat without new information is acknowledged without the
// control group, and that one with new information is not.
func TestUnchangedHeartbeatWritesNothing(t *testing.T) {
	f := newFixture(t)
	f.send(t, replica(0, 1))
	version := f.control.table.Version()
	f.control.cut = true // even a read fails
	for sequence := uint64(2); sequence < 9; sequence++ {
		f.send(t, replica(0, sequence))
	}
	if f.control.table.Version() != version {
		t.Fatal("an unchanged heartbeat changed the table")
	}
	draining := replica(0, 9)
	draining.Draining = true
	if err := f.service.Heartbeat(t.Context(), &draining); err == nil || trace.IsBadParameter(err) {
		t.Fatalf("heartbeat with a change while the control group is cut off: got error %v, want one other than BadParameter", err)
	}
}

// TestHeartbeatThatTheLeaderDidNotHearIsRefused checks that a node which is cut off from the leader acknowledges no
// heartbeat, even one without new information, so that the replica moves to another node. A node that reaches the
// leader acknowledges it.
func TestHeartbeatThatTheLeaderDidNotHearIsRefused(t *testing.T) {
	f := newFixture(t)
	f.send(t, replica(0, 1))
	f.leading, f.control.cut = false, true
	reached := false
	f.service.relays = newRelays(func(_ context.Context, heartbeats []*Registration) ([]bool, error) {
		if reached {
			return slices.Repeat([]bool{true}, len(heartbeats)), nil
		}
		return nil, trace.ConnectionProblem(nil, "cut off")
	})
	heartbeat := replica(0, 2)
	for _, take := range []func(context.Context, *Registration) error{f.service.Heartbeat, f.service.TakeHere} {
		if err := take(t.Context(), &heartbeat); err == nil || trace.IsBadParameter(err) {
			t.Fatalf("heartbeat without the leader: got error %v, want one other than BadParameter", err)
		}
	}
	reached = true
	f.send(t, heartbeat)
}

// TestSilenceTakesOut checks that a silent replica is removed from service and returns with its next heartbeat, but not
// with a late duplicate of an earlier one.
func TestSilenceTakesOut(t *testing.T) {
	f := newFixture(t)
	for number := range 3 {
		f.send(t, replica(number, 1))
	}
	for sequence := uint64(2); sequence < 10; sequence++ {
		f.now += heartbeatInterval
		f.send(t, replica(1, sequence))
		f.send(t, replica(2, sequence))
		if sequence == 3 && f.state("i-0") != table.Active {
			t.Fatal("the replica was removed after one missed heartbeat")
		}
		f.service.tick(t.Context())
	}
	if f.state("i-0") != table.Removed || f.state("i-1") != table.Active {
		t.Fatalf("got states %s and %s, want removed and active", f.state("i-0"), f.state("i-1"))
	}
	f.send(t, replica(0, 1))
	if f.state("i-0") != table.Removed {
		t.Fatal("a duplicate of the first heartbeat brought a silent replica back")
	}
	f.send(t, replica(0, 2))
	if f.state("i-0") != table.Active {
		t.Fatal("a later heartbeat did not bring the replica back")
	}
}

// TestOwnDeafnessTakesNobodyOut guards against removing replicas whose heartbeats this process did not receive: as a
// new leader, after it was suspended, or while it receives heartbeats from almost no replica.
func TestOwnDeafnessTakesNobodyOut(t *testing.T) {
	f := newFixture(t)
	for number := range 3 {
		f.send(t, replica(number, 1))
	}
	f.leading = false
	f.now += time.Hour
	f.service.tick(t.Context())
	f.leading = true
	f.service.tick(t.Context())
	f.now += time.Hour // suspended; two of three replicas send a heartbeat before the next tick
	f.send(t, replica(1, 2))
	f.send(t, replica(2, 2))
	f.service.tick(t.Context())
	for range 20 { // all replicas are silent
		f.now += heartbeatInterval
		f.service.tick(t.Context())
	}
	if len(f.control.view().Backends("pool")) != 3 {
		t.Fatal("a replica was removed, want all 3 in service")
	}
}

// TestSilentReplicaIsRemovedDespiteLateTicks guards against a silent replica that stays in its pool for ever: if each
// tick comes 0.6 of the silence after the last one, as on a shared processor, and a late tick resets all silences.
func TestSilentReplicaIsRemovedDespiteLateTicks(t *testing.T) {
	f := newFixture(t)
	for number := range 3 {
		f.send(t, replica(number, 1))
	}
	for beats := range uint64(20) {
		f.send(t, replica(1, beats+2))
		f.send(t, replica(2, beats+2))
		f.now += missedHeartbeats * heartbeatInterval * 6 / 10
		f.service.tick(t.Context())
	}
	if f.state("i-0") != table.Removed || f.state("i-1") != table.Active || f.state("i-2") != table.Active {
		t.Fatalf("got states %s, %s and %s, want removed, active and active", f.state("i-0"), f.state("i-1"), f.state("i-2"))
	}
}

// TestReusedAddress checks that a replica is permanently deregistered once another replica registers at its address.
func TestReusedAddress(t *testing.T) {
	f := newFixture(t)
	f.send(t, replica(0, 1))
	other := replica(1, 1)
	other.Address, other.Pool = replica(0, 1).Address, "other"
	f.now += 2 * heartbeatInterval
	f.send(t, other)
	f.send(t, replica(0, 7))
	if f.state("i-0") != table.Removed || f.state("i-1") != table.Active {
		t.Fatalf("got states %s and %s, want removed and active", f.state("i-0"), f.state("i-1"))
	}
}

// TestHeartbeatOfAnEarlierIncarnationEndsNobody guards against a delayed first heartbeat deregistering a running
// replica: its sender has crashed and a new incarnation has registered at the same address. The heartbeat must not be
// acknowledged or change the table. It is accepted once the holder of the address has been silent.
func TestHeartbeatOfAnEarlierIncarnationEndsNobody(t *testing.T) {
	f := newFixture(t)
	earlier := replica(1, 1)
	earlier.Address = replica(0, 1).Address
	for sequence := range uint64(6) {
		f.send(t, replica(0, sequence+1))
		f.now += heartbeatInterval - 1
		if err := f.service.Heartbeat(t.Context(), &earlier); err == nil {
			t.Fatal("the delayed heartbeat was acknowledged")
		}
		if f.state("i-0") != table.Active || f.state("i-1") != "" {
			t.Fatalf("got states %q and %q, want active and no row", f.state("i-0"), f.state("i-1"))
		}
	}
	f.now += heartbeatInterval
	f.send(t, earlier)
	if f.state("i-0") != table.Removed || f.state("i-1") != table.Active {
		t.Fatalf("got states %q and %q, want removed and active", f.state("i-0"), f.state("i-1"))
	}
}

// TestRacedRegistration checks a registration that conflicts with a configuration which creates the pool at the same
// time. The registration must be repeated and keep the pool's configuration.
func TestRacedRegistration(t *testing.T) {
	f := newFixture(t)
	importer := &configure.Importer{Control: f.control, Operator: "test"}
	f.control.before = func() {
		if err := importer.Put(t.Context(), &configure.Configuration{Revision: 1, Text: "{}",
			Pools: []configure.Pool{{Name: "pool", Service: table.Application, MaxInFlight: 6}}}); err != nil {
			t.Error(err)
		}
	}
	f.send(t, replica(0, 1))
	if row := f.control.view().Row("i-0"); row == nil || row.State != table.Active || row.MaxInFlight != 12 || row.Service != table.Application {
		t.Fatalf("got row %+v, want state active, 12 slots and the configured service", row)
	}
}

// TestRowsOfOperatorsStay guards against removing a row that an operator created, for its silence or because a replica
// registers at its address.
func TestRowsOfOperatorsStay(t *testing.T) {
	f := newFixture(t)
	f.control.table.Apply(&wire.TableChange{ChangeId: "hand", Operator: "ops", Cells: []*wire.CellChange{
		{Row: "pool", Column: "kind", Value: "pool"}, {Row: "own", Column: "kind", Value: "backend"},
		{Row: "own", Column: "pool", Value: "pool"}, {Row: "own", Column: "address", Value: "10.0.0.1:80"}}})
	f.send(t, replica(0, 1)) // the same address
	for range 200 {
		f.now += heartbeatInterval
		f.service.tick(t.Context())
	}
	if f.state("own") != table.Active {
		t.Fatalf("got state %q, want active", f.state("own"))
	}
}
