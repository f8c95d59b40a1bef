package control

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Numbers of two starts of which the later one has the lower number, as on a machine whose clock was set back between them.
const (
	earlierStart = uint64(1_764_720_060_000_000_000)
	laterStart   = earlierStart - 60_000_000_000
)

// numberedSession starts a session of a process whose clock gives its start a number.
func (c *cluster) numberedSession(name string, number uint64) *controlclient.Session {
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

// memberOf is a member as the control group holds it.
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

// TestStartWithItsClockBehindGetsALease: a process starts again after its machine's clock was set back. It got no lease until the clock had
// passed its earlier start.
func TestStartWithItsClockBehindGetsALease(t *testing.T) {
	c := startCluster(t)
	first := c.numberedSession("gateway", earlierStart)
	owner := first.Owner()
	first.Close()
	again := c.numberedSession("gateway", laterStart)
	if _, ok := again.Admit(); !ok {
		t.Error("the session holds no lease")
	}
	if again.Owner() == owner {
		t.Errorf("both starts own claims as %s", owner)
	}
	if held := c.memberOf(c.client(controlclient.Config{}), "gateway"); wire.OwnerName(held) != again.Owner() {
		t.Errorf("the group holds %s, not %s", wire.OwnerName(held), again.Owner())
	}
	key := "a"
	client := c.client(controlclient.Config{})
	runningClaim(t, client, key, owner)
	eventually(t, "the earlier start's claim to be given up", func() bool {
		return claimState(t, client, key) == wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
	})
}

// TestOfTwoLivingProcessesOfOneNameTheLaterStartStays: the earlier one, whatever its number, is out for good and takes nothing back.
func TestOfTwoLivingProcessesOfOneNameTheLaterStartStays(t *testing.T) {
	c := startCluster(t)
	first := c.numberedSession("gateway", earlierStart)
	second := c.numberedSession("gateway", laterStart)
	eventually(t, "the end of the earlier start's lease", func() bool {
		_, ok := first.Admit()
		return !ok
	})
	third := c.numberedSession("gateway", laterStart)
	eventually(t, "the end of the second start's lease", func() bool {
		_, ok := second.Admit()
		return !ok
	})
	if _, ok := first.Admit(); ok {
		t.Error("the first start holds a lease again")
	}
	if _, ok := third.Admit(); !ok {
		t.Error("the last start holds none")
	}
}

// TestStorageMemberWithItsClockBehindIsRegistered: it could not be retired until its clock had passed its earlier start.
func TestStorageMemberWithItsClockBehindIsRegistered(t *testing.T) {
	c := startCluster(t)
	for _, number := range []uint64{earlierStart, laterStart} {
		member := &wire.Member{Name: "store", Role: wire.MemberRole_MEMBER_ROLE_STORAGE, Address: "127.0.0.1:1", Incarnation: number}
		if err := c.client(controlclient.Config{Member: member}).Register(testContext(t)); err != nil {
			t.Fatalf("start %d: %v", number, err)
		}
	}
	if held := c.memberOf(c.client(controlclient.Config{}), "store"); held.GetIncarnation() <= earlierStart {
		t.Errorf("the group holds start %d", held.GetIncarnation())
	}
}
