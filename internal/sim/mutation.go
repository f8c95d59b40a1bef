package sim

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/claim"
	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Mutation names one safety step that a run leaves out, to show that the invariants find it. The switches
// are in the simulated hosts and in the Unsafe settings of the pure packages, which no command offers.
type Mutation string

// The mutations. The empty one leaves everything on.
const (
	NoMutation               Mutation = ""
	AnswerBeforeSync         Mutation = "answer-before-sync"          // a host does not wait for its disk
	AcceptTornRecord         Mutation = "accept-torn-record"          // what reached the disk of a torn write counts
	SkipLeaseCheck           Mutation = "skip-lease-check"            // a gateway dispatches without a lease
	LeaseCheckedEarly        Mutation = "lease-checked-early"         // the lease is checked at the choice, not at the dispatch
	LeaseFromReply           Mutation = "lease-from-reply"            // a lease counts from the reply, not from the renewal
	GrantAnyVersion          Mutation = "grant-any-version"           // holders of old tables keep their leases
	InForceWithoutWaiting    Mutation = "in-force-without-waiting"    // "in force" without asking for leases
	SkipNewLeaderWait        Mutation = "skip-new-leader-wait"        // a new leader does not wait out old leases
	ReadWithoutBarrier       Mutation = "read-without-barrier"        // a leader answers reads without asking a quorum
	VoteUnderOldIdentity     Mutation = "vote-under-old-identity"     // a node that lost its disk votes as before
	IgnorePersistedVote      Mutation = "ignore-persisted-vote"       // a restarted node forgets its vote
	SnapshotForgetsChangeIDs Mutation = "snapshot-forgets-change-ids" // a snapshot drops the answers to changes
	ForgetChangeIDs          Mutation = "forget-change-ids"           // a resent change is judged anew
	IgnoreConflicts          Mutation = "ignore-conflicts"            // the last writer of a cell wins
	ReuseExpiredClaims       Mutation = "reuse-expired-claims"        // a key runs again once its answer is dropped
	GrantTwice               Mutation = "grant-twice"                 // a running key is granted again
	IgnoreTickets            Mutation = "ignore-tickets"              // a refusal does not stop earlier attempts
	ForgetReleases           Mutation = "forget-releases"             // a released attempt is granted later
	DispatchBeforeClaim      Mutation = "dispatch-before-claim"       // a request is sent before its claim is granted
	TrustLostBegin           Mutation = "trust-lost-begin"            // a lost answer to a claim counts as granted
	RetryAfterFirstByte      Mutation = "retry-after-first-byte"      // a request of unknown fate is sent again
	RefuseWithoutLedger      Mutation = "refuse-without-ledger"       // "did not run" without a recorded refusal
	ReuseBusyConnection      Mutation = "reuse-busy-connection"       // a connection is reused though an answer is due
	StopWithoutDrain         Mutation = "stop-without-drain"          // a planned stop does not wait for what is in flight
	IgnoreLeaving            Mutation = "ignore-leaving"              // a gateway sends to back ends that leave
	SkipFenceCheck           Mutation = "skip-fence-check"            // an engine obeys any owner
	TakeOverWithoutFence     Mutation = "take-over-without-fence"     // the ledger is read before it knows the new owner
	HandOverStale            Mutation = "hand-over-stale"             // samples are handed over without a look at their age
	HandOverUnsealed         Mutation = "hand-over-unsealed"          // a batch is handed over before it is sealed
	BoundFromSeal            Mutation = "bound-from-seal"             // the bound at the sealing counts, not the one in force
	ContinueFromWrongOffset  Mutation = "continue-from-wrong-offset"  // a cut sample goes on at another token
	VersionAskedBefore       Mutation = "version-asked-before"        // the version at the start counts for the whole sample
	SealTwice                Mutation = "seal-twice"                  // a cursor is used for another batch
	IgnoreFence              Mutation = "ignore-fence"                // the ledger takes commands of deposed owners
	IgnoreEditions           Mutation = "ignore-editions"             // a discarded sample fills its slot again
)

// Mutations lists all mutations.
func Mutations() []Mutation {
	return []Mutation{AnswerBeforeSync, AcceptTornRecord, SkipLeaseCheck, LeaseCheckedEarly, LeaseFromReply, GrantAnyVersion,
		InForceWithoutWaiting, SkipNewLeaderWait, ReadWithoutBarrier, VoteUnderOldIdentity, IgnorePersistedVote,
		SnapshotForgetsChangeIDs, ForgetChangeIDs, IgnoreConflicts, ReuseExpiredClaims, GrantTwice, IgnoreTickets,
		ForgetReleases, DispatchBeforeClaim, TrustLostBegin, RetryAfterFirstByte, RefuseWithoutLedger, ReuseBusyConnection,
		StopWithoutDrain, IgnoreLeaving, SkipFenceCheck, TakeOverWithoutFence, HandOverStale, HandOverUnsealed, BoundFromSeal, ContinueFromWrongOffset,
		VersionAskedBefore, SealTwice, IgnoreFence, IgnoreEditions}
}

func (m Mutation) stateUnsafe() state.Unsafe {
	return state.Unsafe{
		Table: table.Unsafe{ForgetChangeIDs: m == ForgetChangeIDs, IgnoreConflicts: m == IgnoreConflicts},
		Claim: claim.Unsafe{GrantTwice: m == GrantTwice, IgnoreTickets: m == IgnoreTickets,
			ForgetReleases: m == ForgetReleases, ReuseExpiredClaims: m == ReuseExpiredClaims},
		Ledger: ledger.Unsafe{SealTwice: m == SealTwice, IgnoreFence: m == IgnoreFence, IgnoreEditions: m == IgnoreEditions},
	}
}

func (m Mutation) raftUnsafe() raft.Unsafe {
	return raft.Unsafe{IgnorePersistedVote: m == IgnorePersistedVote}
}

func (m Mutation) leaseUnsafe() lease.Unsafe {
	return lease.Unsafe{SkipLeaseCheck: m == SkipLeaseCheck, SkipNewLeaderWait: m == SkipNewLeaderWait,
		GrantAnyVersion: m == GrantAnyVersion}
}

func (m Mutation) dispatchUnsafe() dispatch.Unsafe {
	return dispatch.Unsafe{DispatchBeforeClaim: m == DispatchBeforeClaim, TrustLostBegin: m == TrustLostBegin,
		RetryAfterFirstByte: m == RetryAfterFirstByte, RefuseWithoutLedger: m == RefuseWithoutLedger}
}

// withoutChangeIDs drops the answers to changes from a snapshot.
func withoutChangeIDs(data []byte) []byte {
	snapshot := &wire.MachineSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil || snapshot.Table == nil {
		return data
	}
	snapshot.Table.Changes = nil
	stripped, err := proto.Marshal(snapshot)
	if err != nil {
		return data
	}
	return stripped
}
