package control

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Incarnations of two starts of a process. The later start has the lower number, as on a machine whose clock was set
// back between them.
const (
	earlierStart = uint64(1_764_720_060_000_000_000)
	laterStart   = earlierStart - 60_000_000_000
)

// sessionWithIncarnation starts a session of a process whose clock gave it the incarnation number.
func (c *cluster) sessionWithIncarnation(name string, number uint64) *controlclient.Session {
	c.t.Helper()
	member := gatewayMember(name)
	member.Incarnation = number
	session, err := c.client(controlclient.Config{Member: member}).StartSession(testContext(c.t))
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(session.Close)
	return session
}

// memberOf returns the member with a name as stored by the control group, or nil.
func (c *cluster) memberOf(client *controlclient.Client, name string) *wire.Member {
	c.t.Helper()
	view, err := client.Query(testContext(c.t), controlGroup, &wire.Query{Kind: &wire.Query_Members{Members: &wire.MembersQuery{}}})
	if err != nil {
		c.t.Fatal(err)
	}
	for _, member := range view.GetMembers().GetMembers() {
		if member.Name == name {
			return member
		}
	}
	return nil
}

// TestRestartWithClockSetBackGetsLease restarts a process after its machine's clock was set back. Such a process used
// to get no lease until the clock had passed the time of its earlier start.
func TestRestartWithClockSetBackGetsLease(t *testing.T) {
	c := startCluster(t)
	first := c.sessionWithIncarnation("gateway", earlierStart)
	owner := first.Owner()
	first.Close()
	again := c.sessionWithIncarnation("gateway", laterStart)
	if _, ok := again.Admit(); !ok {
		t.Error("the session holds no lease")
	}
	if again.Owner() == owner {
		t.Errorf("both starts own claims as %s, want different owners", owner)
	}
	if held := c.memberOf(c.client(controlclient.Config{}), "gateway"); wire.OwnerName(held) != again.Owner() {
		t.Errorf("the group holds member %s, want %s", wire.OwnerName(held), again.Owner())
	}
	key := "a"
	client := c.client(controlclient.Config{})
	startClaim(t, client, key, owner)
	eventually(t, "the earlier start's claim to be ended", func() bool {
		return claimState(t, client, key) == wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
	})
}

// TestLaterOfTwoProcessesWithOneNameKeepsLease runs processes with the same name at the same time. The later start must
// win whatever the incarnations are, and the earlier ones must never get a lease again.
func TestLaterOfTwoProcessesWithOneNameKeepsLease(t *testing.T) {
	c := startCluster(t)
	first := c.sessionWithIncarnation("gateway", earlierStart)
	second := c.sessionWithIncarnation("gateway", laterStart)
	eventually(t, "the end of the earlier start's lease", func() bool {
		_, ok := first.Admit()
		return !ok
	})
	third := c.sessionWithIncarnation("gateway", laterStart)
	eventually(t, "the end of the second start's lease", func() bool {
		_, ok := second.Admit()
		return !ok
	})
	if _, ok := first.Admit(); ok {
		t.Error("the first start holds a lease again")
	}
	if _, ok := third.Admit(); !ok {
		t.Error("the last start holds no lease")
	}
}

// TestStorageMemberWithClockSetBackIsRegistered registers a storage member with a lower incarnation than before. Such a
// member used to be impossible to retire until its clock had passed the time of its earlier start.
func TestStorageMemberWithClockSetBackIsRegistered(t *testing.T) {
	c := startCluster(t)
	for _, number := range []uint64{earlierStart, laterStart} {
		member := &wire.Member{Name: "store", Role: wire.MemberRole_MEMBER_ROLE_STORAGE, Address: "127.0.0.1:1", Incarnation: number}
		if err := c.client(controlclient.Config{Member: member}).Register(testContext(t)); err != nil {
			t.Fatalf("registering the start with incarnation %d: %v", number, err)
		}
	}
	if held := c.memberOf(c.client(controlclient.Config{}), "store"); held.GetIncarnation() <= earlierStart {
		t.Errorf("the group holds incarnation %d, want one above that of the earlier start", held.GetIncarnation())
	}
}
