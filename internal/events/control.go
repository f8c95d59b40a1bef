package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// LeaderChanged is a node's new belief of who leads a consensus group.
type LeaderChanged struct {
	Group  uint32 `json:"group" doc:"0: the control group; others: ledger groups"`
	Term   uint64 `json:"term" doc:"term of the group"`
	Leader uint64 `json:"leader,omitempty" doc:"node that leads; none: not known"`
	Self   bool   `json:"self" doc:"whether that is this node"`
}

var leaderChangedKind = kind("leader_changed", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*LeaderChanged) Kind() *logging.Kind { return &leaderChangedKind }

// GroupChanged is a change of the nodes of a consensus group.
type GroupChanged struct {
	Group  uint32 `json:"group" doc:"0: the control group; others: ledger groups"`
	Node   uint64 `json:"node_id" doc:"node that it is about"`
	Change string `json:"change" doc:"learner_added, promoted or removed"`
	Voters int    `json:"voters" doc:"voters before the change"`

	Unheard          int     `json:"unheard" doc:"voters that the leader did not hear lately, or not yet"`
	SilenceMs        float64 `json:"silence_ms" doc:"for how long the leader did not hear the node, if it votes"`
	LongestSilenceMs float64 `json:"longest_silence_ms" doc:"for how long it did not hear the voter that was unheard for longest"`
	Candidates       int     `json:"candidates" doc:"nodes that asked for a place lately"`
}

var groupChangedKind = kind("group_changed", logrus.WarnLevel, perChange)

// Kind implements logging.Event.
func (*GroupChanged) Kind() *logging.Kind { return &groupChangedKind }

// LeadershipYielded is a leader of a consensus group that asks another voter to lead it.
type LeadershipYielded struct {
	Group         uint32  `json:"group" doc:"0: the control group; others: ledger groups"`
	Successor     uint64  `json:"successor" doc:"node that is asked"`
	ControlLeader uint64  `json:"control_leader,omitempty" doc:"node that leads the control group; none: not known here"`
	AloneMs       float64 `json:"alone_ms,omitempty" doc:"for how long none has been known here"`
	WritingMs     float64 `json:"writing_ms,omitempty" doc:"for how long this node's write has lasted, which the successor's disk has taken; none: not the reason"`
	Cause         string  `json:"cause,omitempty" doc:"why it was not asked after all"`
}

var leadershipYieldedKind = kind("leadership_yielded", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*LeadershipYielded) Kind() *logging.Kind { return &leadershipYieldedKind }

// PeerLost is a lost connection to another control node.
type PeerLost struct {
	Peer  uint64 `json:"peer" doc:"id of the node"`
	Cause string `json:"cause,omitempty" doc:"how the connection ended"`
}

var peerLostKind = kind("peer_lost", logrus.WarnLevel, perChange)

// Kind implements logging.Event.
func (*PeerLost) Kind() *logging.Kind { return &peerLostKind }

// PeerFound is a connection to another control node that is up again, or for the first time.
type PeerFound struct {
	Peer    uint64 `json:"peer" doc:"id of the node"`
	Address string `json:"address" doc:"where it was found"`
}

var peerFoundKind = kind("peer_found", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*PeerFound) Kind() *logging.Kind { return &peerFoundKind }

// DiskChanged is a disk that has no room left for new work, or has room again.
type DiskChanged struct {
	Full bool   `json:"full" doc:"whether new work is refused"`
	Room string `json:"room" doc:"what there is room for: all; reserved: the control group, and what other groups have begun; votes: no commands"`
}

var diskChangedKind = kind("disk_changed", logrus.ErrorLevel, perChange)

// Kind implements logging.Event.
func (*DiskChanged) Kind() *logging.Kind { return &diskChangedKind }

// GroupHoldings is what a control node holds of a group, told every few seconds.
type GroupHoldings struct {
	Group      uint32  `json:"group" doc:"0: the control group; others: ledger groups"`
	Jobs       uint64  `json:"jobs,omitempty" doc:"batch jobs in the state, open or ended"`
	JobsMB     float64 `json:"jobs_mb,omitempty" doc:"their size"`
	LogMB      float64 `json:"log_mb" doc:"entries of the log in memory"`
	SnapshotMB float64 `json:"snapshot_mb" doc:"size of the last snapshot"`
	UnstoredMB float64 `json:"unstored_mb,omitempty" doc:"part of it that is in memory since it is on no disk"`
	DiskFreeMB float64 `json:"disk_free_mb,omitempty" doc:"room on the disk"`
}

var groupHoldingsKind = kind("group_holdings", logrus.InfoLevel, perStart)

// Kind implements logging.Event.
func (*GroupHoldings) Kind() *logging.Kind { return &groupHoldingsKind }

// JobsFull is that batch jobs begin or cease to find no room in their ledger group: each is refused before it is proposed.
type JobsFull struct {
	Group    uint32  `json:"group" doc:"the ledger group"`
	Full     bool    `json:"full" doc:"whether jobs are refused"`
	JobsMB   float64 `json:"jobs_mb" doc:"what its jobs take, open and ended"`
	MostMB   float64 `json:"most_mb" doc:"what they may take: what the smallest voter can hold"`
	RoomInMs uint32  `json:"room_in_ms,omitempty" doc:"time until the next ended job is forgotten"`
}

