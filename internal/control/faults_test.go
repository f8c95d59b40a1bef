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

// TestCutOffHolderStopsByItself cuts a holder off in silence: a change comes into force without it, it
// admits nothing by then, and it resumes by itself on the new version.
func TestCutOffHolderStopsByItself(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	network := newGate()
	near, far := c.session("near", nil), c.session("far", network.dial)
	base, _ := mustAccept(t, client, poolChange("base", 0, "1"), true)

	network.cut()
	version, inForce := mustAccept(t, client, weightChange("meanwhile", base, "2"), true)
	if inForce < version {
		t.Fatalf("accepted version %d, but in force is only %d", version, inForce)
	}
	if admitted, ok := far.Admit(); ok {
		t.Fatalf("version %d is in force, and the cut-off holder still admits on %d", version, admitted)
	}
	if admitted, ok := near.Admit(); !ok || admitted != version {
		t.Fatalf("the other holder does not act on version %d: %d, %t", version, admitted, ok)
	}
	network.heal()
	eventually(t, "the holder to resume on the new version", func() bool {
		admitted, ok := far.Admit()
		return ok && admitted == version
	})
}

// TestPausedHolderWakesUpHarmless lets a holder's clock jump past its lease, as after a pause.
func TestPausedHolderWakesUpHarmless(t *testing.T) {
	c := startCluster(t)
	clock := &shiftedClock{base: monotonic.Now}
	network := newGate()
	client := c.client(controlclient.Config{Member: gatewayMember("paused"), Dial: network.dial, Clock: clock.now})
	session, err := client.StartSession(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	network.cut() // so that no renewal comes between the jump and the question
	clock.jump(DefaultLeaseDuration)
	if _, ok := session.Admit(); ok {
		t.Fatal("the lease outlived the pause")
	}
	network.heal()
	eventually(t, "a new lease", func() bool {
		_, ok := session.Admit()
		return ok
	})
}

// runningClaim makes owner the holder of a running claim.
func runningClaim(t *testing.T, client *controlclient.Client, key, owner string) {
	t.Helper()
	begin := &wire.ClaimBegin{Key: key, BodyHash: []byte("body"), Owner: owner, Attempt: owner + "/" + key, Ticket: client.Ticket(client.ClaimGroup(key))}
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

// TestDeadOwnersClaimsAreGivenUp kills a member with running claims in every ledger group.
func TestDeadOwnersClaimsAreGivenUp(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	session := c.session("gateway-1", nil)
	keys := []string{"a", "b", "c", "d", "e", "f"}
	for _, key := range keys {
		runningClaim(t, client, key, session.Owner())
	}
	if state := memberState(t, client, "gateway-1"); state != wire.MemberState_MEMBER_STATE_ALIVE {
		t.Fatalf("the member is %s", state)
	}
	session.Close()
	eventually(t, "the member to be gone", func() bool {
		return memberState(t, client, "gateway-1") == wire.MemberState_MEMBER_STATE_GONE
	})
	eventually(t, "its claims to be given up", func() bool {
		for _, key := range keys {
			if claimState(t, client, key) != wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME {
				return false
			}
		}
		return true
	})
}

// TestRestartGivesUpEarlierClaims starts a process again under its name before anyone missed it.
func TestRestartGivesUpEarlierClaims(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	first := c.session("gateway-1", nil)
	runningClaim(t, client, "k", first.Owner())
	first.Close()
	second := c.session("gateway-1", nil)
	if first.Owner() == second.Owner() {
		t.Fatalf("both starts own claims as %s", first.Owner())
	}
	eventually(t, "the earlier start's claim to be given up", func() bool {
		return claimState(t, client, "k") == wire.ClaimState_CLAIM_STATE_UNKNOWN_OUTCOME
	})
	runningClaim(t, client, "later", second.Owner())
}

// TestLeaveIsConfirmed leaves by plan: no lease has to lapse before a change is in force.
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
		t.Fatalf("the member is %s after it left", state)
	}
}

// TestDrainHandsLeadershipOver stops the leader by plan under a session.
func TestDrainHandsLeadershipOver(t *testing.T) {
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
		t.Fatal("the session lost its lease over a planned stop")
	}
	eventually(t, "a renewal by the new leader", func() bool {
		_, ok := session.Admit()
		return ok && session.RenewedBy() == c.peers[c.leader()].Address
	})
}

// TestLastNodesStopAtOnce stops one node and then the other two together: they must not pass their leaderships to
// each other until their time is over.
func TestLastNodesStopAtOnce(t *testing.T) {
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

// TestCatchUpAfterHundredsOfChanges cuts a holder off while the table moves on by 300 versions.
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
