package control

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// lateStep is the time between late checks: more than three check intervals.
const lateStep = 700 * time.Millisecond

// lateClock simulates loops that run late. It stands still, then advances by lateStep.
func lateClock() time.Duration { return monotonic.Now() / lateStep * lateStep }

// TestLostVoterIsReplacedDespiteLateChecks replaces a lost control node by an empty one at another address while the
// leader checks its group only every 0.7 s, then loses two more disks. When a check later than 0.6 s reset all
// silences, the lost node stayed a voter forever, the new node took the place of a standby, and the next two losses
// left two of five voters. On machines where 90 processes share a processor, groups then had no leader for more than 40
// s.
func TestLostVoterIsReplacedDespiteLateChecks(t *testing.T) {
	c := startSeededWith(t, &seededCluster{losses: 2, standbys: []int{3, 4, 5}, clock: lateClock})
	for _, position := range c.standbys {
		c.open(position, listen(t, "127.0.0.1:0"), true)
	}
	c.awaitVoterCount(5)
	client := c.client(controlclient.Config{Addresses: c.seeds, LedgerGroups: 1})
	version, _ := mustAccept(t, client, poolChange("base", 0, "1"), false)
	c.wipe(0)
	c.open(6, listen(t, "127.0.0.1:0"), false)
	eventually(t, "the new node's vote", func() bool { return c.votes(6) })
	c.awaitVoterCount(5)
	for _, position := range []int{1, 2} {
		c.wipe(position)
	}
	if next, _ := mustAccept(t, c.client(controlclient.Config{Addresses: []string{c.servers[6].Address()}, LedgerGroups: 1}),
		weightChange("after", version, "2"), false); next != version+1 {
		t.Fatalf("got version %d after the losses, want %d", next, version+1)
	}
}

// votes reports whether the node at a position votes in both groups, according to its own state.
func (c *seededCluster) votes(position int) bool {
	votes, _ := c.servers[position].votingStatus(testContext(c.t))
	return votes
}

// TestDeadMemberIsGoneDespiteLateChecks kills a member with running work while the leader checks the members only every
// 0.4 s, more than three check intervals. When each such check reset all silences, the member stayed alive forever and
// its claims were never ended.
func TestDeadMemberIsGoneDespiteLateChecks(t *testing.T) {
	const step = 400 * time.Millisecond
	c := startConfiguredCluster(t, func(config *Config) {
		config.Clock = func() time.Duration { return monotonic.Now() / step * step }
	})
	client := c.client(controlclient.Config{})
	session := c.session("gateway-1", nil)
	startClaim(t, client, "a", session.Owner())
	session.Close()
	eventually(t, "the member to be gone", func() bool {
		return memberState(t, client, "gateway-1") == wire.MemberState_MEMBER_STATE_GONE
	})
	eventually(t, "its claim to be ended", func() bool {
		return claimState(t, client, "a") == wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
	})
}
