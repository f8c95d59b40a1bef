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

// TestHeartbeatsArePassedOnTogether: what comes while a message to the leader is under way goes into the next one, and
// each replica gets the leader's answer for itself.
func TestHeartbeatsArePassedOnTogether(t *testing.T) {
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
		callers.Go(func() { errs[number] = relays.queue.Do(t.Context(), &heartbeat) })
	}
	send(0)
	<-started
	for number := 1; number < len(errs); number++ {
		send(number)
	}
	for relays.queue.Waiting() < len(errs)-1 {
		runtime.Gosched()
	}
	close(release)
	callers.Wait()
	if len(messages) != 2 || len(messages[1]) != len(errs)-1 {
		t.Fatalf("messages %v", messages)
	}
	for number, err := range errs {
		if (err != nil) != (number == 3) {
			t.Errorf("replica %d: %v", number, err)
		}
	}
}

// TestShortAnswerAcknowledgesNothingMore: heartbeats that the leader's answer does not cover aren't acknowledged.
func TestShortAnswerAcknowledgesNothingMore(t *testing.T) {
	relays := newRelays(func(context.Context, []*Registration) ([]bool, error) { return nil, nil })
	heartbeat := replica(0, 1)
	if err := relays.queue.Do(t.Context(), &heartbeat); err == nil {
		t.Fatal("acknowledged without the leader's word")
	}
}

// TestRelayedHeartbeatsAreJudgedOneByOne: the leader takes the good ones and names the others.
func TestRelayedHeartbeatsAreJudgedOneByOne(t *testing.T) {
	f := newFixture(t)
	good, bad, other := replica(0, 1), replica(1, 1), replica(2, 1)
	bad.Address = "nowhere"
	taken := f.service.TakeRelayed(t.Context(), []*Registration{&good, &bad, &other})
	if !slices.Equal(taken, []bool{true, false, true}) {
		t.Fatalf("taken %v", taken)
	}
	if f.state("i-0") != table.Active || f.state("i-2") != table.Active || f.state("i-1") != "" {
		t.Fatal("the table says something else")
	}
}

// TestManyReplicasKeepToTheirNode: a small fleet's heartbeats go to the leader, a large one's stay where they are.
func TestManyReplicasKeepToTheirNode(t *testing.T) {
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
	for number := range spreadAbove {
		add(number)
	}
	if result, _, err := f.control.ChangeTable(t.Context(), change, false); err != nil || result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(err, result)
	}
	if f.service.Spread() {
		t.Fatalf("spread at %d replicas", spreadAbove)
	}
	one := replica(1, 1)
	if err := f.service.Heartbeat(t.Context(), &one); err != nil {
		t.Fatal(trace.DebugReport(err))
	}
	if !f.service.Spread() {
		t.Fatalf("not spread above %d replicas", spreadAbove)
	}
}
