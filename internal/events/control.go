package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// LeaderChanged reports that this node learned of a new leader of a consensus group, or knows none any more.
type LeaderChanged struct {
	Group  uint32 `json:"group" doc:"consensus group; 0 is the control group, others are ledger groups"`
	Term   uint64 `json:"term" doc:"term of the group"`
	Leader uint64 `json:"leader,omitempty" doc:"node that leads; absent if none is known"`
	Self   bool   `json:"self" doc:"whether this node leads"`
}

var leaderChangedKind = newKind("leader_changed", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*LeaderChanged) Kind() *logging.Kind { return &leaderChangedKind }

// GroupChanged reports a change of the membership of a consensus group.
type GroupChanged struct {
	Group  uint32 `json:"group" doc:"consensus group; 0 is the control group, others are ledger groups"`
	Node   uint64 `json:"node_id" doc:"node that the change concerns"`
	Change string `json:"change" doc:"learner_added, promoted or removed"`
	Voters int    `json:"voters" doc:"number of voters before the change"`

	Unheard          int     `json:"unheard" doc:"number of voters that the leader has not heard recently, or not yet"`
	SilenceMs        float64 `json:"silence_ms" doc:"time since the leader last heard the node, if the node is a voter"`
	LongestSilenceMs float64 `json:"longest_silence_ms" doc:"time since the leader last heard the voter that has been silent longest"`
	Candidates       int     `json:"candidates" doc:"number of nodes that recently asked to join the group"`
}

var groupChangedKind = newKind("group_changed", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*GroupChanged) Kind() *logging.Kind { return &groupChangedKind }

// LeadershipYielded reports that the leader of a consensus group asked another voter to take over the leadership.
type LeadershipYielded struct {
	Group         uint32  `json:"group" doc:"consensus group; 0 is the control group, others are ledger groups"`
	Successor     uint64  `json:"successor" doc:"node that is asked to lead"`
	ControlLeader uint64  `json:"control_leader,omitempty" doc:"node that leads the control group; absent if not known on this node"`
	AloneMs       float64 `json:"alone_ms,omitempty" doc:"how long this node has known no leader of the control group"`
	WritingMs     float64 `json:"writing_ms,omitempty" doc:"how long the current disk write of this node has lasted, which the successor's disk has already completed; absent if this is not the reason"`
	Cause         string  `json:"cause,omitempty" doc:"why the successor could not be asked"`
}

var leadershipYieldedKind = newKind("leadership_yielded", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*LeadershipYielded) Kind() *logging.Kind { return &leadershipYieldedKind }

// PeerLost reports that the connection to another control node was lost.
type PeerLost struct {
	Peer  uint64 `json:"peer" doc:"id of the node"`
	Cause string `json:"cause,omitempty" doc:"how the connection ended"`
}

var peerLostKind = newKind("peer_lost", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*PeerLost) Kind() *logging.Kind { return &peerLostKind }

// PeerFound reports that the connection to another control node is up, again or for the first time.
type PeerFound struct {
	Peer    uint64 `json:"peer" doc:"id of the node"`
	Address string `json:"address" doc:"address at which the node was reached"`
}

var peerFoundKind = newKind("peer_found", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*PeerFound) Kind() *logging.Kind { return &peerFoundKind }

// DiskChanged reports that the disk has no space left for new work, or has space again.
type DiskChanged struct {
	Full bool   `json:"full" doc:"whether new work is rejected"`
	Room string `json:"room" doc:"what there is disk space for: all; reserved (the control group, and work that other groups have begun); votes (no commands)"`
}

var diskChangedKind = newKind("disk_changed", logrus.ErrorLevel, changeRate)

// Kind implements logging.Event.
func (*DiskChanged) Kind() *logging.Kind { return &diskChangedKind }

// GroupHoldings reports, every few seconds, how much a control node holds of a consensus group.
type GroupHoldings struct {
	Group      uint32  `json:"group" doc:"consensus group; 0 is the control group, others are ledger groups"`
	Jobs       uint64  `json:"jobs,omitempty" doc:"number of batch jobs in the state, open or ended"`
	JobsMB     float64 `json:"jobs_mb,omitempty" doc:"size of these jobs"`
	LogMB      float64 `json:"log_mb" doc:"size of the log entries in memory"`
	SnapshotMB float64 `json:"snapshot_mb" doc:"size of the last snapshot"`
	UnstoredMB float64 `json:"unstored_mb,omitempty" doc:"part of the last snapshot that is kept in memory because it is not on disk"`
	DiskFreeMB float64 `json:"disk_free_mb,omitempty" doc:"free space on the disk"`
}

