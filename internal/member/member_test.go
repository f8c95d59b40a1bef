package member

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

func update(incarnation uint64, state wire.MemberState) *wire.MemberUpdate {
	return &wire.MemberUpdate{Member: &wire.Member{
		Name: "g1", Incarnation: incarnation, Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Address: "10.0.0.1:80", State: state,
	}}
}

func TestOrderOfIncarnationsAndStates(t *testing.T) {
	const (
		alive   = wire.MemberState_MEMBER_STATE_ALIVE
		suspect = wire.MemberState_MEMBER_STATE_SUSPECT
		leaving = wire.MemberState_MEMBER_STATE_LEAVING
		gone    = wire.MemberState_MEMBER_STATE_GONE
	)
	list := New()
	for position, step := range []struct {
		incarnation uint64
		state       wire.MemberState
		accepted    bool
		version     uint64
	}{
		{2, alive, true, 1}, {2, alive, true, 1}, {1, alive, false, 1}, {2, suspect, true, 2}, {2, gone, true, 3},
		{2, alive, true, 4}, // it was declared gone by mistake and has not left
		{2, leaving, true, 5}, {2, alive, false, 5}, {2, gone, true, 6}, {2, alive, false, 6}, {2, leaving, false, 6},
		{3, alive, true, 7}, {2, gone, false, 7},
	} {
		result, err := list.Apply(update(step.incarnation, step.state))
		if err != nil || result.GetAccepted() != step.accepted || result.GetMembersVersion() != step.version {
			t.Fatalf("step %d, want %+v: Apply returned %v, %v", position, step, result, err)
		}
		restored := New()
		if err := restored.Restore(proto.CloneOf(list.Snapshot())); err != nil {
			t.Fatal(err)
		}
		list = restored
	}
	moved := update(3, alive)
	moved.Member.Address = "10.0.0.2:80"
	if result, _ := list.Apply(moved); result.GetAccepted() {
		t.Fatal("an update that changes the address within one incarnation was accepted")
	}
	for _, bad := range []*wire.MemberUpdate{nil, update(0, alive), update(9, 0), update(9, 99)} {
		if _, err := list.Apply(bad); err == nil {
			t.Errorf("malformed update %v was accepted", bad)
		}
	}
}

// TestStorageMemberKeepsLeavingAcrossRestarts guards against a drained storage member that is filled again: its
// supervisor restarts the process after an operator has emptied the member. Members of other roles are alive again
// after a restart.
func TestStorageMemberKeepsLeavingAcrossRestarts(t *testing.T) {
	for role, want := range map[wire.MemberRole]wire.MemberState{
		wire.MemberRole_MEMBER_ROLE_STORAGE: wire.MemberState_MEMBER_STATE_LEAVING,
		wire.MemberRole_MEMBER_ROLE_GATEWAY: wire.MemberState_MEMBER_STATE_ALIVE,
	} {
		list := New()
		for incarnation := uint64(1); incarnation <= 3; incarnation++ {
			started := update(incarnation, wire.MemberState_MEMBER_STATE_ALIVE)
			started.Member.Role = role
			leaving := proto.CloneOf(started)
			leaving.Member.State = wire.MemberState_MEMBER_STATE_LEAVING
			for _, step := range []*wire.MemberUpdate{started, leaving}[:max(1, 3-int(incarnation))] {
				if result, err := list.Apply(step); err != nil || !result.GetAccepted() {
					t.Fatal(role, result, err)
				}
			}
			restored := New()
			if err := restored.Restore(proto.CloneOf(list.Snapshot())); err != nil {
				t.Fatal(err)
			}
			list = restored
		}
		if got := list.Get("g1"); got.GetState() != want || got.GetIncarnation() != 3 {
			t.Errorf("%s after two restarts: wrong state %s or wrong incarnation", wire.MemberRoleText(role), wire.MemberStateText(got.GetState()))
		}
	}
}

// TestRepeatedRegistrationIsAccepted covers a storage member that was asked to leave, restarts and registers, and
// loses the answer to the registration. The repeated registration must be accepted without changing the list.
func TestRepeatedRegistrationIsAccepted(t *testing.T) {
	list := New()
	apply := func(incarnation uint64, state wire.MemberState) *wire.MemberResult {
		step := update(incarnation, state)
		step.Member.Role = wire.MemberRole_MEMBER_ROLE_STORAGE
		result, err := list.Apply(step)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	apply(1, wire.MemberState_MEMBER_STATE_ALIVE)
	apply(1, wire.MemberState_MEMBER_STATE_LEAVING)
	first := apply(2, wire.MemberState_MEMBER_STATE_ALIVE)
	again := apply(2, wire.MemberState_MEMBER_STATE_ALIVE)
	if !first.GetAccepted() || !again.GetAccepted() || again.GetMembersVersion() != first.GetMembersVersion() {
		t.Fatalf("first registration %v, repeated %v; want both accepted at one version", first, again)
	}
	if got := list.Get("g1").GetState(); got != wire.MemberState_MEMBER_STATE_LEAVING {
		t.Fatalf("the member is %s, want leaving", wire.MemberStateText(got))
	}
	if apply(1, wire.MemberState_MEMBER_STATE_ALIVE).GetAccepted() {
		t.Fatal("a registration of an earlier incarnation was accepted")
	}
	apply(2, wire.MemberState_MEMBER_STATE_GONE)
	if apply(2, wire.MemberState_MEMBER_STATE_ALIVE).GetAccepted() {
		t.Fatal("a registration of a member that left and is gone was accepted")
	}
}
