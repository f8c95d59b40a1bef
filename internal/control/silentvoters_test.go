package control

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/member"
)

// TestLeaderTellsOfVotersThatItDoesNotHear: the record of a group without a leader for over 40 s did not show which
// voters its last leader had still heard, nor why it had not replaced the others. One of three nodes is killed and none
// asks for its place: the leader names it, and says that nobody asks.
func TestLeaderTellsOfVotersThatItDoesNotHear(t *testing.T) {
	hook := new(logrustest.Hook)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.AddHook(hook)
	c := startSeededWith(t, &seededCluster{log: logrus.NewEntry(logger)})
	c.awaitVoters(0, 1, 2)
	lost := (c.leader() + 1) % 3
	id, address := c.servers[lost].config.NodeID, c.servers[lost].Address()
	c.kill(lost)
	var event *events.VotersSilent
	eventually(t, "the leader's line", func() bool {
		event = lastSilent(hook)
		return event != nil
	})
	if event.Voters != 3 || event.Heard != 2 || len(event.Silent) != 1 || event.Change != "" {
		t.Fatalf("%+v", event)
	}
	silent := event.Silent[0]
	if silent.ID != id || silent.Address != address || silent.SilentMs < events.Millis(silentVoterLogDelay) {
		t.Errorf("%+v", silent)
	}
	if event.Cause != "only nodes of the group ask to carry it" && event.Cause != "no node asks to carry the group" {
		t.Errorf("cause %q", event.Cause)
	}
	gatherHas(t, c.servers[c.leader()], "tamarindring_control_silent_voters")
	gatherHas(t, c.servers[c.leader()], "tamarindring_control_votes_refused_total")
	gatherHas(t, c.servers[c.leader()], "tamarindring_control_without_leader_seconds")
}

func lastSilent(hook *logrustest.Hook) *events.VotersSilent {
	var last *events.VotersSilent
	for _, entry := range hook.AllEntries() {
		for _, value := range entry.Data {
			if event, is := value.(*events.VotersSilent); is {
				last = event
			}
		}
	}
	return last
}

func TestWhyAGroupKeepsItsSilentVoters(t *testing.T) {
	const size = 3
	voters := func(silence time.Duration) []member.GroupNode {
		return []member.GroupNode{{ID: 1, Leads: true}, {ID: 2}, {ID: 3, Silence: silence}}
	}
	asks := []member.GroupNode{{ID: 9}}
	for want, example := range map[string]struct {
		seen    member.Group
		change  member.GroupChange
		failure error
	}{
		"the last change failed: no quorum": {seen: member.Group{Voters: voters(voterSilenceLimit), Candidates: asks},
			change: member.GroupChange{Kind: member.AddLearner, Node: 9}, failure: errors.New("no quorum")},
		"the change is under way": {seen: member.Group{Voters: voters(voterSilenceLimit), Candidates: asks},
			change: member.GroupChange{Kind: member.AddLearner, Node: 9}},
		"one voter too many, and none that may go":                                              {seen: member.Group{Voters: append(voters(0), member.GroupNode{ID: 4})}},
		"no node asks to carry the group":                                                       {seen: member.Group{Voters: voters(voterSilenceLimit)}},
		"only nodes of the group ask to carry it":                                               {seen: member.Group{Voters: voters(voterSilenceLimit), Candidates: []member.GroupNode{{ID: 3}}}},
		"the silence that counts is too short: of the time before a late look only a part does": {seen: member.Group{Voters: voters(voterSilenceLimit - 1), Candidates: asks}},
		"no candidate may take the place":                                                       {seen: member.Group{Voters: voters(voterSilenceLimit), Candidates: asks}},
	} {
		if got := whyNoChange(example.seen, example.change, size, example.failure); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