var groupHoldingsKind = newKind("group_holdings", logrus.InfoLevel, rareRate)

// Kind implements logging.Event.
func (*GroupHoldings) Kind() *logging.Kind { return &groupHoldingsKind }

// JobsFull reports that a ledger group starts or stops rejecting batch jobs for lack of space. Jobs are rejected
// before they are proposed.
type JobsFull struct {
	Group    uint32  `json:"group" doc:"the ledger group"`
	Full     bool    `json:"full" doc:"whether jobs are rejected"`
	JobsMB   float64 `json:"jobs_mb" doc:"size of the group's jobs, open and ended"`
	MostMB   float64 `json:"most_mb" doc:"maximum size of the group's jobs: what the smallest voter can hold"`
	RoomInMs uint32  `json:"room_in_ms,omitempty" doc:"time until the next ended job is removed"`
}

var jobsFullKind = newKind("jobs_full", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*JobsFull) Kind() *logging.Kind { return &jobsFullKind }

// SnapshotLeftOut reports that a snapshot of a group did not fit on the disk. If it is the node's own snapshot, the
// log before it is kept.
type SnapshotLeftOut struct {
	Group uint32 `json:"group" doc:"consensus group; 0 is the control group, others are ledger groups"`
	Index uint64 `json:"index" doc:"index of the last log entry that the snapshot covers"`
	Bytes int    `json:"bytes" doc:"size of the snapshot"`
	// Received is true if the leader sent the snapshot. The leader sends it again.
	Received bool `json:"received,omitempty" doc:"whether the leader sent the snapshot because this node lags; the leader sends it again"`
}

var snapshotLeftOutKind = newKind("snapshot_left_out", logrus.ErrorLevel, changeRate)

// Kind implements logging.Event.
func (*SnapshotLeftOut) Kind() *logging.Kind { return &snapshotLeftOutKind }

// SnapshotSent reports that a leader sends its snapshot to a node that lags too far behind the log.
type SnapshotSent struct {
	Group   uint32 `json:"group" doc:"consensus group; 0 is the control group, others are ledger groups"`
	Peer    uint64 `json:"peer" doc:"id of the node"`
	Index   uint64 `json:"index" doc:"index of the last log entry that the snapshot covers"`
	Bytes   int    `json:"bytes" doc:"size of the snapshot"`
	Dropped bool   `json:"dropped,omitempty" doc:"true if nothing was queued, since an earlier snapshot of the group is still being sent to the node"`
}

var snapshotSentKind = newKind("snapshot_sent", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*SnapshotSent) Kind() *logging.Kind { return &snapshotSentKind }

// SnapshotReceived reports that a node has received the whole snapshot of a leader. It is not on the disk yet.
type SnapshotReceived struct {
	Group  uint32  `json:"group" doc:"consensus group; 0 is the control group, others are ledger groups"`
	Peer   uint64  `json:"peer" doc:"id of the leader"`
	Index  uint64  `json:"index" doc:"index of the last log entry that the snapshot covers"`
	Bytes  int     `json:"bytes" doc:"size of the snapshot"`
	TookMs float64 `json:"took_ms" doc:"time since its first chunk"`
}

var snapshotReceivedKind = newKind("snapshot_received", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*SnapshotReceived) Kind() *logging.Kind { return &snapshotReceivedKind }

// MemberChanged reports the new state of a member, as the control group's leader recorded it.
type MemberChanged struct {
	Member string `json:"member" doc:"name and incarnation of the process"`
	State  string `json:"state" doc:"alive, suspect, leaving or gone"`
}

var memberChangedKind = newKind("member_changed", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*MemberChanged) Kind() *logging.Kind { return &memberChangedKind }

// ControlFound reports which control node grants this process its lease.
type ControlFound struct {
	Address      string  `json:"address" doc:"address of the control node"`
	TableVersion uint64  `json:"table_version" doc:"version of the configuration table that this process uses"`
	LeaseMs      float64 `json:"lease_ms" doc:"length of the lease"`
}

var controlFoundKind = newKind("control_found", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*ControlFound) Kind() *logging.Kind { return &controlFoundKind }

