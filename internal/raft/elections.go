package raft

// VoteCounts counts requests for votes, or for pre-votes, from one node to another, and the answers to them.
type VoteCounts struct {
	Asked           uint64 // requests
	Granted         uint64
	LogBehind       uint64 // rejected: the candidate's log is behind the voter's
	VotedForAnother uint64 // rejected: the voter has voted for another candidate in this term, or prefers one
	HearsLeader     uint64 // rejected or ignored: the voter hears a leader
	OldTerm         uint64 // rejected: the voter's term is later
	Unsaid          uint64 // rejected without a reason, as by older versions
}

// refusalReason is the reason for which a vote was rejected. It is sent as the reply's Context and only counted.
type refusalReason uint64

const (
	refusedWithoutReason refusalReason = iota
	refusedLogBehind
	refusedVotedForAnother
	refusedHearsLeader
	refusedOldTerm
)

// addRefusal counts a rejection with the given reason.
func (c *VoteCounts) addRefusal(reason refusalReason) {
	switch reason {
	case refusedLogBehind:
		c.LogBehind++
	case refusedVotedForAnother:
		c.VotedForAnother++
	case refusedHearsLeader:
		c.HearsLeader++
	case refusedOldTerm:
		c.OldTerm++
	default:
		c.Unsaid++
	}
}

// Plus returns the sum of two counts.
func (c VoteCounts) Plus(other VoteCounts) VoteCounts {
	return VoteCounts{
		Asked:           c.Asked + other.Asked,
		Granted:         c.Granted + other.Granted,
		LogBehind:       c.LogBehind + other.LogBehind,
		VotedForAnother: c.VotedForAnother + other.VotedForAnother,
		HearsLeader:     c.HearsLeader + other.HearsLeader,
		OldTerm:         c.OldTerm + other.OldTerm,
		Unsaid:          c.Unsaid + other.Unsaid,
	}
}

// minus returns the difference between c and before.
func (c VoteCounts) minus(before VoteCounts) VoteCounts {
	return VoteCounts{
		Asked:           c.Asked - before.Asked,
		Granted:         c.Granted - before.Granted,
		LogBehind:       c.LogBehind - before.LogBehind,
		VotedForAnother: c.VotedForAnother - before.VotedForAnother,
		HearsLeader:     c.HearsLeader - before.HearsLeader,
		OldTerm:         c.OldTerm - before.OldTerm,
		Unsaid:          c.Unsaid - before.Unsaid,
	}
}

// PeerVotes counts the vote requests between this node and one other node.
type PeerVotes struct {
	Node           uint64
	PreVotesWanted VoteCounts // requests of this node and the other node's answers
	VotesWanted    VoteCounts // the same for votes
	PreVotesGiven  VoteCounts // requests of the other node and this node's answers
	VotesGiven     VoteCounts // the same for votes
}

// Elections counts a node's campaigns since its start. The counts are for operators; the protocol does not use them.
type Elections struct {
	PreCampaigns uint64 // pre-votes started
	Campaigns    uint64 // elections started, each in a new term
	Overtaken    uint64 // elections that ended because another node started a later term
	Expired      uint64 // elections that were not decided within the election timeout
	Peers        []PeerVotes
}

// Elections returns a copy of the counts since the node's start.
func (n *Node) Elections() Elections {
	counts := n.elections
	counts.Peers = append([]PeerVotes(nil), n.elections.Peers...)
	return counts
}

// Since returns the counts since before, which must be an earlier result for the same node.
func (e Elections) Since(before Elections) Elections {
	counts := Elections{
		PreCampaigns: e.PreCampaigns - before.PreCampaigns,
		Campaigns:    e.Campaigns - before.Campaigns,
		Overtaken:    e.Overtaken - before.Overtaken,
		Expired:      e.Expired - before.Expired,
	}
	for _, now := range e.Peers {
		then := PeerVotes{}
		for _, known := range before.Peers {
			if known.Node == now.Node {
				then = known
			}
		}
		counts.Peers = append(counts.Peers, PeerVotes{
			Node:           now.Node,
			PreVotesWanted: now.PreVotesWanted.minus(then.PreVotesWanted),
			VotesWanted:    now.VotesWanted.minus(then.VotesWanted),
			PreVotesGiven:  now.PreVotesGiven.minus(then.PreVotesGiven),
			VotesGiven:     now.VotesGiven.minus(then.VotesGiven),
		})
	}
	return counts
}

// peerVotes returns the counts for node, which it adds if they are missing.
func (e *Elections) peerVotes(node uint64) *PeerVotes {
	for position := range e.Peers {
		if e.Peers[position].Node == node {
			return &e.Peers[position]
		}
	}
	e.Peers = append(e.Peers, PeerVotes{Node: node})
	return &e.Peers[len(e.Peers)-1]
}

// requestCounts returns the counts of this node's requests to node; kind is that of the request or of its reply.
func (e *Elections) requestCounts(node uint64, kind MessageKind) *VoteCounts {
	if kind == MessagePreVote || kind == MessagePreVoteReply {
		return &e.peerVotes(node).PreVotesWanted
	}
	return &e.peerVotes(node).VotesWanted
}

// answerCounts returns the counts of node's requests to this node; kind is that of the request.
func (e *Elections) answerCounts(node uint64, kind MessageKind) *VoteCounts {
	if kind == MessagePreVote {
		return &e.peerVotes(node).PreVotesGiven
	}
	return &e.peerVotes(node).VotesGiven
}

// countVoteMessage counts a vote request or reply, before it is processed.
func (n *Node) countVoteMessage(m Message) {
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.elections.answerCounts(m.From, m.Kind).Asked++
	case MessagePreVoteReply, MessageVoteReply:
		counts := n.elections.requestCounts(m.From, m.Kind)
		if m.Reject {
			counts.addRefusal(refusalReason(m.Context))
		} else {
			counts.Granted++
		}
	}
}

// countOvertakenElection counts this node's running election as ended by a later term.
func (n *Node) countOvertakenElection() {
	if n.role == Candidate {
		n.elections.Overtaken++
	}
}

// countExpiredElection counts this node's running election as ended by its timeout.
func (n *Node) countExpiredElection() {
	if n.role == Candidate {
		n.elections.Expired++
	}
}

// classifyRefusal returns the reason for which this node rejects the vote request m.
func (n *Node) classifyRefusal(m Message) refusalReason {
	switch {
	case m.Term < n.term || m.Kind == MessagePreVote && m.Term == n.term:
		return refusedOldTerm
	case m.Kind == MessagePreVote && n.prefersOtherCandidate(m):
		return refusedVotedForAnother
	case m.Kind == MessageVote && n.vote != None && n.vote != m.From:
		return refusedVotedForAnother
	case m.Kind == MessageVote && n.vote == None && n.leader != None:
		return refusedHearsLeader
	}
	return refusedLogBehind
}

// countVoteAnswer counts this node's answer to the vote request m, and returns the Context of the reply: the reason
// of a rejection.
func (n *Node) countVoteAnswer(m Message, granted bool) uint64 {
	counts := n.elections.answerCounts(m.From, m.Kind)
	if granted {
		counts.Granted++
		return 0
	}
	reason := n.classifyRefusal(m)
	counts.addRefusal(reason)
	return uint64(reason)
}
