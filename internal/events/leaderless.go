package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// GroupWithoutLeader reports that this node has known no leader of a consensus group for a while. It contains what
// the node knows of the group, of its peers and of the campaigns since the leader was lost.
type GroupWithoutLeader struct {
	Group     uint32   `json:"group" doc:"consensus group; 0 is the control group, others are ledger groups"`
	ForMs     float64  `json:"for_ms" doc:"how long this node has known no leader"`
	Self      uint64   `json:"self" doc:"id of this node"`
	Role      string   `json:"role" doc:"role of this node: follower, pre-candidate or candidate"`
	TakesPart bool     `json:"takes_part" doc:"whether this node may vote and stand for election; a node with an empty data folder waits until each voter knows that folder"`
	Awaits    []uint64 `json:"awaits,omitempty" doc:"voters that do not know this node's data folder yet"`
	Term      uint64   `json:"term" doc:"current term of this node"`
	Terms     uint64   `json:"terms" doc:"number of terms since the leader was lost; 0 together with many pre_campaigns means that no quorum answers"`
	Vote      uint64   `json:"vote,omitempty" doc:"node that this node voted for in this term"`
	LastIndex uint64   `json:"last_index" doc:"index of the last entry of this node's log"`
	LastTerm  uint64   `json:"last_term" doc:"term of that entry"`
	Commit    uint64   `json:"commit" doc:"index of the last entry that this node knows to be committed"`

	Voters   []GroupPeer `json:"voters" doc:"voters of the configuration in force on this node, each with id, address, standby, folder (identity of its data folder as known here), heard_ms (time since its last message of any kind; -1 if none has come), connected (whether this node's stream to it is up), refused (why this node rejected its last greeting) and refused_by (why it rejected this node's greeting)"`
	Learners []GroupPeer `json:"learners,omitempty" doc:"learners of that configuration, with the same fields"`

	PreCampaigns uint64      `json:"pre_campaigns" doc:"number of pre-vote rounds that this node started since the leader was lost"`
	Campaigns    uint64      `json:"campaigns" doc:"number of elections that this node started since then"`
	Overtaken    uint64      `json:"overtaken" doc:"of these, ended by another node's later term"`
	Expired      uint64      `json:"expired" doc:"of these, not decided within the election timeout"`
	Votes        []PeerVotes `json:"votes,omitempty" doc:"by other node: pre_votes_wanted and votes_wanted (requests of this node and the other node's answers), pre_votes_given and votes_given (requests of the other node and this node's answers); each with asked, granted, and rejections by reason: log_behind, voted_for_another, hears_leader, old_term, unsaid. A request without an answer means that the request or the answer was lost or is under way, or that the other node hears a leader"`

	Syncs         int     `json:"syncs" doc:"number of synced writes that ended since the leader was lost, over all groups"`
	LastSyncMs    float64 `json:"last_sync_ms,omitempty" doc:"duration of the last synced write"`
	LongestSyncMs float64 `json:"longest_sync_ms,omitempty" doc:"duration of the longest synced write"`
	WritingMs     float64 `json:"writing_ms,omitempty" doc:"how long the current synced write has lasted; votes wait for it"`
}

// GroupPeer describes a node of a consensus group as seen by another node.
type GroupPeer struct {
	ID        uint64  `json:"id"`
	Address   string  `json:"address,omitempty"`
	Self      bool    `json:"self,omitempty"`
	Standby   bool    `json:"standby,omitempty"`
	Folder    string  `json:"folder,omitempty"`
	HeardMs   float64 `json:"heard_ms"`
	Connected bool    `json:"connected"`
	Refused   string  `json:"refused,omitempty"`
	RefusedBy string  `json:"refused_by,omitempty"`
}

// PeerVotes counts the vote requests and answers between this node and another one.
type PeerVotes struct {
	ID             uint64     `json:"id"`
	PreVotesWanted VoteCounts `json:"pre_votes_wanted,omitzero"`
	VotesWanted    VoteCounts `json:"votes_wanted,omitzero"`
	PreVotesGiven  VoteCounts `json:"pre_votes_given,omitzero"`
	VotesGiven     VoteCounts `json:"votes_given,omitzero"`
}

// VoteCounts counts requests for votes and the answers to them.
type VoteCounts struct {
	Asked           uint64 `json:"asked"`
	Granted         uint64 `json:"granted,omitempty"`
	LogBehind       uint64 `json:"log_behind,omitempty"`
	VotedForAnother uint64 `json:"voted_for_another,omitempty"`
	HearsLeader     uint64 `json:"hears_leader,omitempty"`
	OldTerm         uint64 `json:"old_term,omitempty"`
	Unsaid          uint64 `json:"unsaid,omitempty"`
}