// ControlLost reports the loss of the control node that granted this process its lease.
type ControlLost struct {
	Address     string  `json:"address" doc:"address of the control node"`
	Cause       string  `json:"cause,omitempty" doc:"how the session ended; absent if it ended as planned"`
	LeaseLeftMs float64 `json:"lease_left_ms" doc:"time until the lease expires; 0 if it has expired"`
}

var controlLostKind = newKind("control_lost", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*ControlLost) Kind() *logging.Kind { return &controlLostKind }

// LeaseLost reports that the lease expired before it was renewed. The process rejects work until it has a lease
// again.
type LeaseLost struct {
	TableVersion uint64  `json:"table_version" doc:"version of the configuration table that this process used"`
	SinceMs      float64 `json:"since_ms" doc:"time since the lease expired"`
}

var leaseLostKind = newKind("lease_lost", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*LeaseLost) Kind() *logging.Kind { return &leaseLostKind }

// LeaseRegained reports that the process holds a lease, again or for the first time.
type LeaseRegained struct {
	TableVersion uint64  `json:"table_version" doc:"version of the configuration table that this process uses"`
	WithoutMs    float64 `json:"without_ms" doc:"how long this process was without a lease"`
}

var leaseRegainedKind = newKind("lease_regained", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*LeaseRegained) Kind() *logging.Kind { return &leaseRegainedKind }

// TableAdopted reports that this process uses a new version of the configuration table.
type TableAdopted struct {
	TableVersion  uint64 `json:"table_version" doc:"the new version"`
	BeforeVersion uint64 `json:"before_version" doc:"the previous version"`
	Routes        int    `json:"routes" doc:"number of routes in the table"`
	Replicas      int    `json:"replicas" doc:"number of back ends in the table that accept new work"`
}

var tableAdoptedKind = newKind("table_adopted", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*TableAdopted) Kind() *logging.Kind { return &tableAdoptedKind }

// StartRenumbered reports that this process took a higher start number, because its own was not above that of an
// earlier start. This happens if the clock was set back between the two starts.
type StartRenumbered struct {
	Member string `json:"member" doc:"name and new start number of this process"`
	Before string `json:"before" doc:"name and start number derived from its own clock"`
}

var startRenumberedKind = newKind("start_renumbered", logrus.WarnLevel, rareRate)

// Kind implements logging.Event.
func (*StartRenumbered) Kind() *logging.Kind { return &startRenumberedKind }

// StartSuperseded reports that a later start runs under this process's name. This process gets no lease any more.
type StartSuperseded struct {
	Member string `json:"member" doc:"name and start number of this process"`
	By     string `json:"by" doc:"name and number of the later start"`
}

var startSupersededKind = newKind("start_superseded", logrus.ErrorLevel, rareRate)

// Kind implements logging.Event.
func (*StartSuperseded) Kind() *logging.Kind { return &startSupersededKind }

// MemberOutranked reports that the leader rejected a lease renewal because a later start under the sender's name is
// registered.
type MemberOutranked struct {
	Member string `json:"member" doc:"name and start number of the process that renews its lease"`
	By     string `json:"by" doc:"name and start number of the registered process"`
}

var memberOutrankedKind = newKind("member_outranked", logrus.WarnLevel, rareRate)

// Kind implements logging.Event.
func (*MemberOutranked) Kind() *logging.Kind { return &memberOutrankedKind }

// StateUnread reports that a read of the state applied on this node failed. Until a read succeeds, the node sends
// outdated state to the processes that hold leases.
type StateUnread struct {
	What         string `json:"what" doc:"what could not be read: table, members or level"`
	KnownVersion uint64 `json:"known_version" doc:"version that this node continues with; for a level, the level itself"`
	Cause        string `json:"cause" doc:"why it could not be read"`
}

var stateUnreadKind = newKind("state_unread", logrus.WarnLevel, rareRate)

// Kind implements logging.Event.
func (*StateUnread) Kind() *logging.Kind { return &stateUnreadKind }

// OperatorCall reports a change that an operator, a trainer or a back end requested from a control node.
type OperatorCall struct {
	Method  string  `json:"method" doc:"method of the call"`
	Path    string  `json:"path" doc:"path of the call"`
	Subject string  `json:"subject,omitempty" doc:"what the call concerns: a configuration version, a model version or a machine"`
	Status  int     `json:"status" doc:"status returned to the caller"`
	Cause   string  `json:"cause,omitempty" doc:"why the change was rejected"`
	TookMs  float64 `json:"took_ms" doc:"time since the call arrived"`
}

