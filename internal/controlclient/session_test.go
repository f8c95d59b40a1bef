package controlclient

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestLeaderlessNodeIsLeftAtOnce attaches a session to a node that knows no leader first: it asks there once.
func TestLeaderlessNodeIsLeftAtOnce(t *testing.T) {
	leaderless, leader := startFake(t, nil), startFake(t, nil)
	leaderless.renew = func(*wire.SessionRequest) *wire.SessionReply { return &wire.SessionReply{LeaderUnknown: true} }
	ctx := testContext(t)
	leader.renew = func(request *wire.SessionRequest) *wire.SessionReply {
		for !leaderless.hasStreams(1) && ctx.Err() == nil { // both are asked at once; this one answers second
			time.Sleep(time.Millisecond)
		}
		return granted(request)
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
		t.Fatalf("the lease is from %s, after %d renewals at the node without a leader", session.RenewedBy(), leaderless.renewals)
	}
}

func granted(request *wire.SessionRequest) *wire.SessionReply {
	return &wire.SessionReply{Sequence: request.Sequence, Granted: true, LeaseMillis: 1200}
}

// TestLeaderIsHeardOfWhereverItIsKnownFirst: while no node knows a leader the session waits at all of them; an invitation
// of one, or its word of another one, brings the lease although the others never hear of it.
func TestLeaderIsHeardOfWhereverItIsKnownFirst(t *testing.T) {
	for _, wins := range []string{"the node itself", "another node"} {
		t.Run(wins, func(t *testing.T) {
			ignorant, node, other := startFake(t, nil), startFake(t, nil), startFake(t, nil)
			var elected atomic.Bool
			ignorant.renew = func(*wire.SessionRequest) *wire.SessionReply { return &wire.SessionReply{LeaderUnknown: true} }
			node.renew = func(request *wire.SessionRequest) *wire.SessionReply {
				if !elected.Load() {
					return &wire.SessionReply{LeaderUnknown: true}
				}
				return granted(request)
			}
			other.renew = granted
			go func() {
				for !ignorant.hasStreams(1) || !node.hasStreams(1) {
					time.Sleep(time.Millisecond)
				}
				reply := &wire.SessionReply{LeaderAddress: other.address}
				if wins == "the node itself" {
					elected.Store(true)
					reply = &wire.SessionReply{}
				}
				for t.Context().Err() == nil { // a stream that is being left may take one
					select {
					case node.push <- reply:
					case <-t.Context().Done():
					}
				}
			}()
			client := newTestClient(t, Config{Addresses: []string{ignorant.address, node.address}, awaitTime: time.Hour,
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
				t.Fatalf("the lease is from %s, not %s", session.RenewedBy(), want)
			}
			if ignorant.hasStreams(2) {
				t.Fatal("a node that knows no leader was asked again although it was waited at")
			}
		})
	}
}

// TestPackedTableIsRead: a session says that it reads packed updates, and has the table before it is granted a lease.
func TestPackedTableIsRead(t *testing.T) {
	packed, err := wire.PackUpdate(&wire.TableUpdate{ToVersion: 3, Rows: []*wire.TableRow{{Name: "chat",
		Cells: []*wire.TableCell{{Column: table.ColumnKind, Value: string(table.Pool)}}}}})
	if err != nil {
		t.Fatal(err)
	}
	leader := startFake(t, nil)
	leader.renew = func(request *wire.SessionRequest) *wire.SessionReply {
		reply := granted(request)
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
			t.Fatal("the packed table was not read")
		}
		time.Sleep(time.Millisecond)
	}
	if version := session.View().Version(); version != 3 {
		t.Fatalf("the view is at version %d", version)
	}
}

// TestSpoiledPackedTableEndsTheStream: a node that sends what can't be read is left for another one.
func TestSpoiledPackedTableEndsTheStream(t *testing.T) {
	broken, leader := startFake(t, nil), startFake(t, nil)
	broken.renew = func(request *wire.SessionRequest) *wire.SessionReply {
		return &wire.SessionReply{Sequence: request.Sequence, PackedUpdate: []byte("no table")}
	}
	leader.renew = granted
	client := newTestClient(t, Config{Addresses: []string{broken.address, leader.address},
		Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
	client.setLeader(ControlGroup, broken.address)
	session, err := client.StartSession(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	if session.RenewedBy() != leader.address {
		t.Fatalf("the lease is from %s", session.RenewedBy())
	}
}

// TestManyInvitationsAreAnsweredOnce: a node invites a session many times before it reads a renewal. A renewal for each
// left more unanswered than the session remembers, and a node that went on inviting never had a grant counted.
func TestManyInvitationsAreAnsweredOnce(t *testing.T) {
	leader := startFake(t, nil)
	leader.renew = granted
	leader.greet = 5 * sentMemory
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
	if leader.renewals > sentMemory {
		t.Fatalf("%d invitations led to %d renewals until the first grant counted", leader.greet, leader.renewals)
	}
}

// TestWordOfALostLeaderDoesNotCount: when the leader's stream breaks, the other nodes still name it for a while; the session
// waits until one of them names the next leader.
func TestWordOfALostLeaderDoesNotCount(t *testing.T) {
	first, follower, second := startFake(t, nil), startFake(t, nil), startFake(t, nil)
	first.renew, second.renew = granted, granted
	follower.late = 20 * time.Millisecond // a busy machine's delay, beside which the test must hold
	follower.renew = func(*wire.SessionRequest) *wire.SessionReply {
		return &wire.SessionReply{LeaderAddress: first.address}
	}
	client := newTestClient(t, Config{Addresses: []string{first.address, follower.address}, awaitTime: time.Hour,
		Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
	client.setLeader(ControlGroup, first.address) // else the start asks the follower too, which may count that late
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
	follower.push <- &wire.SessionReply{LeaderAddress: second.address}
	for session.RenewedBy() != second.address {
		if ctx.Err() != nil {
			t.Fatalf("the lease is from %s", session.RenewedBy())
		}
		time.Sleep(time.Millisecond)
	}
	if asked := follower.countStreams() - before; asked != 1 {
		t.Fatalf("the follower was asked %d times", asked)
	}
}

// TestOutrankedStartTakesAHigherNumber: a start that was never granted a lease takes a number above the one that the leader names, wherever it
// hears of that; one that held a lease keeps its own.
func TestOutrankedStartTakesAHigherNumber(t *testing.T) {
	const held, later = 5, 1 << 40
	leader := startFake(t, nil)
	var outranks atomic.Uint64
	outranks.Store(held)
	leader.renew = func(request *wire.SessionRequest) *wire.SessionReply {
		if by := outranks.Load(); request.Member.Incarnation <= by {
			return &wire.SessionReply{Sequence: request.Sequence, SupersededBy: by}
		}
		return granted(request)
	}
	client := newTestClient(t, Config{Addresses: []string{leader.address}, awaitTime: time.Hour,
		Member: &wire.Member{Name: "g", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Incarnation: 1}})
	ctx := testContext(t)
	session, err := client.StartSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	owner := session.Owner()
	if owner == "g#1" {
		t.Fatalf("the owner is %s", owner)
	}
	outranks.Store(later)
	for {
		if _, holds := session.Admit(); !holds {
			break
		}
		if ctx.Err() != nil {
			t.Fatal("the lease of a start that is outranked goes on")
		}
		time.Sleep(time.Millisecond)
	}
	if session.Owner() != owner {
		t.Fatalf("a start that held a lease became %s", session.Owner())
	}
}
