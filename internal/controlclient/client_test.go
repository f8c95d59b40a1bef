package controlclient

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTestClient(t *testing.T, config Config) *Client {
	t.Helper()
	client, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func claimReply(index uint64) *wire.ExecuteReply {
	return &wire.ExecuteReply{
		Status: wire.ExecuteStatus_EXECUTE_STATUS_OK,
		Result: &wire.Result{Kind: &wire.Result_Claim{Claim: &wire.ClaimResult{Index: index}}},
	}
}

func claimBegin(key string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{Key: key}}}
}

// TestExecuteFollowsTheLeaderAndLearnsTheTicket guards against asking a follower again after it has named the leader.
func TestExecuteFollowsTheLeaderAndLearnsTheTicket(t *testing.T) {
	leader := startFake(t, func(*wire.ExecuteRequest) *wire.ExecuteReply { return claimReply(17) })
	follower := startFake(t, func(*wire.ExecuteRequest) *wire.ExecuteReply {
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_NOT_LEADER, LeaderAddress: leader.address}
	})
	client := newTestClient(t, Config{Addresses: []string{follower.address}})
	for range 3 {
		if _, err := client.Execute(testContext(t), 1, claimBegin("k")); err != nil {
			t.Fatal(err)
		}
	}
	if asked := len(follower.requests()); asked != 1 {
		t.Errorf("the follower was asked %d times, want once: the leader was not remembered", asked)
	}
	if ticket := client.LearnedIndex(1); ticket != 17 {
		t.Errorf("ticket %d, want 17", ticket)
	}
}

// TestUnknownOutcomeIsResentWithTheSameCommand guards against giving up after an unknown outcome, and against
// resending a different command.
func TestUnknownOutcomeIsResentWithTheSameCommand(t *testing.T) {
	var calls atomic.Int32
	node := startFake(t, func(*wire.ExecuteRequest) *wire.ExecuteReply {
		if calls.Add(1) < 3 {
			return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_UNKNOWN}
		}
		return claimReply(1)
	})
	client := newTestClient(t, Config{Addresses: []string{node.address}})
	if _, err := client.Execute(testContext(t), 1, claimBegin("same")); err != nil {
		t.Fatal(err)
	}
	requests := node.requests()
	if len(requests) != 3 {
		t.Fatalf("the command was sent %d times, want 3", len(requests))
	}
	for _, request := range requests {
		if request.Command.GetClaimBegin().GetKey() != "same" {
			t.Fatalf("a resend carried another command: %v", request.Command)
		}
	}
}

// pausesBeforeGivingUp is the number of waits between attempts after which the caller in
// TestVerdictOfAnAbandonedCommand cancels.
const pausesBeforeGivingUp = 3

// TestVerdictOfAnAbandonedCommand guards against a wrong verdict about a command that is given up. The caller's
// context is cancelled while the client waits between two attempts, so every attempt was answered and the verdict
// depends on the answers alone.
func TestVerdictOfAnAbandonedCommand(t *testing.T) {
	const (
		unknown    = wire.ExecuteStatus_EXECUTE_STATUS_UNKNOWN
		notLeader  = wire.ExecuteStatus_EXECUTE_STATUS_NOT_LEADER
		overloaded = wire.ExecuteStatus_EXECUTE_STATUS_OVERLOADED
		invalid    = wire.ExecuteStatus_EXECUTE_STATUS_INVALID
	)
	cases := map[string]struct {
		statuses []wire.ExecuteStatus // replies to the attempts, in order
		want     verdict.Verdict
	}{
		"unknown":           {[]wire.ExecuteStatus{unknown, unknown, unknown}, verdict.MayHaveRun},
		"not leader":        {[]wire.ExecuteStatus{notLeader, notLeader, notLeader}, verdict.DidNotRun},
		"overloaded":        {[]wire.ExecuteStatus{overloaded, overloaded, overloaded}, verdict.DidNotRun},
		"refused both ways": {[]wire.ExecuteStatus{notLeader, overloaded, notLeader}, verdict.DidNotRun},
		"unknown, then not": {[]wire.ExecuteStatus{unknown, notLeader, overloaded}, verdict.MayHaveRun},
		"invalid":           {[]wire.ExecuteStatus{invalid}, verdict.DidNotRun},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var answered atomic.Int32
			node := startFake(t, func(*wire.ExecuteRequest) *wire.ExecuteReply {
				return &wire.ExecuteReply{Status: test.statuses[answered.Add(1)-1]}
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			pauses := 0
			client := newTestClient(t, Config{Addresses: []string{node.address}, pause: func(ctx context.Context, _ time.Duration) error {
				if pauses++; pauses == pausesBeforeGivingUp {
					cancel()
				}
				return ctx.Err()
			}})
			_, err := client.Execute(ctx, 1, claimBegin("k"))
			if err == nil || verdict.Of(err) != test.want {
				t.Fatalf("got %v, want an error with verdict %s", err, test.want)
			}
			if asked := len(node.requests()); asked != len(test.statuses) {
				t.Fatalf("%d attempts, want %d", asked, len(test.statuses))
			}
		})
	}
}

