package raft

import (
	"github.com/gravitational/trace"
)

// Node is one member of one group. It is not safe for concurrent use.
type Node struct {
	config Config
	id     uint64

	role   Role
	term   uint64
	vote   uint64
	leader uint64

	log            entryLog
	configurations configurationHistory
	snapshot       Snapshot // last one taken or received, sent to members behind the log; no data after ReleaseSnapshot

	electionElapsed  int
	leaderSeen       bool   // a leader was seen since the start; it may have been this node
	lastLeaderTerm   uint64 // the last term that is known to have had a leader
	electionTimeout  int
	heartbeatElapsed int

	preferredCandidate uint64 // the candidate that this node prefers or last preferred; see preferFirstCandidate
	preferenceTicks    int    // remaining ticks in which pre-votes for other candidates are rejected
	preVotes           []vote // answers to the running pre-vote
	votes              []vote // answers to this node's election in the current term
	electionOpen       bool   // this node stands for election in the current term and has neither won nor lost
	transferCampaign   bool   // the leader requested this campaign (leadership transfer)

	// Leader only.
	progress              []*progress // sorted by node; includes this node if it is a member
	uncommittedBytes      int
	outstandingReadyTicks int    // ticks since the outstanding Ready was taken
	heartbeatCommit       uint64 // commit index at the last heartbeat; a learner must hold it to be promoted
	transferTarget        uint64
	reads                 []pendingRead
	readRound             uint64
	flushNeeded           bool

	output      output
	lastChecked invariantState
	elections   Elections // statistics for operators
}

// New returns a node that continues from the state on its disk. It returns an error if the stored state is
// inconsistent, since continuing from such a state could lose entries that this node has acknowledged.
func New(config Config, restored Restored) (*Node, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := restored.validate(); err != nil {
		return nil, trace.Wrap(err, "the stored state of node %x contradicts itself", config.ID)
	}
	snapshot, hard := restored.Snapshot, restored.HardState
	n := &Node{config: config, id: config.ID, term: hard.Term, vote: hard.Vote, snapshot: snapshot}
	if config.Unsafe.IgnorePersistedVote {
		n.vote = None
	}
	n.log.reset(snapshot.Index, snapshot.Term)
	n.log.applied = snapshot.Index
	n.log.append(restored.Entries...)
	n.log.stable = n.log.lastIndex()
	n.log.commitTo(max(hard.Commit, snapshot.Index))
	n.configurations = configurationHistory{{index: snapshot.Index, configuration: snapshot.Configuration.Clone()}}
	n.configurations.add(restored.Entries)
	n.lastLeaderTerm = n.log.lastTerm()
	n.output.persisted = HardState{Term: hard.Term, Vote: hard.Vote, Commit: hard.Commit}
	n.becomeFollower(n.term, None)
	n.checkInvariants()
	return n, nil
}

func (c Config) withDefaults() (Config, error) {
	if c.ID == None || c.Random == nil {
		return c, trace.BadParameter("raft: a node needs an ID and a source of randomness")
	}
	for _, option := range []struct {
		value        *int
		defaultValue int
	}{
		{&c.ElectionTicks, 10},
		{&c.HeartbeatTicks, 1},
		{&c.MaxAppendBytes, 1 << 20},
		{&c.MaxInflightAppends, 64},
		{&c.MaxUncommittedBytes, 64 << 20},
		{&c.RetainedEntries, 1000},
		{&c.RetainedBytes, 16 << 20},
	} {
		if *option.value < 0 {
			return c, trace.BadParameter("raft: a configuration option is negative: %d", *option.value)
		}
		if *option.value == 0 {
			*option.value = option.defaultValue
		}
	}
	if c.TransferRetainedBytes == 0 {
		c.TransferRetainedBytes = 4 * c.RetainedBytes
	}
	if c.SnapshotRetryTicks == 0 {
		c.SnapshotRetryTicks = 5 * c.ElectionTicks
	}
	if c.ElectionTicks <= c.HeartbeatTicks || c.SnapshotRetryTicks < 0 || c.CampaignDelayTicks < 0 || c.TransferRetainedBytes < 0 {
		return c, trace.BadParameter(
			"raft: %d election ticks must exceed %d heartbeat ticks, and the snapshot retry, the campaign delay and the entries retained for a transfer must not be negative",
			c.ElectionTicks, c.HeartbeatTicks)
	}
	return c, nil
}

func (r Restored) validate() error {
	if err := r.Snapshot.Configuration.validate(); err != nil {
		return trace.Wrap(err)
	}
	last, term := r.Snapshot.Index, r.Snapshot.Term
	for _, entry := range r.Entries {
		if entry.Index != last+1 || entry.Term < term || entry.Term == 0 {
			return trace.BadParameter("entry %d of term %d follows entry %d of term %d", entry.Index, entry.Term, last, term)
		}
		if entry.Kind == EntryConfiguration {
			if _, err := DecodeConfigurationChange(entry.Data); err != nil {
				return trace.Wrap(err)
			}
		}
		last, term = entry.Index, entry.Term
	}
	if term > r.HardState.Term {
		return trace.BadParameter("entry %d is of term %d, but the stored term is %d", last, term, r.HardState.Term)
	}
	if r.HardState.Commit > last {
		return trace.BadParameter("commit %d is past the last entry %d", r.HardState.Commit, last)
	}
	return nil
}

