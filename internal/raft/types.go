// Package raft is tamarindring's consensus protocol as a pure state machine: messages, ticks and
// proposals go in; messages to send, state to persist and entries to apply come out. It has no clock,
// no goroutine and no I/O, so the code that runs in a server runs unchanged under the simulator.
//
// The driver's contract, per group:
//
//  1. Call Tick, Step, Propose and the like; they never block.
//  2. Take Ready. Persist its Snapshot, Entries and HardState in one synced write, if MustSync.
//  3. Only after that write is synced, send Messages. EarlyMessages may be sent before the write: they
//     are a leader's appends and heartbeats, which claim nothing about the sender's own disk.
//  4. Apply Committed in order, then call Advance with the same Ready. What Durable returns may be applied before the write.
//
// While the write is under way the driver calls Urgent and does at once what it returns: a leader's heartbeats, the answers to
// them, and the reads that they confirm don't wait for disks. It has then applied what Durable returned.
//
// Ready and Advance alternate strictly; Tick, Step, Propose and the like may come between them. A node's
// own copy of an entry, and its own vote, count only from Advance on. Reads that were waiting when a
// leader steps down get no ReadState: a driver fails them when Status no longer says Leader.
//
// The log since the last compaction is held in memory; New gets it back from the driver's storage.
package raft

import "math/rand"

// None is the identity of no node.
const None uint64 = 0

// EntryKind says what an entry's data is.
type EntryKind uint32

// The kinds of entry.
const (
	EntryCommand       EntryKind = iota // a command of the state machine; empty data is a leader's first entry
	EntryConfiguration                  // an encoded ConfigurationChange
)

// Entry is one position of the replicated log.
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

// ChangeKind says what a ConfigurationChange does. Changes are one at a time: a leader refuses a second
// one until the first is applied, and any before an entry of its own term is committed.
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
	// Result is the whole configuration after the change. The leader fills it in, so that a learner that
	// starts with an empty log never derives a configuration from nothing.
	Result Configuration
}

// HardState is what a node must never forget: persisted before any message that depends on it.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Snapshot is the state machine's state as of Index, with the configuration at that point.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          Parts
}

// MessageKind names a protocol message.
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

// Message is one protocol message between two nodes of a group. Which fields count depends on Kind.
type Message struct {
	Kind       MessageKind
	To         uint64
	From       uint64
	Term       uint64
	LogTerm    uint64 // term of the entry at Index, for appends and votes
	Index      uint64 // entry before Entries; last index in votes; match index in replies, or the rejected one
	Entries    []Entry
	Commit     uint64
	Snapshot   *Snapshot
	Reject     bool   // in heartbeat replies: the replies to earlier messages still wait for the disk
	RejectHint uint64 // where a rejected append may start over; LogTerm is then that entry's term
	Context    uint64 // read round in heartbeats and replies; leadership transfer mark in votes;
	// a refusal's reason in their replies
}

// Role is a node's part in the current term.
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
	// ID is this node's identity in the group, never reused: a node whose disk was lost or is older
	// than it was comes back under a new ID as a learner.
	ID uint64
	// ElectionTicks is the number of ticks without a leader's message after which a follower asks for
	// pre-votes; the real timeout is drawn from [ElectionTicks, 2*ElectionTicks). Until the first leader since the start
	// it is a fifth of that. It doubles with each term that passes without a leader, up to eight times ElectionTicks,
	// and doesn't run while the node's own vote is on the way to its disk. Default 10.
	ElectionTicks int
	// CampaignDelayTicks is added to the drawn timeout after which this node asks for pre-votes, and to nothing else: it
	// votes like any other, but lets others lead where they can. Default 0.
	CampaignDelayTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats. Default 1.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entry data of one append message. Default 1 MiB.
	MaxAppendBytes int
	// MaxInflightAppends bounds unacknowledged appends per follower (pipelining). Default 64.
	MaxInflightAppends int
	// MaxUncommittedBytes bounds proposals that are not yet committed; above it Propose returns
	// ErrOverloaded. Default 64 MiB.
	MaxUncommittedBytes int
	// RetainedEntries is the number of entries before a compaction's index that stay in memory, so that
	// a follower that is a little behind needs no snapshot. Default 1000.
	RetainedEntries int
	// RetainedBytes bounds the data of these entries. Default 16 MiB.
	RetainedBytes int
	// SnapshotRetryTicks is the number of ticks after which a snapshot that was not acknowledged is sent
	// again. Default five times ElectionTicks; a transport with large snapshots may need more.
	SnapshotRetryTicks int
	// Random draws election timeouts. Required, so that a simulated run can be repeated.
	Random *rand.Rand
	// Unsafe switches safety steps off. For tests that show that the checks find faults; zero otherwise.
	Unsafe Unsafe
}