// TestCommandCancelledBeforeReplyMayHaveRun guards against the verdict DidNotRun for a command that a node has
// received. The context is cancelled while the node holds the command.
func TestCommandCancelledBeforeReplyMayHaveRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	node := startFake(t, func(*wire.ExecuteRequest) *wire.ExecuteReply {
		cancel()
		return nil
	})
	client := newTestClient(t, Config{Addresses: []string{node.address}})
	if _, err := client.Execute(ctx, 1, claimBegin("k")); err == nil || verdict.Of(err) != verdict.MayHaveRun {
		t.Fatalf("got %v, want an error with verdict %s", err, verdict.MayHaveRun)
	}
}

// TestReceivedReplyIsReturnedAfterFailure guards against dropping a reply that arrived at the same time as the
// context ended or the stream broke.
func TestReceivedReplyIsReturnedAfterFailure(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	broken := make(chan struct{})
	close(broken)
	for name, test := range map[string]struct {
		ctx  context.Context
		done chan struct{}
	}{
		"context ended": {ended, make(chan struct{})},
		"stream broken": {context.Background(), broken},
	} {
		t.Run(name, func(t *testing.T) {
			waiting := connection{done: test.done, broken: context.Canceled}
			for range 100 { // a random choice between the two would fail about every second time
				replies := make(chan *wire.ExecuteReply, 1)
				replies <- claimReply(1)
				if reply, err := waiting.awaitReply(test.ctx, replies); reply == nil {
					t.Fatalf("the reply was dropped: %v", err)
				}
			}
		})
	}
}

// TestSilentNodeIsSkipped guards against waiting for a node that accepts requests but never answers.
func TestSilentNodeIsSkipped(t *testing.T) {
	silent := startFake(t, func(*wire.ExecuteRequest) *wire.ExecuteReply { return nil })
	leader := startFake(t, func(*wire.ExecuteRequest) *wire.ExecuteReply { return claimReply(1) })
	client := newTestClient(t, Config{
		Addresses:      []string{silent.address, leader.address},
		AttemptTimeout: 30 * time.Millisecond,
	})
	if _, err := client.Execute(testContext(t), 1, claimBegin("k")); err != nil {
		t.Fatal(err)
	}
	if len(silent.requests()) != 1 || len(leader.requests()) != 1 {
		t.Fatalf("the silent node got %d requests and the other %d, want 1 and 1", len(silent.requests()), len(leader.requests()))
	}
}

// TestUnreachableNodeIsSkipped guards against failing when the first configured node refuses connections.
func TestUnreachableNodeIsSkipped(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	_ = closed.Close()
	leader := startFake(t, func(*wire.ExecuteRequest) *wire.ExecuteReply { return claimReply(1) })
	client := newTestClient(t, Config{Addresses: []string{address, leader.address}})
	if _, err := client.Execute(testContext(t), 1, claimBegin("k")); err != nil {
		t.Fatal(err)
	}
}

// TestSlowRequestDoesNotHoldUpOthers pipelines requests behind one that is never answered. They must be answered all
// the same.
func TestSlowRequestDoesNotHoldUpOthers(t *testing.T) {
	node := startFake(t, func(request *wire.ExecuteRequest) *wire.ExecuteReply {
		if request.Command.GetClaimBegin().GetKey() == "stuck" {
			return nil
		}
		return claimReply(1)
	})
	client := newTestClient(t, Config{Addresses: []string{node.address}})
	stuck, cancel := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	waiting.Go(func() { _, _ = client.Execute(stuck, 1, claimBegin("stuck")) })
	defer waiting.Wait()
	defer cancel()
	for number := range 200 {
		waiting.Go(func() {
			if _, err := client.Execute(testContext(t), 1, claimBegin(fmt.Sprint(number))); err != nil {
				t.Error(err)
			}
		})
	}
	for len(node.requests()) < 201 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
}