var groupWithoutLeaderKind = newKind("group_without_leader", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*GroupWithoutLeader) Kind() *logging.Kind { return &groupWithoutLeaderKind }

// GroupLeaderKnown reports the end of a period without a leader that a group_without_leader event reported.
type GroupLeaderKnown struct {
	Group         uint32  `json:"group" doc:"consensus group; 0 is the control group, others are ledger groups"`
	Leader        uint64  `json:"leader" doc:"node that leads"`
	Term          uint64  `json:"term" doc:"term of that leader"`
	WithoutMs     float64 `json:"without_ms" doc:"how long this node knew no leader"`
	Terms         uint64  `json:"terms" doc:"number of terms that passed in that time"`
	PreCampaigns  uint64  `json:"pre_campaigns" doc:"number of pre-vote rounds that this node started in that time"`
	Campaigns     uint64  `json:"campaigns" doc:"number of elections that this node started in that time"`
	Overtaken     uint64  `json:"overtaken" doc:"of these, ended by another node's later term"`
	Expired       uint64  `json:"expired" doc:"of these, not decided within the election timeout"`
	Syncs         int     `json:"syncs" doc:"number of synced writes that ended in that time, over all groups"`
	LongestSyncMs float64 `json:"longest_sync_ms,omitempty" doc:"duration of the longest synced write"`
}

var groupLeaderKnownKind = newKind("group_leader_known", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*GroupLeaderKnown) Kind() *logging.Kind { return &groupLeaderKnownKind }

// GreetingRefused reports that this node rejected another control node's greeting and accepts no messages from it.
type GreetingRefused struct {
	Peer    uint64 `json:"peer" doc:"id of the node that sent the greeting"`
	Address string `json:"address,omitempty" doc:"address at which it says that it listens"`
	Reason  string `json:"reason" doc:"why the greeting was rejected"`
	Ends    string `json:"ends,omitempty" doc:"process that stops as a result: peer (its data folder is a different or an older one) or self"`
}

var greetingRefusedKind = newKind("greeting_refused", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*GreetingRefused) Kind() *logging.Kind { return &greetingRefusedKind }

// StreamRefused reports that another control node rejected this node's stream.
type StreamRefused struct {
	Peer    uint64 `json:"peer" doc:"id of the node that was expected"`
	Address string `json:"address" doc:"address that was connected to"`
	Reason  string `json:"reason" doc:"why the node at that address rejected the stream"`
	Ends    bool   `json:"ends,omitempty" doc:"whether this process stops as a result"`
}

var streamRefusedKind = newKind("stream_refused", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*StreamRefused) Kind() *logging.Kind { return &streamRefusedKind }

// VotersSilent reports that a leader has not heard some voters for a while.
type VotersSilent struct {
	Group      uint32        `json:"group" doc:"consensus group; 0 is the control group, others are ledger groups"`
	Voters     int           `json:"voters" doc:"number of voters of the group"`
	Heard      int           `json:"heard" doc:"number of voters heard recently, including this node"`
	Silent     []SilentVoter `json:"silent" doc:"the other voters, each with id, address, standby, silent_ms, counted_ms (the part of the silence that counts when a change is chosen) and leaving (it announced that it stops, or an operator asked it to)"`
	Learners   []SilentVoter `json:"learners,omitempty" doc:"nodes that are catching up, with the same fields"`
	Candidates []SilentVoter `json:"candidates,omitempty" doc:"nodes that recently asked to join the group, with the same fields"`
	LateLooks  int           `json:"late_looks,omitempty" doc:"number of checks of the group since the start that ran so late that counted_ms includes only a part of the time before them"`
	Change     string        `json:"change,omitempty" doc:"change that is being attempted: learner_added, promoted or removed"`
	Node       uint64        `json:"node_id,omitempty" doc:"node that the change concerns"`
	Cause      string        `json:"cause" doc:"why no change has been made yet"`
}

// SilentVoter describes a node of a group, or a candidate for it, as the group's leader sees it.
type SilentVoter struct {
	ID        uint64  `json:"id"`
	Address   string  `json:"address,omitempty"`
	Standby   bool    `json:"standby,omitempty"`
	SilentMs  float64 `json:"silent_ms"`
	CountedMs float64 `json:"counted_ms"`
	Leaving   bool    `json:"leaving,omitempty"`
}

var votersSilentKind = newKind("voters_silent", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*VotersSilent) Kind() *logging.Kind { return &votersSilentKind }
