package control

import (
	"testing"
	"time"
)

// TestReturnedGroupIsKeptForCooldown guards against a group being passed back and forth. A group that comes back after
// a transfer must be kept for transferCooldown, except by a standby.
func TestReturnedGroupIsKeptForCooldown(t *testing.T) {
	for _, standby := range []bool{false, true} {
		y := &leadershipTransfer{server: &Server{config: Config{Standby: standby}}, transferredAt: map[uint32]time.Duration{1: time.Second}}
		for group, at := range map[uint32]time.Duration{1: time.Second + transferCooldown - 1, 2: time.Second} {
			if got, want := y.recentlyTransferred(group, at), group == 1 && !standby; got != want {
				t.Errorf("standby %v, group %d: got recently transferred %v, want the opposite", standby, group, got)
			}
		}
		if y.recentlyTransferred(1, time.Second+transferCooldown) {
			t.Errorf("standby %v: the group counts as recently transferred after the cooldown", standby)
		}
	}
}
