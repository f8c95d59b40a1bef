package control

import (
	"errors"
	"testing"

	"github.com/gravitational/trace"
)

// TestControlIsOffered moves the control group's leadership to each other node by its address, and not to one that
// is gone or unknown.
func TestControlIsOffered(t *testing.T) {
	c := startSeeded(t)
	c.awaitVoters(0, 1, 2)
	first := c.leader()
	for _, position := range []int{(first + 1) % 3, (first + 2) % 3, first} {
		eventually(t, "the leadership", func() bool {
			if c.leader() == position {
				return true
			}
			_ = c.servers[c.leader()].OfferControl(testContext(t), c.seeds[position]) // it may not be heard yet
			return false
		})
	}
	leader := c.servers[first]
	if err := leader.OfferControl(testContext(t), "127.0.0.1:1"); !trace.IsBadParameter(err) {
		t.Errorf("an unknown address: %v", err)
	}
	if err := c.servers[(first+1)%3].OfferControl(testContext(t), c.seeds[first]); !trace.IsBadParameter(err) {
		t.Errorf("a follower's offer: %v", err)
	}
	gone := (first + 1) % 3
	c.kill(gone)
	eventually(t, "a refusal", func() bool {
		err := leader.OfferControl(testContext(t), c.seeds[gone])
		return trace.IsConnectionProblem(err) && errors.Is(err, ErrVoterSilent)
	})
	if c.leader() != first {
		t.Error("the leadership went to a node that is gone")
	}
}