var jobsFullKind = kind("jobs_full", logrus.WarnLevel, perChange)

// Kind implements logging.Event.
func (*JobsFull) Kind() *logging.Kind { return &jobsFullKind }

// SnapshotLeftOut is a snapshot of a group that found no room on the disk. Where it is the node's own, the log before it stays.
type SnapshotLeftOut struct {
	Group uint32 `json:"group" doc:"0: the control group; others: ledger groups"`
	Index uint64 `json:"index" doc:"entry up to which it would have replaced the log"`
	Bytes int    `json:"bytes" doc:"its size"`
	// Received tells that the leader sent it; it sends it again.
	Received bool `json:"received,omitempty" doc:"whether the leader sent it, for a node that lags"`
}

var snapshotLeftOutKind = kind("snapshot_left_out", logrus.ErrorLevel, perChange)

// Kind implements logging.Event.
func (*SnapshotLeftOut) Kind() *logging.Kind { return &snapshotLeftOutKind }

// MemberChanged is a member's new state as the control group's leader recorded it.
type MemberChanged struct {
	Member string `json:"member" doc:"name and incarnation of the process"`
	State  string `json:"state" doc:"alive, suspect, leaving or gone"`
}

var memberChangedKind = kind("member_changed", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*MemberChanged) Kind() *logging.Kind { return &memberChangedKind }

// ControlFound is the control node that grants this process its lease.
type ControlFound struct {
	Address      string  `json:"address" doc:"of the control node"`
	TableVersion uint64  `json:"table_version" doc:"version of the table that this process acts on"`
	LeaseMs      float64 `json:"lease_ms" doc:"length of the lease"`
}

var controlFoundKind = kind("control_found", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*ControlFound) Kind() *logging.Kind { return &controlFoundKind }

// ControlLost is the loss of the control node that granted this process its lease.
type ControlLost struct {
	Address     string  `json:"address" doc:"of the control node"`
	Cause       string  `json:"cause,omitempty" doc:"how the session ended; none: by plan"`
	LeaseLeftMs float64 `json:"lease_left_ms" doc:"time until the lease ends; 0: it has ended"`
}

var controlLostKind = kind("control_lost", logrus.WarnLevel, perChange)

// Kind implements logging.Event.
func (*ControlLost) Kind() *logging.Kind { return &controlLostKind }

// LeaseLost is a lease that ended before it was renewed: this process refuses work.
type LeaseLost struct {
	TableVersion uint64  `json:"table_version" doc:"version of the table that this process acted on"`
	SinceMs      float64 `json:"since_ms" doc:"time since its end"`
}

var leaseLostKind = kind("lease_lost", logrus.WarnLevel, perChange)

// Kind implements logging.Event.
func (*LeaseLost) Kind() *logging.Kind { return &leaseLostKind }

// LeaseRegained is a lease that holds again, or for the first time.
type LeaseRegained struct {
	TableVersion uint64  `json:"table_version" doc:"version of the table that this process acts on"`
	WithoutMs    float64 `json:"without_ms" doc:"how long this process was without a lease"`
}

var leaseRegainedKind = kind("lease_regained", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*LeaseRegained) Kind() *logging.Kind { return &leaseRegainedKind }

// TableAdopted is a new version of the table that this process acts on.
type TableAdopted struct {
	TableVersion  uint64 `json:"table_version" doc:"the new version"`
	BeforeVersion uint64 `json:"before_version" doc:"the version before"`
	Routes        int    `json:"routes" doc:"routes in it"`
	Replicas      int    `json:"replicas" doc:"back ends in it that take new work"`
}

var tableAdoptedKind = kind("table_adopted", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*TableAdopted) Kind() *logging.Kind { return &tableAdoptedKind }

// StartRenumbered is a start of this process whose number was not above that of an earlier one, as where the clock was set back between them:
// it has taken a higher one.
type StartRenumbered struct {
	Member string `json:"member" doc:"name and number of this start from now on"`
	Before string `json:"before" doc:"what it had by its own clock"`
}

var startRenumberedKind = kind("start_renumbered", logrus.WarnLevel, perStart)

// Kind implements logging.Event.
func (*StartRenumbered) Kind() *logging.Kind { return &startRenumberedKind }

// StartSuperseded is that a later start runs under this process's name: this one gets no lease any more.
type StartSuperseded struct {
	Member string `json:"member" doc:"name and number of this start"`
	By     string `json:"by" doc:"name and number of the later one"`
}

var startSupersededKind = kind("start_superseded", logrus.ErrorLevel, perStart)

// Kind implements logging.Event.
func (*StartSuperseded) Kind() *logging.Kind { return &startSupersededKind }

// MemberOutranked is a renewal that the leader refuses since a later start of its sender's name is registered.
type MemberOutranked struct {
	Member string `json:"member" doc:"name and number of the start that renews"`
	By     string `json:"by" doc:"name and number of the registered one"`
}