// Tick advances the node's logical clock by one tick.
func (n *Node) Tick() {
	defer n.checkInvariants()
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !n.tickElection() {
		return
	}
	n.countExpiredElection()
	if n.canCampaign() {
		n.campaignForPreVotes()
		return
	}
	n.leader = None // it may have been promoted to voter without knowing, so it must answer vote requests
}

// Step processes a message from another node. It returns ErrContradiction, and the message has no effect, if no
// correct peer could have sent it. Messages of earlier terms and duplicates are no error.
func (n *Node) Step(m Message) error {
	defer n.checkInvariants()
	if err := n.validate(m); err != nil {
		return err
	}
	n.countVoteMessage(m)
	switch {
	case m.Term > n.term:
		if n.shouldIgnoreVoteRequest(m) {
			n.elections.answerCounts(m.From, m.Kind).HearsLeader++
			return nil
		}
		if hasStartedTerm(m) {
			n.countOvertakenElection()
			n.becomeFollower(m.Term, None)
		}
	case m.Term < n.term:
		n.replyToOldTerm(m)
		return nil
	}
	return n.dispatch(m)
}

// hasStartedTerm reports whether the term of m has started. A pre-vote, and a reply that grants one, carry the term
// that the candidate would start.
func hasStartedTerm(m Message) bool {
	return m.Kind != MessagePreVote && (m.Kind != MessagePreVoteReply || m.Reject)
}

func (n *Node) dispatch(m Message) error {
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.handleVoteRequest(m)
	case MessagePreVoteReply, MessageVoteReply:
		n.handleVoteReply(m)
	case MessageAppend:
		return n.handleAppend(m)
	case MessageHeartbeat:
		n.handleHeartbeat(m)
	case MessageSnapshot:
		n.handleSnapshot(m)
	case MessageAppendReply:
		return n.handleAppendReply(m)
	case MessageHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow()
	}
	return nil
}

// replyToOldTerm tells a leader or candidate of an earlier term that its term is over. Without the reply, a node
// whose term advanced while it was partitioned could never rejoin: it drops the leader's messages, which are of an
// earlier term, and the others ignore its vote requests, since they hear a leader.
func (n *Node) replyToOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Kind: MessageAppendReply, To: m.From, Term: n.term})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: n.term, Reject: true, Context: n.countVoteAnswer(m, false)})
	case MessageVote:
		n.send(Message{Kind: MessageVoteReply, To: m.From, Term: n.term, Reject: true, Context: n.countVoteAnswer(m, false)})
	}
}

// validate rejects messages that no correct peer sends, before they have an effect.
func (n *Node) validate(m Message) error {
	if m.To != n.id || m.From == None || m.From == n.id {
		return newContradiction(m, "addressed to node %x, received by node %x", m.To, n.id)
	}
	switch m.Kind {
	case MessageAppend:
		if err := validateEntries(m); err != nil {
			return err
		}
	case MessageSnapshot:
		if m.Snapshot == nil || m.Snapshot.Term > m.Term || m.Snapshot.Configuration.validate() != nil {
			return newContradiction(m, "no valid snapshot")
		}
	}
	fromLeader := m.Kind == MessageAppend || m.Kind == MessageHeartbeat || m.Kind == MessageSnapshot
	if fromLeader && m.Term == n.term && n.leader != None && n.leader != m.From {
		return newContradiction(m, "the leader of this term is node %x", n.leader)
	}
	return nil
}

func validateEntries(m Message) error {
	index, term := m.Index, m.LogTerm
	for _, entry := range m.Entries {
		if entry.Index != index+1 || entry.Term < term || entry.Term > m.Term || entry.Term == 0 {
			return newContradiction(m, "entry %d of term %d follows entry %d of term %d", entry.Index, entry.Term, index, term)
		}
		if entry.Kind == EntryConfiguration {
			if _, err := DecodeConfigurationChange(entry.Data); err != nil {
				return newContradiction(m, "%v", err)
			}
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}

// becomeFollower gives up the current role. A new term clears the vote; leader is None if it is unknown.
func (n *Node) becomeFollower(term, leader uint64) {
	if term != n.term {
		n.term, n.vote = term, None
		n.clearPreferredCandidate()
	}
	n.role, n.leader, n.electionOpen = Follower, leader, false
	n.resetRole()
}

// resetRole clears the state that belongs to a role or a term.
func (n *Node) resetRole() {
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.randomizeElectionTimeout()
	n.preVotes = n.preVotes[:0]
	n.progress, n.reads = nil, nil
	n.uncommittedBytes, n.transferTarget = 0, None
	n.flushNeeded = false
}

// configuration returns the configuration in force on this node.
func (n *Node) configuration() Configuration { return n.configurations.latest().configuration }
