// Package raft implements the Raft consensus protocol as a pure state machine: messages, ticks and
// proposals go in; messages to send, state to persist and entries to apply come out. It has no clock,
// no goroutine and no I/O, so the code that runs in a server runs unchanged under the simulator.
//
// The driver's contract, per group:
//
//  1. Call Tick, Step, Propose and the like; they never block.
//  2. Take Ready. Persist its Snapshot, Entries and HardState in one synced write, if MustSync.
//  3. Only after that write is synced, send Messages. EarlyMessages may be sent before the write: they
//     are a leader's appends and heartbeats, which claim nothing about the sender's own disk.
//  4. Apply Committed in order, then call Advance with the same Ready. The entries that Durable returns may be applied
//     before the write.
//
// While the write is in progress, the driver calls Urgent and does at once what it returns: a leader's heartbeats, the
// replies to them and the reads that they confirm don't wait for disks. The driver must have applied the entries of
// Durable before it applies those of Urgent.
//
// Ready and Advance alternate strictly; Tick, Step, Propose and the like may come between them. A node's
// own copy of an entry, and its own vote, count only from Advance on. Reads that wait when a leader
// steps down get no ReadState: the driver must fail them when Status no longer reports the role Leader.
//
// The log since the last compaction is held in memory. On a restart New receives it from the driver's storage.
package raft

import (
	"math/rand"

	"github.com/tamarindring/tamarindring/internal/statepart"
)

// None is the zero ID, which no node has.
const None uint64 = 0

// EntryKind is the kind of a log entry.
type EntryKind uint32

// The kinds of entry.
const (
	EntryCommand       EntryKind = iota // a command of the state machine; a new leader's first entry has no data
	EntryConfiguration                  // an encoded ConfigurationChange
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Configuration is the group's membership. A node is in at most one of the two lists.
type Configuration struct {
	Voters   []uint64
	Learners []uint64
}

// ChangeKind is the kind of a ConfigurationChange. Changes are made one at a time: a leader rejects a second change
// until the first is applied, and any change before an entry of its own term is committed.
type ChangeKind uint32

// The kinds of configuration change.
const (
	AddLearner ChangeKind = iota
	PromoteLearner
	RemoveNode
)

// ConfigurationChange adds, promotes or removes one node.
type ConfigurationChange struct {
	Kind ChangeKind
	Node uint64
	// Result is the whole configuration after the change. The leader fills it in, because a learner that starts with
	// an empty log has no configuration to apply the change to.
	Result Configuration
}

// HardState is the part of a node's state that must be persisted before any message that depends on it is sent.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Snapshot is the state machine's state at Index, with the configuration in force there.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          statepart.Parts
}

// MessageKind is the kind of a protocol message.
type MessageKind uint32

// The protocol messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
	MessageTimeoutNow // leadership transfer: campaign at once
)

// Message is a protocol message between two nodes of a group. Kind determines which fields are used.
type Message struct {
	Kind       MessageKind
	To         uint64
	From       uint64
	Term       uint64
	LogTerm    uint64 // term of the entry at Index, for appends and votes
	Index      uint64 // entry before Entries; in votes the last index; in replies the match index or the rejected one
	Entries    []Entry
	Commit     uint64
	Snapshot   *Snapshot
	Reject     bool   // in heartbeat replies: the replies to earlier messages still wait for the disk
	RejectHint uint64 // highest index that may match after a rejected append; LogTerm is that entry's term
	// Context is the read round in heartbeats and their replies, transferContext or 0 in vote requests, and the reason
	// of a rejection in their replies.
	Context uint64
}

