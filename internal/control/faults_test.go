package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestCutOffHolderStopsAdmitting cuts a holder off without closing its connections. Once a change is in force without
// it, the holder must admit nothing, and it must resume on the new version after the cut ends.
func TestCutOffHolderStopsAdmitting(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	network := newGate()
	near, far := c.session("near", nil), c.session("far", network.dial)
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), true)

	network.cut()
	version, inForce := mustAccept(t, client, weightChange("meanwhile", base, "2"), true)
	if inForce < version {
		t.Fatalf("version %d was accepted, but the version in force is %d", version, inForce)
	}
	if admitted, ok := far.Admit(); ok {
		t.Fatalf("version %d is in force, and the cut-off holder still admits on %d", version, admitted)
	}
	if admitted, ok := near.Admit(); !ok || admitted != version {
		t.Fatalf("the other holder must act on version %d, got version %d, lease %t", version, admitted, ok)
	}
	network.heal()
	eventually(t, "the holder to resume on the new version", func() bool {
		admitted, ok := far.Admit()
		return ok && admitted == version
	})
}

// TestPausedHolderAdmitsNothing sets a holder's clock past the end of its lease, as after a pause. It must admit
// nothing until it has renewed the lease.
func TestPausedHolderAdmitsNothing(t *testing.T) {
	c := startCluster(t)
	clock := &shiftedClock{base: monotonic.Now}
	network := newGate()
	client := c.client(controlclient.Config{Member: gatewayMember("paused"), Dial: network.dial, Clock: clock.now})
	session, err := client.StartSession(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	network.cut() // prevents a renewal between the jump and Admit
	clock.jump(DefaultLeaseDuration)
	if _, ok := session.Admit(); ok {
		t.Fatal("the holder still admits after its lease has ended")
	}
	network.heal()
	eventually(t, "a new lease", func() bool {
		_, ok := session.Admit()
		return ok
	})
}

// startClaim makes owner the holder of a running claim.
func startClaim(t *testing.T, client *controlclient.Client, key, owner string) {
	t.Helper()
	begin := &wire.ClaimBegin{Key: key, BodyHash: []byte("body"), Owner: owner, Attempt: owner + "/" + key, Ticket: client.LearnedIndex(client.ClaimGroup(key))}
	result, err := client.Execute(testContext(t), client.ClaimGroup(key), &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: begin}})
	if err != nil {
		t.Fatal(err)
	}
	if state := result.GetClaim().GetState(); state != wire.ClaimState_CLAIM_STATE_GRANTED {
		t.Fatalf("the claim of %s was not granted: %s", key, state)
	}
}

func claimState(t *testing.T, client *controlclient.Client, key string) wire.ClaimState {
	t.Helper()
	view, err := client.Query(testContext(t), client.ClaimGroup(key), &wire.Query{Kind: &wire.Query_Claim{Claim: &wire.ClaimQuery{Key: key}}})
	if err != nil {
		t.Fatal(err)
	}
	return view.GetClaim().GetState()
}

func memberState(t *testing.T, client *controlclient.Client, name string) wire.MemberState {
	t.Helper()
	view, err := client.Query(testContext(t), controlGroup, &wire.Query{Kind: &wire.Query_Members{Members: &wire.MembersQuery{}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, member := range view.GetMembers().GetMembers() {
		if member.Name == name {
			return member.State
		}
	}
	return wire.MemberState_MEMBER_STATE_UNSPECIFIED
}

// TestClaimsOfDeadOwnerAreEnded stops a member with running claims in every ledger group. Once it is gone, all its
// claims must end with an unknown outcome.
func TestClaimsOfDeadOwnerAreEnded(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	session := c.session("gateway-1", nil)
	keys := []string{"a", "b", "c", "d", "e", "f"}
	for _, key := range keys {
		startClaim(t, client, key, session.Owner())
	}
	if state := memberState(t, client, "gateway-1"); state != wire.MemberState_MEMBER_STATE_ALIVE {
		t.Fatalf("the member is %s, want ALIVE", state)
	}
	session.Close()
	eventually(t, "the member to be gone", func() bool {
		return memberState(t, client, "gateway-1") == wire.MemberState_MEMBER_STATE_GONE
	})
	eventually(t, "its claims to be ended", func() bool {
		for _, key := range keys {
			if claimState(t, client, key) != wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME {
				return false
			}
		}
		return true
	})
}

// TestRestartEndsEarlierClaims restarts a process under its name before it was considered gone. The claims of the
// earlier start must end, and the new start must be able to claim.
func TestRestartEndsEarlierClaims(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	first := c.session("gateway-1", nil)
	startClaim(t, client, "k", first.Owner())
	first.Close()
	second := c.session("gateway-1", nil)
	if first.Owner() == second.Owner() {
		t.Fatalf("both starts own claims as %s, want different owners", first.Owner())
	}
	eventually(t, "the earlier start's claim to be ended", func() bool {
		return claimState(t, client, "k") == wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
	})
	startClaim(t, client, "later", second.Owner())
}

// TestLeaveIsConfirmed checks that a planned leave is recorded before it is confirmed, so that no lease has to lapse
// before a change is in force.
func TestLeaveIsConfirmed(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	session := c.session("gateway-1", nil)
	if err := session.Leave(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if _, ok := session.Admit(); ok {
		t.Fatal("the session admits after it left")
	}
	if state := memberState(t, client, "gateway-1"); state != wire.MemberState_MEMBER_STATE_GONE {
		t.Fatalf("the member is %s after it left, want GONE", state)
	}
}

// TestDrainTransfersLeadership drains the leader while a session holds a lease. The session must keep its lease and
// renew it with the new leader.
func TestDrainTransfersLeadership(t *testing.T) {
	c := startCluster(t)
	session := c.session("gateway-1", nil)
	leader := c.leader()
	drained := c.servers[leader]
	if err := drained.Drain(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if next := c.leader(); next == leader {
		t.Fatal("the drained node still leads")
	}
	if _, ok := session.Admit(); !ok {
		t.Fatal("the session lost its lease during a planned stop")
	}
	eventually(t, "a renewal by the new leader", func() bool {
		_, ok := session.Admit()
		return ok && session.RenewedBy() == c.peers[c.leader()].Address
	})
}

// TestLastNodesDrainTogether drains one node and then the other two at the same time. They must not pass their
// leaderships back and forth until their deadlines.
func TestLastNodesDrainTogether(t *testing.T) {
	for range 5 {
		c := startCluster(t)
		first := c.leader()
		if err := c.servers[first].Drain(testContext(t)); err != nil {
			t.Fatal(err)
		}
		c.leader()
		stopped := make(chan error, len(c.servers))
		for node, server := range c.servers {
			if node == first {
				continue
			}
			go func() {
				ctx, cancel := context.WithTimeout(testContext(t), 5*time.Second)
				defer cancel()
				stopped <- server.Drain(ctx)
			}()
		}
		for range len(c.servers) - 1 {
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		}
	}
}

// TestCatchUpAfterHundredsOfChanges cuts a holder off while the table advances by 300 versions. The holder must catch
// up afterwards.
func TestCatchUpAfterHundredsOfChanges(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	network := newGate()
	session := c.session("far", network.dial)
	version, _ := mustAccept(t, client, poolChange("base", 0, "1"), true)
	network.cut()
	for number := range 300 {
		version, _ = mustAccept(t, client, weightChange(fmt.Sprint("change-", number), version, fmt.Sprint(number)), false)
	}
	network.heal()
	eventually(t, "the holder to catch up", func() bool {
		admitted, ok := session.Admit()
		return ok && admitted == version
	})
}
