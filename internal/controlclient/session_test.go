package controlclient

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestLeaderlessNodeIsLeftAtOnce attaches a session to a node that knows no leader first: it asks there once.
func TestLeaderlessNodeIsLeftAtOnce(t *testing.T) {
	leaderless, leader := startFake(t, nil), startFake(t, nil)
	leaderless.renew = func(*wire.SessionRequest) *wire.SessionReply { return &wire.SessionReply{LeaderUnknown: true} }
	leader.renew = func(request *wire.SessionRequest) *wire.SessionReply {
		return &wire.SessionReply{Sequence: request.Sequence, Granted: true, LeaseMillis: 1200}
	}
	client := newTestClient(t, Config{Addresses: []string{leaderless.address, leader.address},
		Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
	session, err := client.StartSession(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	leaderless.mutex.Lock()
	defer leaderless.mutex.Unlock()
	if session.RenewedBy() != leader.address || leaderless.renewals != 1 {
		t.Fatalf("the lease is from %s, after %d renewals at the node without a leader", session.RenewedBy(), leaderless.renewals)
	}
}
