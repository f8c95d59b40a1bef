package controlclient

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestCommandSlowerThanAnAttemptIsAnswered guards against a command that never gets its answer because its commit
// takes longer than one attempt. A commit waits for up to two syncs of the leader, which with syncs of 600 ms is
// longer than an attempt of 1 s. The node answered that the outcome is unknown, and the command was sent again with
// the same timeout until the caller gave up, although it had long been applied.
func TestCommandSlowerThanAnAttemptIsAnswered(t *testing.T) {
	const attempt, commit = 20 * time.Millisecond, 100 * time.Millisecond
	leader := startFake(t, func(request *wire.ExecuteRequest) *wire.ExecuteReply {
		patience := time.Duration(request.TimeoutMillis) * time.Millisecond
		if patience < commit {
			time.Sleep(patience)
			return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_UNKNOWN, Error: "the time is over"}
		}
		time.Sleep(commit)
		return claimReply(17)
	})
	client := newTestClient(t, Config{Addresses: []string{leader.address}, AttemptTimeout: attempt})
	if _, err := client.Execute(testContext(t), 1, claimBegin("k")); err != nil {
		t.Fatalf("after %d attempts: %v", len(leader.requests()), err)
	}
}
