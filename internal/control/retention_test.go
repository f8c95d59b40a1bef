package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/claim"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// claimOnce begins and finishes a claim, and returns the state that the begin command found.
func claimOnce(ctx context.Context, t *testing.T, client *controlclient.Client, key string) wire.ClaimState {
	t.Helper()
	group, attempt := client.ClaimGroup(key), fmt.Sprintf("%s#%d", key, time.Now().UnixNano())
	begin := &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{Key: key, BodyHash: []byte("hash"), Owner: "gateway#1",
		Attempt: attempt, Ticket: client.LearnedIndex(group), NowUnixMillis: time.Now().UnixMilli()}}}
	result, err := client.Execute(ctx, group, begin)
	if err != nil {
		t.Fatal(err)
	}
	state := result.GetClaim().GetState()
	if state != wire.ClaimState_CLAIM_STATE_GRANTED {
		return state
	}
	finish := &wire.Command{Kind: &wire.Command_ClaimFinish{ClaimFinish: &wire.ClaimFinish{Key: key, Attempt: attempt,
		Outcome: wire.ClaimState_CLAIM_STATE_DONE, Answer: &wire.Answer{Status: 200}, NowUnixMillis: time.Now().UnixMilli()}}}
	if _, err := client.Execute(ctx, group, finish); err != nil {
		t.Fatal(err)
	}
	return state
}

func countClaims(ctx context.Context, t *testing.T, client *controlclient.Client) (held uint64) {
	t.Helper()
	for group := uint32(1); int(group) <= client.LedgerGroups(); group++ {
		view, err := client.Query(ctx, group, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
		if err != nil {
			t.Fatal(err)
		}
		held += view.GetStatus().GetClaims()
	}
	return held
}

// isValidStateAfter reports whether the key of a finished claim may be in a state after the time passed since its
// claim. The key must be known until its retention ends, and its answer until the retention of answers ends.
func isValidStateAfter(passed time.Duration, state wire.ClaimState, kept claim.Retention) bool {
	switch state {
	case wire.ClaimState_CLAIM_STATE_DONE:
		return true
	case wire.ClaimState_CLAIM_STATE_ANSWER_EXPIRED:
		return passed >= kept.Answers
	case wire.ClaimState_CLAIM_STATE_GRANTED:
		return passed >= kept.Keys+kept.Attempts
	}
	return false
}

// TestExpiredClaimsAreDropped claims keys until the groups drop the first ones. No key may be dropped before its
// retention ends.
func TestExpiredClaimsAreDropped(t *testing.T) {
	if testing.Short() {
		t.Skip("claims for several seconds")
	}
	kept := claim.Retention{Answers: 400 * time.Millisecond, Keys: time.Second, Attempts: 500 * time.Millisecond}
	c := startConfiguredCluster(t, func(config *Config) { config.Retention = kept })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	client := c.client(controlclient.Config{})
	first, made := countClaims(ctx, t, client), uint64(0)
	for dropped := false; !dropped; {
		key, began := fmt.Sprint("key-", made), time.Now()
		if state := claimOnce(ctx, t, client, key); state != wire.ClaimState_CLAIM_STATE_GRANTED {
			t.Fatalf("a new key is %v, want GRANTED", state)
		}
		if state, passed := claimOnce(ctx, t, client, key), time.Since(began); !isValidStateAfter(passed, state, kept) {
			t.Fatalf("a key claimed %v ago is %v, which its retention does not allow yet", passed, state)
		}
		made++
		dropped = countClaims(ctx, t, client) < first+made
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%d of %d keys are held", countClaims(ctx, t, client), made)
}

// TestIdleGroupIsNotExpired guards against an idle group whose log grows with expire commands. A group without new
// claims must be left alone once its last answers have expired.
func TestIdleGroupIsNotExpired(t *testing.T) {
	now := time.Hour
	server := &Server{config: Config{LedgerGroups: 1, Retention: claim.Retention{Answers: time.Minute}, Clock: func() time.Duration { return now }}}
	r := newRetention(server)
	if r.mayHaveExpiring(1, time.Second) {
		t.Error("a group without claims may have claims to expire")
	}
	r.applied(1, &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{}}})
	if now += time.Minute; !r.mayHaveExpiring(1, time.Second) {
		t.Error("a group whose answers expire now has no claims to expire")
	}
	if now += time.Minute; r.mayHaveExpiring(1, time.Second) {
		t.Error("a group that was idle since its last answer expired may have claims to expire")
	}
}
