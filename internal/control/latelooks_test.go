package control

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// lateStep is how far apart looks are that come late: more than three of their intervals.
const lateStep = 700 * time.Millisecond

// lateClock shows what loops see that run late: it stands still, then moves on by lateStep.
func lateClock() time.Duration { return monotonic.Now() / lateStep * lateStep }

// TestLostVoterIsReplacedWhereLooksAreLate replaces a control node by an empty one at another address, on machines where the
// leader looks at its group 0.7 s after its last look, and then loses two more disks. The leader used to forget all silences
// at every look later than 0.6 s: the lost node stayed a voter for good, in its place a standby went, and the next two losses
// left two of five voters. Groups without a leader for more than 40 s were seen on machines where 90 processes share a processor.
func TestLostVoterIsReplacedWhereLooksAreLate(t *testing.T) {
	c := startSeededWith(t, &seededCluster{losses: 2, standbys: []int{3, 4, 5}, clock: lateClock})
	for _, position := range c.standbys {
		c.open(position, listen(t, "127.0.0.1:0"), true)
	}
	c.awaitSize(5)
	client := c.client(controlclient.Config{Addresses: c.seeds, LedgerGroups: 1})
	version, _ := mustAccept(t, client, poolChange("base", 0, "1"), false)
	c.wipe(0)
	c.open(6, listen(t, "127.0.0.1:0"), false)
	eventually(t, "the new node's vote", func() bool { return c.votes(6) })
	c.awaitSize(5)
	for _, position := range []int{1, 2} {
		c.wipe(position)
	}
	if next, _ := mustAccept(t, c.client(controlclient.Config{Addresses: []string{c.servers[6].Address()}, LedgerGroups: 1}),
		weightChange("after", version, "2"), false); next != version+1 {
		t.Fatalf("version %d after the losses, want %d", next, version+1)
	}
}

// votes tells whether the node at a position votes in both groups, as it knows itself.
func (c *seededCluster) votes(position int) bool {
	votes, _ := c.servers[position].votingStatus(testContext(c.t))
	return votes
}

// TestDeadMemberIsGoneWhereLooksAreLate kills a member with running work where the leader looks at the members 0.4 s after its
// last look, which is more than three of its intervals. All silences began anew at each such look: the member stayed alive for
// good, and its work was given up by nobody.
func TestDeadMemberIsGoneWhereLooksAreLate(t *testing.T) {
	const step = 400 * time.Millisecond
	c := startTunedCluster(t, func(config *Config) {
		config.Clock = func() time.Duration { return monotonic.Now() / step * step }
	})
	client := c.client(controlclient.Config{})
	session := c.session("gateway-1", nil)
	runningClaim(t, client, "a", session.Owner())
	session.Close()
	eventually(t, "the member to be gone", func() bool {
		return memberState(t, client, "gateway-1") == wire.MemberState_MEMBER_STATE_GONE
	})
	eventually(t, "its claim to be given up", func() bool {
		return claimState(t, client, "a") == wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
	})
}
