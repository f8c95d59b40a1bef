package control

import (
	"errors"
	"testing"

	"github.com/gravitational/trace"
)

// TestOfferControl transfers the control group's leadership to each other node by its address. Offers by a follower, to
// an unknown address and to a node that is down must fail.
func TestOfferControl(t *testing.T) {
	c := startSeeded(t)
	c.awaitVoters(0, 1, 2)
	first := c.leader()
	for _, position := range []int{(first + 1) % 3, (first + 2) % 3, first} {
		eventually(t, "the node to lead the control group", func() bool {
			if c.leader() == position {
				return true
			}
			// The offer may fail because the voter has not been heard yet.
			_ = c.servers[c.leader()].OfferControl(testContext(t), c.seeds[position])
			return false
		})
	}
	leader := c.servers[first]
	if err := leader.OfferControl(testContext(t), "127.0.0.1:1"); !trace.IsBadParameter(err) {
		t.Errorf("an offer to an unknown address: got %v, want a bad parameter error", err)
	}
	if err := c.servers[(first+1)%3].OfferControl(testContext(t), c.seeds[first]); !trace.IsBadParameter(err) {
		t.Errorf("an offer by a follower: got %v, want a bad parameter error", err)
	}
	gone := (first + 1) % 3
	c.kill(gone)
	eventually(t, "the offer to a node that is down to fail", func() bool {
		err := leader.OfferControl(testContext(t), c.seeds[gone])
		return trace.IsConnectionProblem(err) && errors.Is(err, ErrVoterSilent)
	})
	if c.leader() != first {
		t.Error("the leadership was transferred to a node that is down")
	}
}
