package sim

import (
	"context"
	"runtime"
	"testing"
)

// TestMutationIsNotDetected guards against invariants that do not detect a missing safety step. With one step
// omitted, some invariant must be violated within the stated number of seeds, while the seed that shows it passes
// with every step on.
func TestMutationIsNotDetected(t *testing.T) {
	cases := []struct {
		mutation Mutation
		scenario string
		seeds    int
	}{
		{SkipLeaseCheck, "weights-swap", 4},
		{LeaseCheckedEarly, "weights-swap", 4},
		{LeaseFromReply, "pause-beyond-lease", 24},
		{InForceWithoutWaiting, "weights-swap", 4},
		{ForgetChangeIDs, "weights-swap", 4},
		{IgnoreConflicts, "operators-race", 4},
		{ReuseExpiredClaims, "weights-swap", 4},
		{GrantTwice, "weights-swap", 4},
		{IgnoreTickets, "weights-swap", 8},
		{DispatchBeforeClaim, "weights-swap", 4},
		{TrustLostBegin, "weights-swap", 12},
		{RetryAfterFirstByte, "weights-swap", 4},
		{RefuseWithoutLedger, "weights-swap", 8},
		{ReuseBusyConnection, "weights-swap", 8},
		{SkipFenceCheck, "takeover", 8},
		{HandOverStale, "weights-swap", 4},
		{BoundFromSeal, "weights-swap", 24},
		{ContinueFromWrongOffset, "weights-swap", 8},
		{VersionAskedBefore, "weights-swap", 4},
		{AnswerBeforeSync, "disk", 24},
		{AcceptTornRecord, "torn-writes", 8},
		{ReadWithoutBarrier, "restart-after-hundreds-of-changes", 8},
		{SnapshotForgetsChangeIDs, "operators-race", 4},
		{HandOverUnsealed, "takeover", 24},
		{IgnoreLeaving, "rolling-stop", 4},
		{StopWithoutDrain, "rolling-stop", 4},
		{SkipNewLeaderWait, "leader-moves", 4},
		{VoteUnderOldIdentity, "empty-disks", 12},
	}
	if testing.Short() {
		cases = cases[:4]
	}
	for _, one := range cases {
		report := RunBatch(context.Background(), Options{Scenario: shortScenario(t, one.scenario), Seeds: one.seeds,
			Parallel: runtime.GOMAXPROCS(0), Mutation: one.mutation, StopAtViolation: true})
		if len(report.Violations) == 0 {
			t.Errorf("%s violated no invariant in %d seeds of %s, expected a violation", one.mutation, one.seeds, one.scenario)
			continue
		}
		first := report.Violations[0]
		t.Logf("%-28s %-16s seed %2d: %s", one.mutation, one.scenario, first.Seed, first.Problem)
		if plain := Run(shortScenario(t, one.scenario), first.Seed, NoMutation, false); plain.Violation != "" {
			t.Errorf("seed %d of %s violates an invariant without a mutation too, expected none: %s", first.Seed, one.scenario, plain.Violation)
		}
	}
}
