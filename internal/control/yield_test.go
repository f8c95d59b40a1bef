package control

import (
	"testing"
	"time"
)

// TestGroupsThatWereGivenAwayRest: a group that comes back at once is kept for a while, but not by a standby.
func TestGroupsThatWereGivenAwayRest(t *testing.T) {
	for _, standby := range []bool{false, true} {
		y := &leadershipTransfer{server: &Server{config: Config{Standby: standby}}, transferredAt: map[uint32]time.Duration{1: time.Second}}
		for group, at := range map[uint32]time.Duration{1: time.Second + transferCooldown - 1, 2: time.Second} {
			if got, want := y.recentlyTransferred(group, at), group == 1 && !standby; got != want {
				t.Errorf("standby %v, group %d: rests %v", standby, group, got)
			}
		}
		if y.recentlyTransferred(1, time.Second+transferCooldown) {
			t.Errorf("standby %v: the group rests longer", standby)
		}
	}
}
