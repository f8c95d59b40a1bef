package raft

import (
	"math/rand"
	"testing"
)

// newFiveVoterNode returns one of five voters. The test writes the messages of the others.
func newFiveVoterNode(t *testing.T, hard HardState, entries ...Entry) *Node {
	t.Helper()
	node, err := New(Config{ID: 1, HeartbeatTicks: 2, Random: rand.New(rand.NewSource(1))},
		Restored{HardState: hard, Snapshot: Snapshot{Configuration: Configuration{Voters: []uint64{1, 2, 3, 4, 5}}}, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return node
}

func (n *Node) mustStep(t *testing.T, m Message) {
	t.Helper()
	m.To = n.id
	if err := n.Step(m); err != nil {
		t.Fatal(err)
	}
}

// syncAll runs the driver until the node has no work left, and returns the messages that were sent.
func syncAll(n *Node) []Message {
	var sent []Message
	for n.HasReady() {
		ready := n.Ready()
		sent = append(append(sent, ready.EarlyMessages...), ready.Messages...)
		n.Advance(ready)
	}
	return sent
}

// tickUntil ticks the node until it has the given role.
func tickUntil(t *testing.T, n *Node, role Role) {
	t.Helper()
	for range 20 * defaultElectionTicks {
		if n.role == role {
			return
		}
		n.Tick()
	}
	t.Fatalf("the node did not become %v: %+v", role, n.Status())
}

// standForElection makes a node a candidate in a new term, which is not synced yet.
func standForElection(t *testing.T, n *Node) {
	t.Helper()
	tickUntil(t, n, PreCandidate)
	syncAll(n)
	for voter := uint64(2); voter <= 3; voter++ {
		n.mustStep(t, Message{Kind: MessagePreVoteReply, From: voter, Term: n.term + 1})
	}
	if n.role != Candidate {
		t.Fatalf("the node is no candidate with three of five pre-votes: %+v", n.Status())
	}
}

// TestElectionTimerStopsDuringSyncOfOwnVote guards against a candidate that starts its next campaign before the
// requests of the current one have left, because its own sync of 450 ms takes longer than its election timeout.
func TestElectionTimerStopsDuringSyncOfOwnVote(t *testing.T) {
	n := newFiveVoterNode(t, HardState{})
	standForElection(t, n)
	ready := n.Ready()
	for range 50 * defaultElectionTicks {
		n.Tick()
	}
	if n.role != Candidate || n.term != 1 {
		t.Fatalf("the node ended its campaign in term 1 while its vote was being synced: %+v", n.Status())
	}
	n.Advance(ready)
	tickUntil(t, n, PreCandidate) // no voter answers, so the campaign times out
}

// TestLateVotesCount guards against the loss of a won election: votes that arrived after their candidate had started
// a pre-vote for the next term were dropped.
func TestLateVotesCount(t *testing.T) {
	n := newFiveVoterNode(t, HardState{})
	standForElection(t, n)
	syncAll(n)
	tickUntil(t, n, PreCandidate)
	n.mustStep(t, Message{Kind: MessageVoteReply, From: 4, Term: 1})
	if n.role == Leader {
		t.Fatal("the node leads with two of five votes")
	}
	n.mustStep(t, Message{Kind: MessageVoteReply, From: 5, Term: 1})
	if n.role != Leader || n.term != 1 {
		t.Fatalf("the node does not lead term 1 with three of five votes: %+v", n.Status())
	}
}

// TestLateVotesOfALostElectionDoNotCount guards against late votes that make a node leader after a quorum has
// rejected it or it has heard another leader of the term.
func TestLateVotesOfALostElectionDoNotCount(t *testing.T) {
	for name, end := range map[string]func(*Node){
		"refused": func(n *Node) {
			for voter := uint64(2); voter <= 4; voter++ {
				n.mustStep(t, Message{Kind: MessageVoteReply, From: voter, Term: 1, Reject: true})
			}
		},
		"led": func(n *Node) { n.mustStep(t, Message{Kind: MessageHeartbeat, From: 2, Term: 1}) },
	} {
		n := newFiveVoterNode(t, HardState{})
		standForElection(t, n)
		syncAll(n)
		end(n)
		for voter := uint64(2); voter <= 5; voter++ {
			n.mustStep(t, Message{Kind: MessageVoteReply, From: voter, Term: 1})
		}
		if n.role != Follower {
			t.Errorf("%s: the node is no follower: %+v", name, n.Status())
		}
	}
}

// grantsPreVote reports whether a node grants a pre-vote that another node requests.
func grantsPreVote(t *testing.T, n *Node, from uint64) bool {
	t.Helper()
	n.mustStep(t, Message{Kind: MessagePreVote, From: from, Term: n.term + 1})
	for _, m := range syncAll(n) {
		if m.Kind == MessagePreVoteReply && m.To == from {
			return !m.Reject
		}
	}
	t.Fatalf("node %d got no answer to its pre-vote request", from)
	return false
}

// TestFirstPreVoteCandidateIsPreferred guards against split votes: voters that had granted one candidate's pre-vote
// or vote at once granted pre-votes for another one, which split the votes of the term and started the next term
// before the first candidate could win.
func TestFirstPreVoteCandidateIsPreferred(t *testing.T) {
	n := newFiveVoterNode(t, HardState{})
	for range 2 { // a preferred candidate may repeat its request
		if !grantsPreVote(t, n, 3) {
			t.Fatal("the first candidate's pre-vote is rejected")
		}
	}
	if grantsPreVote(t, n, 2) {
		t.Fatal("a second candidate is granted a pre-vote during the first one's election timeout")
	}
	for range n.minElectionTimeout() {
		n.Tick()
	}
	// From now until the next term no candidate is preferred: one that can't win must not block one that can.
	for _, other := range []uint64{2, 3, 4} {
		if !grantsPreVote(t, n, other) {
			t.Errorf("node %d is denied a pre-vote after the preference for the first candidate has ended", other)
		}
	}
	n.mustStep(t, Message{Kind: MessageVote, From: 4, Term: 1})
	syncAll(n)
	if grantsPreVote(t, n, 2) {
		t.Error("a pre-vote for the next term is granted right after a vote")
	}
}

// TestTimeoutsGrowWithTermsWithoutALeader checks that election timeouts double with each term without a leader, also
// across a restart, since the log tells the last leader's term: otherwise restarted nodes would overtake the others.
// A leader that is heard ends the backoff.
func TestTimeoutsGrowWithTermsWithoutALeader(t *testing.T) {
	for _, example := range []struct {
		term  uint64
		ticks int
	}{{1, 2}, {2, 4}, {4, 16}, {6, 64}, {7, 80}, {1 << 40, 80}} {
		n := newFiveVoterNode(t, HardState{Term: example.term}, Entry{Index: 1, Term: 1})
		if got := n.minElectionTimeout(); got != example.ticks {
			t.Errorf("in term %d after a leader of term 1: %d ticks, want %d", example.term, got, example.ticks)
		}
		n.mustStep(t, Message{Kind: MessageHeartbeat, From: 2, Term: example.term})
		if n.electionTimeout < defaultElectionTicks || n.electionTimeout >= 2*defaultElectionTicks {
			t.Errorf("after a leader was heard the timeout is %d ticks, want at least the default and less than twice as many", n.electionTimeout)
		}
	}
}

// TestPreferredCandidateGetsTheVote guards against a voter that ignores the vote request of the candidate whose
// pre-vote it granted. The granted pre-vote restarted the voter's timer for the lost leader, so that it counted as
// heard again; a lost leader was replaced after 41 ticks instead of 16.
func TestPreferredCandidateGetsTheVote(t *testing.T) {
	n := newFiveVoterNode(t, HardState{})
	n.mustStep(t, Message{Kind: MessageHeartbeat, From: 2, Term: 1})
	for range defaultElectionTicks {
		n.Tick()
	}
	if !grantsPreVote(t, n, 3) {
		t.Fatal("the pre-vote is rejected though the leader has been silent for an election timeout")
	}
	n.mustStep(t, Message{Kind: MessageVote, From: 3, Term: 2})
	if n.vote != 3 {
		t.Fatalf("the node did not vote for candidate 3: %+v", n.Status())
	}
}

// TestEarlyHeartbeatReplyDoesNotResendProbe guards against needless resends: while a member's disk is busy it still
// answers each heartbeat, and with every answer the leader would send the same probe of up to 1 MiB again.
func TestEarlyHeartbeatReplyDoesNotResendProbe(t *testing.T) {
	n := newFiveVoterNode(t, HardState{})
	standForElection(t, n)
	syncAll(n)
	for voter := uint64(2); voter <= 3; voter++ {
		n.mustStep(t, Message{Kind: MessageVoteReply, From: voter, Term: 1})
	}
	syncAll(n) // sends the probe
	for _, ahead := range []bool{true, false} {
		n.mustStep(t, Message{Kind: MessageHeartbeatReply, From: 2, Term: 1, Reject: ahead})
		probes := 0
		for _, m := range syncAll(n) {
			if m.Kind == MessageAppend && m.To == 2 {
				probes++
			}
		}
		if sent := probes > 0; sent == ahead {
			t.Errorf("heartbeat reply that overtook earlier replies: %v; got %d probes, want one or more only if it did not", ahead, probes)
		}
	}
}
