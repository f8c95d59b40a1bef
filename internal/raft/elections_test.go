package raft

import (
	"math/rand"
	"testing"
)

// TestRefusedVotesAreCountedWithTheirReason guards against elections that fail without a trace: a group had no leader
// for over 40 s, and nothing showed whether votes were requested or why they were rejected. The voter counts each
// rejection with its reason and sends the reason in its reply, so that the candidate counts it as well.
func TestRefusedVotesAreCountedWithTheirReason(t *testing.T) {
	const voter, candidate, other = 1, 2, 3
	for name, example := range map[string]struct {
		hard    HardState
		leader  uint64
		request Message
		want    VoteCounts
		silent  bool
	}{
		"log behind":        {hard: HardState{Term: 4}, request: Message{Kind: MessageVote, Term: 5}, want: VoteCounts{Asked: 1, LogBehind: 1}},
		"voted for another": {hard: HardState{Term: 5, Vote: other}, request: Message{Kind: MessageVote, Term: 5, Index: 9, LogTerm: 4}, want: VoteCounts{Asked: 1, VotedForAnother: 1}},
		"a later term":      {hard: HardState{Term: 6}, request: Message{Kind: MessageVote, Term: 5, Index: 9, LogTerm: 4}, want: VoteCounts{Asked: 1, OldTerm: 1}},
		"the term asked":    {hard: HardState{Term: 5}, request: Message{Kind: MessagePreVote, Term: 5, Index: 9, LogTerm: 4}, want: VoteCounts{Asked: 1, OldTerm: 1}},
		"hears a leader":    {hard: HardState{Term: 4}, leader: other, request: Message{Kind: MessagePreVote, Term: 5, Index: 9, LogTerm: 4}, want: VoteCounts{Asked: 1, HearsLeader: 1}, silent: true},
		"granted":           {hard: HardState{Term: 4}, request: Message{Kind: MessageVote, Term: 5, Index: 9, LogTerm: 4}, want: VoteCounts{Asked: 1, Granted: 1}},
	} {
		node := newElectionNode(t, voter, example.hard)
		if example.leader != None {
			stepOrFail(t, node, Message{Kind: MessageHeartbeat, From: example.leader, To: voter, Term: example.hard.Term})
			syncAndCollect(node)
		}
		example.request.From, example.request.To = candidate, voter
		stepOrFail(t, node, example.request)
		counted := node.Elections()
		given := counted.peerVotes(candidate)
		counts := given.VotesGiven
		if example.request.Kind == MessagePreVote {
			counts = given.PreVotesGiven
		}
		if counts != example.want {
			t.Errorf("%s: the voter counts %+v, want %+v", name, counts, example.want)
		}
		replies := syncAndCollect(node)
		if example.silent {
			if len(replies) != 0 {
				t.Errorf("%s: got replies %+v, want none", name, replies)
			}
			continue
		}
		asking := newElectionNode(t, candidate, HardState{Term: 4})
		stepOrFail(t, asking, replies[0])
		counted = asking.Elections()
		wanted := counted.peerVotes(voter)
		counts = wanted.VotesWanted
		if example.request.Kind == MessagePreVote {
			counts = wanted.PreVotesWanted
		}
		example.want.Asked = 0
		if counts != example.want {
			t.Errorf("%s: the candidate counts %+v, want %+v", name, counts, example.want)
		}
	}
}

// TestUndecidedElectionsAreCounted ends one election by its timeout and another one by a later term of another node,
// and checks that each is counted under its cause.
func TestUndecidedElectionsAreCounted(t *testing.T) {
	node := newElectionNode(t, 1, HardState{Term: 4})
	before := node.Elections()
	stepOrFail(t, node, Message{Kind: MessageTimeoutNow, From: 2, To: 1, Term: 4})
	syncAll(node) // starts the election timer, which stops until the node's vote is synced
	for range 2 * defaultElectionTicks {
		node.Tick()
	}
	stepOrFail(t, node, Message{Kind: MessageTimeoutNow, From: 2, To: 1, Term: 5})
	stepOrFail(t, node, Message{Kind: MessageVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 4})
	counts := node.Elections().Since(before)
	if counts.Campaigns != 2 || counts.Expired != 1 || counts.Overtaken != 1 || counts.PreCampaigns == 0 {
		t.Fatalf("got %+v, want 2 campaigns, 1 expired, 1 overtaken and at least 1 pre-campaign", counts)
	}
	if asked := counts.peerVotes(2).VotesWanted.Asked; asked != 2 {
		t.Fatalf("node 2 was asked for %d votes, want 2", asked)
	}
}

// newElectionNode returns one of three voters whose log ends with entry 9 of term 4.
func newElectionNode(t *testing.T, id uint64, hard HardState) *Node {
	t.Helper()
	node, err := New(Config{ID: id, Random: rand.New(rand.NewSource(1))}, Restored{HardState: hard,
		Snapshot: Snapshot{Index: 9, Term: 4, Configuration: Configuration{Voters: []uint64{1, 2, 3}}}})
	if err != nil {
		t.Fatal(err)
	}
	return node
}

func stepOrFail(t *testing.T, node *Node, m Message) {
	t.Helper()
	if err := node.Step(m); err != nil {
		t.Fatal(err)
	}
}

// syncAndCollect syncs all work of a node and returns the messages that it sends after syncs, except for replies to
// heartbeats.
func syncAndCollect(node *Node) []Message {
	var sent []Message
	for node.HasReady() {
		ready := node.Ready()
		for _, m := range ready.Messages {
			if m.Kind != MessageHeartbeatReply {
				sent = append(sent, m)
			}
		}
		node.Advance(ready)
	}
	return sent
}
