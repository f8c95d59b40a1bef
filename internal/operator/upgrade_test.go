package operator

import (
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/compat"
)

// upgradableStatus returns the status of a deployment in which the next process may be replaced.
func upgradableStatus() *Status {
	leading := []GroupStatus{{Group: 0, Role: "leader"}, {Group: 1, Role: "leader"}}
	following := []GroupStatus{{Group: 0, Role: "follower"}, {Group: 1, Role: "follower", Lag: 3}}
	speaks := uint32(compat.Newest)
	return &Status{Level: speaks,
		Nodes:   []NodeStatus{{Name: "control-1", Speaks: speaks, Groups: leading}, {Name: "control-2", Speaks: speaks, Groups: following}},
		Members: []MemberStatus{{Name: "gateway-1", Role: "gateway", State: "alive", Speaks: speaks}, {Name: "old", Role: "gateway", State: "gone"}}}
}

// TestUpgradeCheckNamesWhatComesFirst: each fault alone makes the next step unsafe, and is named as the only reason.
func TestUpgradeCheckNamesWhatComesFirst(t *testing.T) {
	if check := CheckUpgrade(upgradableStatus()); len(check.Reasons) > 0 || !strings.Contains(check.Level, "no way back") {
		t.Errorf("sound deployment: got %+v, want no reasons and a level without a way back", check)
	}
	for reason, change := range map[string]func(*Status){
		"control node control-2 does not answer":                   func(s *Status) { s.Nodes[1].Error = "connection refused" },
		"control node control-2 is 1001 entries behind in group 1": func(s *Status) { s.Nodes[1].Groups[1].Lag = maxLagEntries + 1 },
		"group 1 has no leader":                                    func(s *Status) { s.Nodes[0].Groups[1].Role = "follower" },
		"gateway gateway-1 is suspect":                             func(s *Status) { s.Members[0].State = "suspect" },
		"no leader of the control group was reached":               func(s *Status) { s.MembersError = "none answers" },
	} {
		status := upgradableStatus()
		change(status)
		if check := CheckUpgrade(status); len(check.Reasons) != 1 || !strings.Contains(check.Reasons[0], reason) {
			t.Errorf("want the one reason %q, got %+v", reason, check)
		}
	}
}

// TestStatusNamesWhoHoldsTheLevelBack: while a level is not in force, the processes of older builds that prevent it
// are named, and the previous build can still be restored.
func TestStatusNamesWhoHoldsTheLevelBack(t *testing.T) {
	status := upgradableStatus()
	status.Level, status.Members[0].Speaks, status.Nodes[1].Speaks = 0, 0, 0
	if text := status.describeLevel(); !strings.Contains(text, "of an older build: control-2, gateway-1") {
		t.Error(text)
	}
	if check := CheckUpgrade(status); !strings.Contains(check.Level, "the way back is open") {
		t.Error(check.Level)
	}
}
