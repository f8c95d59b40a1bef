package batchclient

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	leaderAddress = "10.0.0.1:1"
	nearAddress   = "10.0.1.1:1"
)

// nearLedger is a control node in the zone of the client, with a state of its own.
type nearLedger struct {
	machine *state.Machine
	failure error
	asked   int
	leader  string
}

func (n *nearLedger) LocalQuery(_ context.Context, address string, group uint32, query *wire.Query) (*wire.View, error) {
	n.asked++
	if n.failure != nil {
		return nil, n.failure
	}
	if address != nearAddress || group != Group {
		return nil, fmt.Errorf("query to %s for group %d, want the near node and the group of the batch jobs", address, group)
	}
	return n.machine.Query(query)
}

func (n *nearLedger) Leader(uint32) string { return n.leader }

// nearFixture is a client in zone b, which has a near node, with a job that has three results.
type nearFixture struct {
	*Client
	leader *fakeLedger
	ledger *nearLedger
	now    time.Time
	texts  int // results that the leader has returned
}

// newNearFixture returns a fixture whose near node has applied the given number of commands: the submit and then one
// per result.
func newNearFixture(t *testing.T, applied int) *nearFixture {
	t.Helper()
	client, leader := newClient(t)
	f := &nearFixture{Client: client, leader: leader, ledger: &nearLedger{machine: state.New(), leader: leaderAddress}, now: time.Unix(100, 0)}
	member := func(name, address, zone string, role wire.MemberRole) *wire.Member {
		return &wire.Member{Name: name, Address: address, Zone: zone, Role: role, State: wire.MemberState_MEMBER_STATE_ALIVE}
	}
	members := &wire.MembersView{Members: []*wire.Member{
		member("leader", leaderAddress, "a", wire.MemberRole_MEMBER_ROLE_CONTROL),
		member("near", nearAddress, "b", wire.MemberRole_MEMBER_ROLE_CONTROL),
		member("gateway", "10.0.1.2:1", "b", wire.MemberRole_MEMBER_ROLE_GATEWAY),
	}}
	client.ReadNear(&Near{Ledger: f.ledger, Zone: "b", Members: func() *wire.MembersView { return members }, Now: func() time.Time { return f.now }})
	leader.seen = func(query *wire.Query, view *wire.View) { f.texts += len(view.GetJobResults().GetResults()) }
	job := exampleBatch()
	for number := range 2 {
		job.Items = append(job.Items, Item{ID: fmt.Sprint("further-", number), Path: "/a/x"})
	}
	if err := client.Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	commands := []*wire.Command{{Kind: &wire.Command_JobSubmit{JobSubmit: submission(job, client.view().Row("route-a"))}}}
	for _, item := range job.Items {
		result := &wire.JobResult{Item: item.ID, State: wire.JobItemState_JOB_ITEM_STATE_COMPLETED, Text: []byte("text of " + item.ID)}
		store := &wire.JobStore{Jobs: []*wire.JobResults{{Job: "j", Results: []*wire.JobResult{result}}}}
		commands = append(commands, &wire.Command{Kind: &wire.Command_JobStore{JobStore: store}})
	}
	for position, command := range commands {
		if command.GetJobStore() != nil {
			if _, err := leader.Execute(t.Context(), Group, command); err != nil {
				t.Fatal(err)
			}
		}
		if position < applied {
			f.ledger.machine.Apply(uint64(position+1), command)
		}
	}
	return f
}

// read returns the results from a position on, and fails the test if one is wrong.
func (f *nearFixture) read(t *testing.T, from uint64) []Result {
	t.Helper()
	results, err := f.Results(t.Context(), Reference{ID: "j"}, from, 0)
	if err != nil {
		t.Fatal(err)
	}
	for position, result := range results.Results {
		want := []string{"i", "further-0", "further-1"}[int(from)+position]
		if result.ID != want || result.Text != "text of "+want {
			t.Fatalf("position %d is %+v", int(from)+position, result)
		}
	}
	return results.Results
}

func TestResultsAreReadNearby(t *testing.T) {
	f := newNearFixture(t, 4)
	if results := f.read(t, 1); len(results) != 2 || f.texts != 0 {
		t.Fatalf("%d results, %d of them from the leader, want 2 and 0", len(results), f.texts)
	}
	if asked := f.ledger.asked; asked == 0 {
		t.Fatal("the near node was not queried")
	}
	if results := f.read(t, 3); len(results) != 0 {
		t.Fatalf("results after the last one: %v, want none", results)
	}
}

// TestNearNodesThatLag: results that the leader has confirmed must be returned even if the near node has not applied
// them yet; the missing ones come from the leader.
func TestNearNodesThatLag(t *testing.T) {
	for applied, texts := range map[int]int{0: 3, 1: 3, 2: 2, 3: 1} {
		f := newNearFixture(t, applied)
		if results := f.read(t, 0); len(results) != 3 || f.texts != texts {
			t.Errorf("a near node that has applied %d commands: %d results, %d from the leader, want %d", applied, len(results), f.texts, texts)
		}
	}
}

func TestFailingNearNodesArePaused(t *testing.T) {
	f := newNearFixture(t, 4)
	f.ledger.failure = errors.New("no connection")
	for range 3 {
		if results := f.read(t, 0); len(results) != 3 {
			t.Fatalf("%d results, want 3", len(results))
		}
	}
	if f.ledger.asked != 1 {
		t.Fatalf("a failing near node was queried %d times, want 1", f.ledger.asked)
	}
	f.ledger.failure, f.texts, f.now = nil, 0, f.now.Add(nearPause+time.Millisecond)
	if results := f.read(t, 0); len(results) != 3 || f.texts != 0 {
		t.Fatalf("after the pause: %d results, %d of them from the leader, want 3 and 0", len(results), f.texts)
	}
}

func TestLeaderInTheZoneIsQueried(t *testing.T) {
	f := newNearFixture(t, 4)
	f.ledger.leader = nearAddress
	if results := f.read(t, 0); len(results) != 3 || f.ledger.asked != 0 || f.texts != 3 {
		t.Fatalf("%d results, %d from the leader, %d queries to the near node, want 3, 3 and 0", len(results), f.texts, f.ledger.asked)
	}
}
