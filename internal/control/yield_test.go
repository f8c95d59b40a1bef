package control

import (
	"testing"
	"time"
)

// TestGroupsThatWereGivenAwayRest: a group that comes back at once is kept for a while, but not by a standby.
func TestGroupsThatWereGivenAwayRest(t *testing.T) {
	for _, standby := range []bool{false, true} {
		y := &yielder{server: &Server{config: Config{Standby: standby}}, yielded: map[uint32]time.Duration{1: time.Second}}
		for group, at := range map[uint32]time.Duration{1: time.Second + yieldPause - 1, 2: time.Second} {
			if got, want := y.rests(group, at), group == 1 && !standby; got != want {
				t.Errorf("standby %v, group %d: rests %v", standby, group, got)
			}
		}
		if y.rests(1, time.Second+yieldPause) {
			t.Errorf("standby %v: the group rests longer", standby)
		}
	}
}
