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

// Mutation names one safety step that a run omits, to show that the invariants detect its absence. The steps are
// switched off in the simulated hosts and through the Unsafe settings of the pure packages, which no command exposes.
type Mutation string

// The mutations. NoMutation keeps every safety step.
const (
	NoMutation Mutation = ""
	// AnswerBeforeSync means that a host answers before its disk has synced.
	AnswerBeforeSync Mutation = "answer-before-sync"
	// AcceptTornRecord means that the part of a torn write that reached the disk is accepted.
	AcceptTornRecord Mutation = "accept-torn-record"
	// SkipLeaseCheck means that a gateway dispatches without a lease.
	SkipLeaseCheck Mutation = "skip-lease-check"
	// LeaseCheckedEarly means that the lease is checked when the back end is chosen, not when the request is sent.
	LeaseCheckedEarly Mutation = "lease-checked-early"
	// LeaseFromReply means that a lease starts at the reply, not when its renewal was sent.
	LeaseFromReply Mutation = "lease-from-reply"
	// GrantAnyVersion means that holders that act on an old table version keep their leases.
	GrantAnyVersion Mutation = "grant-any-version"
	// InForceWithoutWaiting means that a version is reported in force while older leases are valid.
	InForceWithoutWaiting Mutation = "in-force-without-waiting"
	// SkipNewLeaderWait means that a new leader does not wait until leases of earlier leaders expire.
	SkipNewLeaderWait Mutation = "skip-new-leader-wait"
	// ReadWithoutBarrier means that a leader answers reads without confirming its leadership with a quorum.
	ReadWithoutBarrier Mutation = "read-without-barrier"
	// VoteUnderOldIdentity means that a node that lost its disk votes under its old identity.
	VoteUnderOldIdentity Mutation = "vote-under-old-identity"
	// IgnorePersistedVote means that a restarted node forgets its vote.
	IgnorePersistedVote Mutation = "ignore-persisted-vote"
	// SnapshotForgetsChangeIDs means that a snapshot drops the recorded results of table changes.
	SnapshotForgetsChangeIDs Mutation = "snapshot-forgets-change-ids"
	// ForgetChangeIDs means that a resent change is evaluated again.
	ForgetChangeIDs Mutation = "forget-change-ids"
	// IgnoreConflicts means that the last writer of a cell wins, whatever version it read.
	IgnoreConflicts Mutation = "ignore-conflicts"
	// ReuseExpiredClaims means that a key may run again once its answer has been dropped.
	ReuseExpiredClaims Mutation = "reuse-expired-claims"
	// GrantTwice means that a running key is granted again.
	GrantTwice Mutation = "grant-twice"
	// IgnoreTickets means that a refusal does not prevent earlier attempts from running.
	IgnoreTickets Mutation = "ignore-tickets"
	// ForgetReleases means that a claim is granted to an attempt that was already released.
	ForgetReleases Mutation = "forget-releases"
	// DispatchBeforeClaim means that a request is sent before its claim is granted.
	DispatchBeforeClaim Mutation = "dispatch-before-claim"
	// TrustLostBegin means that a claim whose answer was lost is treated as granted.
	TrustLostBegin Mutation = "trust-lost-begin"
	// RetryAfterFirstByte means that a request whose outcome is unknown is sent again.
	RetryAfterFirstByte Mutation = "retry-after-first-byte"
	// RefuseWithoutLedger means that "did not run" without a recorded refusal.
	RefuseWithoutLedger Mutation = "refuse-without-ledger"
	// ReuseBusyConnection means that a connection is reused while an answer is outstanding on it.
	ReuseBusyConnection Mutation = "reuse-busy-connection"
	// StopWithoutDrain means that a planned stop does not wait for requests in flight.
	StopWithoutDrain Mutation = "stop-without-drain"
	// IgnoreLeaving means that a gateway sends to back ends that are leaving.
	IgnoreLeaving Mutation = "ignore-leaving"
	// SkipFenceCheck means that an engine executes orders with any fencing token.
	SkipFenceCheck Mutation = "skip-fence-check"
	// TakeOverWithoutFence means that a trainer's ledger is read before it has seen the new owner's fencing token.
	TakeOverWithoutFence Mutation = "take-over-without-fence"
	// HandOverStale means that samples are handed over without checking their staleness.
	HandOverStale Mutation = "hand-over-stale"
	// HandOverUnsealed means that a batch is handed over before it is sealed.
	HandOverUnsealed Mutation = "hand-over-unsealed"
	// BoundFromSeal means that the staleness bound at sealing time is used, not the one in force.
	BoundFromSeal Mutation = "bound-from-seal"
	// ContinueFromWrongOffset means that an interrupted sample resumes at the wrong token.
	ContinueFromWrongOffset Mutation = "continue-from-wrong-offset"
	// VersionAskedBefore means that the engine's version at the start is recorded for the whole sample.
	VersionAskedBefore Mutation = "version-asked-before"
	// SealTwice means that a cursor is sealed again with another batch.
	SealTwice Mutation = "seal-twice"
	// IgnoreFence means that the ledger accepts commands with superseded fencing tokens.
	IgnoreFence Mutation = "ignore-fence"
	// IgnoreEditions means that a discarded sample is accepted into its slot again.
	IgnoreEditions Mutation = "ignore-editions"
)

// Mutations returns all mutations except NoMutation.
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

// withoutChangeIDs removes the recorded results of table changes from a snapshot.
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
