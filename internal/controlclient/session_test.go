package controlclient

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestNodeWithoutLeaderIsAskedOnce guards against polling a node that knows no leader. The session starts with such a
// node and must get its lease from the other one after a single renewal there.
func TestNodeWithoutLeaderIsAskedOnce(t *testing.T) {
	leaderless, leader := startFake(t, nil), startFake(t, nil)
	leaderless.renew = func(*wire.SessionRequest) *wire.SessionReply { return &wire.SessionReply{LeaderUnknown: true} }
	ctx := testContext(t)
	leader.renew = func(request *wire.SessionRequest) *wire.SessionReply {
		for !leaderless.hasStreams(1) && ctx.Err() == nil { // both are asked at once; the leader answers second
			time.Sleep(time.Millisecond)
		}
		return grantReply(request)
	}
	client := newTestClient(t, Config{Addresses: []string{leaderless.address, leader.address},
		Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
	session, err := client.StartSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	leaderless.mutex.Lock()
	defer leaderless.mutex.Unlock()
	if session.RenewedBy() != leader.address || leaderless.renewals != 1 {
		t.Fatalf("the lease is from %s after %d renewals at the node without a leader, want it from the leader after 1 renewal", session.RenewedBy(), leaderless.renewals)
	}
}

func grantReply(request *wire.SessionRequest) *wire.SessionReply {
	return &wire.SessionReply{Sequence: request.Sequence, Granted: true, LeaseMillis: 1200}
}

// TestSessionWaitsForLeaderAtAllNodes guards against waiting for a leader at a single node. While no node knows a
// leader the session waits at all of them. An invitation by one node, or its naming of another as the leader, must
// bring the lease although the remaining nodes never learn of it.
func TestSessionWaitsForLeaderAtAllNodes(t *testing.T) {
	for _, wins := range []string{"the node itself", "another node"} {
		t.Run(wins, func(t *testing.T) {
			uninformed, node, other := startFake(t, nil), startFake(t, nil), startFake(t, nil)
			var elected atomic.Bool
			uninformed.renew = func(*wire.SessionRequest) *wire.SessionReply { return &wire.SessionReply{LeaderUnknown: true} }
			node.renew = func(request *wire.SessionRequest) *wire.SessionReply {
				if !elected.Load() {
					return &wire.SessionReply{LeaderUnknown: true}
				}
				return grantReply(request)
			}
			other.renew = grantReply
			go func() {
				for !uninformed.hasStreams(1) || !node.hasStreams(1) {
					time.Sleep(time.Millisecond)
				}
				reply := &wire.SessionReply{LeaderAddress: other.address}
				if wins == "the node itself" {
					elected.Store(true)
					reply = &wire.SessionReply{}
				}
				for t.Context().Err() == nil { // a stream that is being closed may consume a reply
					select {
					case node.unsolicited <- reply:
					case <-t.Context().Done():
					}
				}
			}()
			client := newTestClient(t, Config{Addresses: []string{uninformed.address, node.address}, leaderWait: time.Hour,
				Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
			session, err := client.StartSession(testContext(t))
			if err != nil {
				t.Fatal(err)
			}
			defer session.Close()
			want := node.address
			if wins == "another node" {
				want = other.address
			}
			if session.RenewedBy() != want {
				t.Fatalf("the lease is from %s, want %s", session.RenewedBy(), want)
			}
			if uninformed.hasStreams(2) {
				t.Fatal("a node that knows no leader was asked again while the session waited at it")
			}
		})
	}
}

// TestPackedTableIsRead checks that a session announces that it accepts packed updates and applies one that it gets.
func TestPackedTableIsRead(t *testing.T) {
	packed, err := wire.PackUpdate(&wire.TableUpdate{ToVersion: 3, Rows: []*wire.TableRow{{Name: "chat",
		Cells: []*wire.TableCell{{Column: table.ColumnKind, Value: string(table.Pool)}}}}})
	if err != nil {
		t.Fatal(err)
	}
	leader := startFake(t, nil)
	leader.renew = func(request *wire.SessionRequest) *wire.SessionReply {
		reply := grantReply(request)
		if request.AcceptsPacked && request.ActedVersion == 0 {
			reply.PackedUpdate = packed
		}
		return reply
	}
	client := newTestClient(t, Config{Addresses: []string{leader.address},
		Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
	ctx := testContext(t)
	session, err := client.StartSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	for session.View().Pool("chat") == nil {
		if ctx.Err() != nil {
			t.Fatal("the packed table was not applied")
		}
		time.Sleep(time.Millisecond)
	}
	if version := session.View().Version(); version != 3 {
		t.Fatalf("the view is at version %d, want 3", version)
	}
}

// TestInvalidPackedTableEndsTheStream checks that a session leaves a node that sends an unreadable update for another
// one.
func TestInvalidPackedTableEndsTheStream(t *testing.T) {
	broken, leader := startFake(t, nil), startFake(t, nil)
	broken.renew = func(request *wire.SessionRequest) *wire.SessionReply {
		return &wire.SessionReply{Sequence: request.Sequence, PackedUpdate: []byte("no table")}
	}
	leader.renew = grantReply
	client := newTestClient(t, Config{Addresses: []string{broken.address, leader.address},
		Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
	client.setLeader(ControlGroup, broken.address)
	session, err := client.StartSession(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	if session.RenewedBy() != leader.address {
		t.Fatalf("the lease is from %s, want it from the present leader", session.RenewedBy())
	}
}

// TestManyInvitationsAreAnsweredOnce guards against one renewal per invitation. A node may invite a session many
// times before it reads a renewal. The unanswered renewals then exceeded what the session remembers, and no grant of
// a node that went on inviting was accepted.
func TestManyInvitationsAreAnsweredOnce(t *testing.T) {
	leader := startFake(t, nil)
	leader.renew = grantReply
	leader.invitations = 5 * sentHistory
	client := newTestClient(t, Config{Addresses: []string{leader.address},
		Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
	client.setLeader(ControlGroup, leader.address)
	session, err := client.StartSession(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if leader.renewals > sentHistory {
		t.Fatalf("%d invitations led to %d renewals before the first grant was accepted", leader.invitations, leader.renewals)
	}
}

// TestFollowersNamingALostLeaderAreIgnored guards against following a stale leader address. After the stream to the
// leader breaks, the other nodes still name it for a while. The session must wait until one of them names the next
// leader.
func TestFollowersNamingALostLeaderAreIgnored(t *testing.T) {
	first, follower, second := startFake(t, nil), startFake(t, nil), startFake(t, nil)
	first.renew, second.renew = grantReply, grantReply
	follower.countDelay = 20 * time.Millisecond // the delay of a busy machine, which the test must tolerate
	follower.renew = func(*wire.SessionRequest) *wire.SessionReply {
		return &wire.SessionReply{LeaderAddress: first.address}
	}
	client := newTestClient(t, Config{Addresses: []string{first.address, follower.address}, leaderWait: time.Hour,
		Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
	client.setLeader(ControlGroup, first.address) // otherwise the follower is asked at the start too and may be counted late
	ctx := testContext(t)
	session, err := client.StartSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	before := follower.countStreams()
	first.stop()
	for follower.countStreams() == before {
		time.Sleep(time.Millisecond)
	}
	follower.unsolicited <- &wire.SessionReply{LeaderAddress: second.address}
	for session.RenewedBy() != second.address {
		if ctx.Err() != nil {
			t.Fatalf("the lease is from %s, want it from the present leader", session.RenewedBy())
		}
		time.Sleep(time.Millisecond)
	}
	if asked := follower.countStreams() - before; asked != 1 {
		t.Fatalf("the follower was asked %d times, want 1", asked)
	}
}

// TestSupersededStartTakesAHigherIncarnation checks that a process that was never granted a lease takes an
// incarnation above the one that the leader names, whichever stream reports it, and that a process that held a lease
// keeps its own.
func TestSupersededStartTakesAHigherIncarnation(t *testing.T) {
	const held, later = 5, 1 << 40
	leader := startFake(t, nil)
	var supersededBy atomic.Uint64
	supersededBy.Store(held)
	leader.renew = func(request *wire.SessionRequest) *wire.SessionReply {
		if by := supersededBy.Load(); request.Member.Incarnation <= by {
			return &wire.SessionReply{Sequence: request.Sequence, SupersededBy: by}
		}
		return grantReply(request)
	}
	client := newTestClient(t, Config{Addresses: []string{leader.address}, leaderWait: time.Hour,
		Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
	ctx := testContext(t)
	session, err := client.StartSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	owner := session.Owner()
	if owner == "g#1" {
		t.Fatalf("the owner is still %s, want a higher incarnation", owner)
	}
	supersededBy.Store(later)
	for {
		if _, holds := session.Admit(); !holds {
			break
		}
		if ctx.Err() != nil {
			t.Fatal("a superseded process still holds its lease")
		}
		time.Sleep(time.Millisecond)
	}
	if session.Owner() != owner {
		t.Fatalf("a process that held a lease changed its owner name to %s", session.Owner())
	}
}