// Role is a node's role in the current term.
type Role uint32

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config holds a node's fixed parameters.
type Config struct {
	// ID is this node's identity in the group. IDs are never reused: a node whose disk was lost, or was restored to
	// an older state, joins again as a learner with a new ID.
	ID uint64
	// ElectionTicks is the election timeout: the number of ticks without a leader's message after which a follower
	// requests pre-votes. The timeout in use is drawn from [ElectionTicks, 2*ElectionTicks). It is a fifth of that
	// until the node sees its first leader since its start. It doubles with each term that passes without a leader, up
	// to eight times ElectionTicks, and its timer stops while the node's own vote is being synced. Default 10.
	ElectionTicks int
	// CampaignDelayTicks is added to this node's own randomized election timeout and to no other timeout. The node
	// votes like any other, but other nodes are more likely to become leader. Default 0.
	CampaignDelayTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats. Default 1.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entry data of one append message, which holds at least one entry. Default 1 MiB.
	MaxAppendBytes int
	// MaxInflightAppends bounds unacknowledged appends per follower (pipelining). Default 64.
	MaxInflightAppends int
	// MaxUncommittedBytes bounds the data of proposals that are not yet committed. Propose returns ErrOverloaded for a
	// proposal that would exceed it, unless no other is uncommitted. Default 64 MiB.
	MaxUncommittedBytes int
	// RetainedEntries is the number of entries before a compaction's index that stay in memory, so that
	// a follower that is slightly behind needs no snapshot. Default 1000.
	RetainedEntries int
	// RetainedBytes bounds the data of these entries. Default 16 MiB.
	RetainedBytes int
	// TransferRetainedBytes bounds the data of the entries that stay in memory for members that are being sent a
	// snapshot. A member whose snapshot takes longer to arrive than a group needs to produce these entries is sent
	// another snapshot. Default four times RetainedBytes.
	TransferRetainedBytes int
	// SnapshotRetryTicks is the number of ticks without progress after which a snapshot that was not acknowledged is
	// sent again, see ReportSnapshotProgress. It doubles with each further try, up to maxSnapshotRetryDoublings times.
	// Default five times ElectionTicks.
	SnapshotRetryTicks int
	// Random draws election timeouts. It is required, so that a simulated run can be reproduced.
	Random *rand.Rand
	// Unsafe disables safety steps, for tests that show that the checks find faults. It is zero otherwise.
	Unsafe Unsafe
}

// Unsafe disables single safety steps of the protocol. It is for tests that show that the checks find
// faults: with any field set, committed entries can be lost.
type Unsafe struct {
	// CommitOldTermEntries lets a leader commit entries of earlier terms by counting their copies.
	CommitOldTermEntries bool
	// IgnorePersistedVote makes a restarted node forget whom it voted for.
	IgnorePersistedVote bool
	// SkipLogUpToDateCheck grants votes to candidates whose log is behind.
	SkipLogUpToDateCheck bool
	// ReadWithoutQuorum serves reads without confirming the leadership with a quorum.
	ReadWithoutQuorum bool
	// CountUnsyncedSelf counts a leader's own copy of an entry before it is synced.
	CountUnsyncedSelf bool
	// ReplyBeforeSync sends votes and acknowledgements before the state that they depend on is synced.
	ReplyBeforeSync bool
	// ChangeWithoutOwnCommit accepts a configuration change before the leader has committed an entry of
	// its own term.
	ChangeWithoutOwnCommit bool
	// ConcurrentChanges accepts a configuration change while another is pending.
	ConcurrentChanges bool
	// CountLearners counts learners as voters when entries are committed.
	CountLearners bool
	// SkipAppendMatchCheck appends a leader's entries without comparing the entry before them.
	SkipAppendMatchCheck bool
}

// Restored is the state that a node reads from its disk at its start. To start a new group, set only the
// Configuration in Snapshot. A learner that joins a group starts with the zero value.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // contiguous, the first at Snapshot.Index+1
}

// ReadState is the answer to ReadIndex(Context): once the state machine has applied the log up to Index, it includes
// everything that was committed before that call.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the work that a node hands to its driver.
type Ready struct {
	HardState     HardState
	MustSync      bool      // Entries, Snapshot, Term or Vote changed: sync before sending Messages
	Entries       []Entry   // append to storage, replacing all entries at and after the first index
	Snapshot      *Snapshot // replace storage and the state machine's state with it
	EarlyMessages []Message // may be sent before the sync
	Messages      []Message // only after the sync
	Committed     []Entry   // apply in order
	ReadStates    []ReadState
}

// Urgent is the work that waits for no sync of this node.
type Urgent struct {
	Messages   []Message // send
	Committed  []Entry   // apply in order, after those of the outstanding Ready
	ReadStates []ReadState
}

// Status is a node's view of its group. Operators read it, and drivers use it to decide which node serves requests.
type Status struct {
	ID            uint64
	Role          Role
	Leader        uint64
	Term          uint64
	Vote          uint64 // in this term; None if not given
	Commit        uint64
	Applied       uint64
	Stable        uint64 // index of the last entry on this node's disk
	LastIndex     uint64
	LastTerm      uint64 // of the entry at LastIndex
	FirstIndex    uint64
	Configuration Configuration
	Match         []Progress // leader only
}

// Progress is a leader's view of one member, itself included.
type Progress struct {
	Node    uint64
	Match   uint64 // highest index known to be on the node's disk
	Learner bool
	// RecentActive is set if the node sent a reply that waits for its disk within the last ElectionTicks, or the
	// leadership is younger than that.
	RecentActive bool
	Heard        bool // sent such a reply under this leadership; true for the leader itself
}