var operatorCallKind = newKind("operator_call", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*OperatorCall) Kind() *logging.Kind { return &operatorCallKind }

// ReplicaRegistered reports that a back end's own report changed its row in the table.
type ReplicaRegistered struct {
	Replica      string `json:"replica" doc:"the back end"`
	Pool         string `json:"pool,omitempty" doc:"its pool"`
	Address      string `json:"address,omitempty" doc:"address at which it is reached"`
	State        string `json:"state" doc:"active, draining or removed"`
	Start        uint64 `json:"start_unix_ms,omitempty" doc:"start time that the back end reports"`
	Heartbeat    uint64 `json:"heartbeat,omitempty" doc:"number of the heartbeat that reported the change"`
	TableVersion uint64 `json:"table_version" doc:"version of the configuration table that contains the change"`
}

var replicaRegisteredKind = newKind("replica_registered", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*ReplicaRegistered) Kind() *logging.Kind { return &replicaRegisteredKind }

// ReplicaRestarted reports a registration that ended a back end's earlier start: the back end started again under
// the same name.
type ReplicaRestarted struct {
	Replica      string `json:"replica" doc:"the back end"`
	Start        uint64 `json:"start_unix_ms" doc:"start time that the back end reports"`
	Former       uint64 `json:"former_start_unix_ms" doc:"start time of the earlier start, which is over"`
	Address      string `json:"address" doc:"address at which it is reached now"`
	TableVersion uint64 `json:"table_version" doc:"version of the configuration table from which on nothing of the earlier start counts"`
}

var replicaRestartedKind = newKind("replica_restarted", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*ReplicaRestarted) Kind() *logging.Kind { return &replicaRestartedKind }

// EntrySkipped reports an entry in another process's message that was skipped because it names no valid back end. The
// other entries of the message take effect.
type EntrySkipped struct {
	Source  string `json:"source" doc:"kind of message: heartbeat, deregister, relay or report"`
	Reason  string `json:"reason" doc:"unreadable, missing, type, range, unnamed or name; former_start if it comes from an earlier start of the back end"`
	Replica string `json:"replica,omitempty" doc:"back end that the entry named, shortened"`
	Cause   string `json:"cause,omitempty" doc:"what was wrong with the entry, shortened"`
}

var entrySkippedKind = newKind("entry_skipped", logrus.WarnLevel, rareRate)

// Kind implements logging.Event.
func (*EntrySkipped) Kind() *logging.Kind { return &entrySkippedKind }

// ReplicaDeferred reports that a registration was not accepted because another back end was heard from the same
// address a moment ago.
type ReplicaDeferred struct {
	Replica   string  `json:"replica" doc:"back end that is not registered yet"`
	Address   string  `json:"address" doc:"address at which it says that it is reached"`
	Heartbeat uint64  `json:"heartbeat" doc:"number of its heartbeat"`
	Holder    string  `json:"holder" doc:"back end that holds the address"`
	HeardMs   float64 `json:"heard_ms" doc:"time since that back end was last heard"`
}

var replicaDeferredKind = newKind("replica_deferred", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*ReplicaDeferred) Kind() *logging.Kind { return &replicaDeferredKind }

// ReplicasSilent reports a change that removes silent back ends from service, or deletes the rows of back ends
// removed long ago.
type ReplicasSilent struct {
	Silent  []string `json:"silent,omitempty" doc:"back ends that were removed because they are silent"`
	Dropped int      `json:"dropped,omitempty" doc:"number of rows that were deleted"`
	LimitMs float64  `json:"limit_ms" doc:"how long a back end may be silent"`
}

// HeartbeatsRejected reports heartbeats that this node rejected unread.
type HeartbeatsRejected struct {
	Rejected int64 `json:"rejected" doc:"number of heartbeats since the last such line that found no place among those that are processed"`
}

var heartbeatsRejectedKind = newKind("heartbeats_rejected", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*HeartbeatsRejected) Kind() *logging.Kind { return &heartbeatsRejectedKind }

var replicasSilentKind = newKind("replicas_silent", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*ReplicasSilent) Kind() *logging.Kind { return &replicasSilentKind }
