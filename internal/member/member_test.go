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
		{2, alive, true, 4}, // was wrongly given up, and has not left
		{2, leaving, true, 5}, {2, alive, false, 5}, {2, gone, true, 6}, {2, alive, false, 6}, {2, leaving, false, 6},
		{3, alive, true, 7}, {2, gone, false, 7},
	} {
		result, err := list.Apply(update(step.incarnation, step.state))
		if err != nil || result.GetAccepted() != step.accepted || result.GetMembersVersion() != step.version {
			t.Fatalf("step %d %+v: %v %v", position, step, result, err)
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
		t.Fatal("an address changed within one incarnation")
	}
	for _, bad := range []*wire.MemberUpdate{nil, update(0, alive), update(9, 0), update(9, 99)} {
		if _, err := list.Apply(bad); err == nil {
			t.Errorf("%v was taken", bad)
		}
	}
}