// Unsafe switches off single safety steps of the protocol. It is for tests that show that the checks find
// faults: with any field set, committed entries can be lost.
type Unsafe struct {
	// CommitOldTermEntries lets a leader commit entries of earlier terms by counting their copies.
	CommitOldTermEntries bool
	// IgnorePersistedVote makes a restarted node forget whom it voted for.
	IgnorePersistedVote bool
	// SkipLogUpToDateCheck grants votes to candidates whose log is behind.
	SkipLogUpToDateCheck bool
	// ReadWithoutQuorum serves reads without asking whether the leader still leads.
	ReadWithoutQuorum bool
	// CountUnsyncedSelf counts a leader's own copy of an entry before its disk has it.
	CountUnsyncedSelf bool
	// ReplyBeforeSync sends votes and acknowledgements before the disk has what they promise.
	ReplyBeforeSync bool
	// ChangeWithoutOwnCommit accepts a configuration change before the leader has committed an entry of
	// its own term.
	ChangeWithoutOwnCommit bool
	// ConcurrentChanges accepts a configuration change while another is pending.
	ConcurrentChanges bool
	// CountLearners counts learners as voters when entries are committed.
	CountLearners bool
	// SkipAppendMatchCheck takes a leader's entries without comparing the entry before them.
	SkipAppendMatchCheck bool
}

// Restored is what a node found on its disk. The zero value with a Configuration in Snapshot starts a
// new group; a learner that joins starts with all of it empty.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // contiguous, the first at Snapshot.Index+1
}

// ReadState confirms that a read round was served: state applied up to Index is current for every
// request made before ReadIndex(Context) was called.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the work that a node hands to its driver.
type Ready struct {
	HardState     HardState
	MustSync      bool      // Entries, Snapshot, Term or Vote changed: sync before sending Messages
	Entries       []Entry   // append to storage, dropping whatever stands at or after the first index
	Snapshot      *Snapshot // replace storage and state machine with it
	EarlyMessages []Message // may be sent before the sync
	Messages      []Message // only after the sync
	Committed     []Entry   // apply in order
	ReadStates    []ReadState
}

// Urgent is work that waits for no sync of this node.
type Urgent struct {
	Messages   []Message // send
	Committed  []Entry   // apply in order, after those of the Ready that is out
	ReadStates []ReadState
}

// Status is a node's view of its group, for operators and for deciding who serves.
type Status struct {
	ID            uint64
	Role          Role
	Leader        uint64
	Term          uint64
	Vote          uint64 // of this term, None if it was not given
	Commit        uint64
	Applied       uint64
	Stable        uint64 // last entry on this node's disk
	LastIndex     uint64
	LastTerm      uint64 // of the entry at LastIndex
	FirstIndex    uint64
	Configuration Configuration
	Match         []Progress // leader only
}

// Progress is what a leader knows of one other node.
type Progress struct {
	Node         uint64
	Match        uint64
	Learner      bool
	RecentActive bool // heard from within the last ElectionTicks, or the leadership is younger
	Heard        bool // heard from under this leadership; true of the leader itself
}