var memberOutrankedKind = kind("member_outranked", logrus.WarnLevel, perStart)

// Kind implements logging.Event.
func (*MemberOutranked) Kind() *logging.Kind { return &memberOutrankedKind }

// StateUnread is a read of the state applied here that failed: what this node tells the processes that hold leases stays behind until it is
// read again.
type StateUnread struct {
	What         string `json:"what" doc:"table, members or level"`
	KnownVersion uint64 `json:"known_version" doc:"version that this node goes on with; of a level, the level"`
	Cause        string `json:"cause" doc:"why it could not be read"`
}

var stateUnreadKind = kind("state_unread", logrus.WarnLevel, perStart)

// Kind implements logging.Event.
func (*StateUnread) Kind() *logging.Kind { return &stateUnreadKind }

// OperatorCall is a change that an operator, a trainer or a back end asked of a control node.
type OperatorCall struct {
	Method  string  `json:"method" doc:"of the call"`
	Path    string  `json:"path" doc:"of the call"`
	Subject string  `json:"subject,omitempty" doc:"what it is about: a configuration's version, a model's version, a machine"`
	Status  int     `json:"status" doc:"status that the caller got"`
	Cause   string  `json:"cause,omitempty" doc:"why it was not taken"`
	TookMs  float64 `json:"took_ms" doc:"time from its arrival"`
}

var operatorCallKind = kind("operator_call", logrus.InfoLevel, perRequest)

// Kind implements logging.Event.
func (*OperatorCall) Kind() *logging.Kind { return &operatorCallKind }

// ReplicaRegistered is a change of a back end's row that its own account brought.
type ReplicaRegistered struct {
	Replica      string `json:"replica" doc:"the back end"`
	Pool         string `json:"pool,omitempty" doc:"its pool"`
	Address      string `json:"address,omitempty" doc:"where it is reached"`
	State        string `json:"state" doc:"active, draining or removed"`
	Start        uint64 `json:"start_unix_ms,omitempty" doc:"when it started, as it says"`
	Heartbeat    uint64 `json:"heartbeat,omitempty" doc:"number of the heartbeat that said so"`
	TableVersion uint64 `json:"table_version" doc:"version of the table with the change"`
}

var replicaRegisteredKind = kind("replica_registered", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*ReplicaRegistered) Kind() *logging.Kind { return &replicaRegisteredKind }

// ReplicaRestarted is a registration by which a back end's former start is over: it started again under its name.
type ReplicaRestarted struct {
	Replica      string `json:"replica" doc:"back end"`
	Start        uint64 `json:"start_unix_ms" doc:"when it started, as it says"`
	Former       uint64 `json:"former_start_unix_ms" doc:"the start that is over"`
	Address      string `json:"address" doc:"where it is reached now"`
	TableVersion uint64 `json:"table_version" doc:"version of the table from which on nothing of the former start counts"`
}

var replicaRestartedKind = kind("replica_restarted", logrus.WarnLevel, perChange)

// Kind implements logging.Event.
func (*ReplicaRestarted) Kind() *logging.Kind { return &replicaRestartedKind }

// EntrySkipped is a message of another writer that named no back end. The others that came with it hold.
type EntrySkipped struct {
	Source  string `json:"source" doc:"kind of message: heartbeat, deregister, relay or report"`
	Reason  string `json:"reason" doc:"unreadable, missing, type, range, unnamed or name; former_start: of a start that is over"`
	Replica string `json:"replica,omitempty" doc:"back end that it spoke of, shortened"`
	Cause   string `json:"cause,omitempty" doc:"what was amiss, shortened"`
}

var entrySkippedKind = kind("entry_skipped", logrus.WarnLevel, perStart)

// Kind implements logging.Event.
func (*EntrySkipped) Kind() *logging.Kind { return &entrySkippedKind }

// ReplicaDeferred is a registration that was not taken because another back end spoke from its address a moment ago.
type ReplicaDeferred struct {
	Replica   string  `json:"replica" doc:"back end that is not known yet"`
	Address   string  `json:"address" doc:"where it says that it is reached"`
	Heartbeat uint64  `json:"heartbeat" doc:"number of its heartbeat"`
	Holder    string  `json:"holder" doc:"back end that holds the address"`
	HeardMs   float64 `json:"heard_ms" doc:"how long ago that one was heard"`
}

var replicaDeferredKind = kind("replica_deferred", logrus.WarnLevel, perChange)

// Kind implements logging.Event.
func (*ReplicaDeferred) Kind() *logging.Kind { return &replicaDeferredKind }

// ReplicasSilent is a change that takes out back ends which say nothing, or drops rows of ones long out.
type ReplicasSilent struct {
	Silent  []string `json:"silent,omitempty" doc:"back ends that were taken out"`
	Dropped int      `json:"dropped,omitempty" doc:"rows that were dropped"`
	LimitMs float64  `json:"limit_ms" doc:"how long a back end may say nothing"`
}

var replicasSilentKind = kind("replicas_silent", logrus.WarnLevel, perChange)

// Kind implements logging.Event.
func (*ReplicasSilent) Kind() *logging.Kind { return &replicasSilentKind }
