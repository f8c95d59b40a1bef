package registry

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestHeartbeatsAreForwardedTogether checks that heartbeats which arrive while a message to the leader is outstanding
// are sent in the next message, and that each replica gets its own answer.
func TestHeartbeatsAreForwardedTogether(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	var messages [][]string
	relays := newRelays(func(_ context.Context, heartbeats []*Registration) (taken []bool, err error) {
		if len(messages) == 0 {
			close(started)
			<-release
		}
		var names []string
		for _, heartbeat := range heartbeats {
			names = append(names, heartbeat.Instance)
			taken = append(taken, heartbeat.Instance != "i-3")
		}
		messages = append(messages, names)
		return taken, nil
	})
	var callers sync.WaitGroup
	errs := make([]error, 50)
	send := func(number int) {
		heartbeat := replica(number, 1)
		callers.Go(func() { errs[number] = relays.changes.Do(t.Context(), &heartbeat) })
	}
	send(0)
	<-started
	for number := 1; number < len(errs); number++ {
		send(number)
	}
	for relays.changes.Waiting() < len(errs)-1 {
		runtime.Gosched()
	}
	close(release)
	callers.Wait()
	if len(messages) != 2 || len(messages[1]) != len(errs)-1 {
		t.Fatalf("got messages %v, want two, the second with 49 heartbeats", messages)
	}
	for number, err := range errs {
		if (err != nil) != (number == 3) {
			t.Errorf("replica %d: got error %v, want one for replica 3 only", number, err)
		}
	}
}

// TestShortAnswerAcknowledgesNothingMore checks that heartbeats without an entry in the leader's answer are not
// acknowledged.
func TestShortAnswerAcknowledgesNothingMore(t *testing.T) {
	relays := newRelays(func(context.Context, []*Registration) ([]bool, error) { return nil, nil })
	heartbeat := replica(0, 1)
	if err := relays.changes.Do(t.Context(), &heartbeat); err == nil {
		t.Fatal("a heartbeat was acknowledged that the leader's answer does not include")
	}
}

// TestRelayedHeartbeatsAreJudgedOneByOne checks that an invalid heartbeat in a forwarded message does not fail the
// others.
func TestRelayedHeartbeatsAreJudgedOneByOne(t *testing.T) {
	f := newFixture(t)
	good, bad, other := replica(0, 1), replica(1, 1), replica(2, 1)
	bad.Address = "nowhere"
	taken := f.service.TakeRelayed(t.Context(), []*Registration{&good, &bad, &other})
	if !slices.Equal(taken, []bool{true, false, true}) {
		t.Fatalf("got %v, want all but the second accepted", taken)
	}
	if f.state("i-0") != table.Active || f.state("i-2") != table.Active || f.state("i-1") != "" {
		t.Fatal("the table does not hold exactly the accepted replicas")
	}
}

// TestManyReplicasStayWithTheirNode checks the number of replicas above which replicas stay with the node that they
// reached and no longer turn to the leader.
func TestManyReplicasStayWithTheirNode(t *testing.T) {
	f := newFixture(t)
	change := &wire.TableChange{ChangeId: "many", Operator: "test", Note: table.ForceNote,
		Cells: []*wire.CellChange{{Row: "pool", Column: table.ColumnKind, Value: string(table.Pool)}}}
	add := func(number int) {
		name := fmt.Sprint("r-", number)
		for column, value := range map[string]string{table.ColumnKind: string(table.Backend), table.ColumnPool: "pool",
			table.ColumnAddress: fmt.Sprintf("10.1.%d.%d:80", number/200, number%200+1), table.ColumnSequence: "1"} {
			change.Cells = append(change.Cells, &wire.CellChange{Row: name, Column: column, Value: value})
		}
	}
	for number := range spreadThreshold {
		add(number)
	}
	if result, _, err := f.control.ChangeTable(t.Context(), change, false); err != nil || result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(err, result)
	}
	if f.service.ShouldSpread() {
		t.Fatalf("ShouldSpread is true with %d replicas, want false", spreadThreshold)
	}
	one := replica(1, 1)
	if err := f.service.Heartbeat(t.Context(), &one); err != nil {
		t.Fatal(trace.DebugReport(err))
	}
	if !f.service.ShouldSpread() {
		t.Fatalf("ShouldSpread is false with more than %d replicas, want true", spreadThreshold)
	}
}

// TestSlowRegistrationDoesNotHoldUpOthersInItsMessage guards against a message whose heartbeats all time out because one
// of them has to wait for a change of the table.
func TestSlowRegistrationDoesNotHoldUpOthersInItsMessage(t *testing.T) {
	f := newFixture(t)
	known := replica(1, 1)
	f.send(t, known)
	control := newSlowControl(f.control)
	f.service.config.Control, f.service.config.View = control, control.view
	again, added := replica(1, 2), replica(2, 1)
	taken := f.service.TakeRelayed(t.Context(), []*Registration{&again, &added})
	if !slices.Equal(taken, []bool{true, false}) {
		t.Errorf("got answers %v while the table does not answer, want only the known replica's heartbeat to be taken", taken)
	}
	<-control.held
	close(control.release)
	for f.state(added.Instance) != table.Active { // the registration goes on
		runtime.Gosched()
	}
}

// TestHeartbeatThatTheLeaderHasIsNotRegisteredAgain guards against a second registration by the node that forwarded a
// heartbeat, while the leader is still at work on the first: under load it would double the work.
func TestHeartbeatThatTheLeaderHasIsNotRegisteredAgain(t *testing.T) {
	f := newFixture(t)
	f.leading = false
	f.service.relays = newRelays(func(_ context.Context, heartbeats []*Registration) ([]bool, error) {
		return make([]bool, len(heartbeats)), nil
	})
	heartbeat := replica(1, 1)
	if err := f.service.Heartbeat(t.Context(), &heartbeat); !trace.IsConnectionProblem(err) {
		t.Errorf("got error %v, want a connection problem", err)
	}
	if version := f.control.table.Version(); version != 0 {
		t.Errorf("the table is at version %d, want no change", version)
	}
}
