package operator

import (
	"context"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// retiringControl is a control node with one ledger group and one storage member, which is leaving.
type retiringControl struct {
	MemberControl
	status map[uint32]*wire.StatusView
}

func (c *retiringControl) Query(context.Context, uint32, *wire.Query) (*wire.View, error) {
	member := &wire.Member{Name: "storage-1", Role: wire.MemberRole_MEMBER_ROLE_STORAGE, Address: "s1", State: wire.MemberState_MEMBER_STATE_LEAVING}
	return &wire.View{Kind: &wire.View_Members{Members: &wire.MembersView{Members: []*wire.Member{member}}}}, nil
}

func (c *retiringControl) Addresses() []string { return []string{"a"} }

func (c *retiringControl) NodeStatus(_ context.Context, _ string, group uint32) (*wire.StatusView, error) {
	view := c.status[group]
	view.Node, view.Leader, view.LedgerGroups = 1, 1, 1
	return view, nil
}

// knownStandbys holds the addresses of control nodes by id. A missing id has no known address.
type knownStandbys map[uint64]string

func (knownStandbys) CanRetire(context.Context, string) (bool, error) { return true, nil }

func (s knownStandbys) AddressOf(node uint64) string { return s[node] }

// TestRetirementWaitsForLearners: a retirement is running while the machine's node is a learner. A leader may already
// have decided to promote it. If the retirement counted as completed, the machine's disk would be removed and the
// node would still become a voter, so the group would have lost one voter more than reported. A node of unknown
// address counts as being on the machine.
func TestRetirementWaitsForLearners(t *testing.T) {
	addresses := knownStandbys{1: "a", 2: "b", 7: "s1", 8: "s2"}
	for name, test := range map[string]struct {
		control, ledger *wire.StatusView
		want            Retirement
	}{
		"it is in no group":        {&wire.StatusView{Voters: []uint64{1, 2, 8}}, &wire.StatusView{Voters: []uint64{1, 2, 8}}, RetirementCompleted},
		"it votes":                 {&wire.StatusView{Voters: []uint64{1, 2, 8}}, &wire.StatusView{Voters: []uint64{1, 2, 7}}, RetirementRunning},
		"it is a learner":          {&wire.StatusView{Voters: []uint64{1, 2, 8}, Learners: []uint64{7}}, &wire.StatusView{Voters: []uint64{1, 2, 8}}, RetirementRunning},
		"another one is a learner": {&wire.StatusView{Voters: []uint64{1, 2}, Learners: []uint64{8}}, &wire.StatusView{Voters: []uint64{1, 2}}, RetirementCompleted},
		"an unknown node votes":    {&wire.StatusView{Voters: []uint64{1, 2, 9}}, &wire.StatusView{Voters: []uint64{1, 2}}, RetirementRunning},
		"an unknown node learns":   {&wire.StatusView{Voters: []uint64{1, 2}, Learners: []uint64{9}}, &wire.StatusView{Voters: []uint64{1, 2}}, RetirementRunning},
	} {
		control := &retiringControl{status: map[uint32]*wire.StatusView{0: test.control, 1: test.ledger}}
		got, err := ReadRetirement(t.Context(), control, addresses, "storage-1")
		if err != nil || got != test.want {
			t.Errorf("%s: got retirement %q, error %v; want %q", name, got, err, test.want)
		}
	}
}
