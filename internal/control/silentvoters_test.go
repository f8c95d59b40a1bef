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

// TestLeaderLogsSilentVoters kills one of three nodes while no other node asks to join. The leader must log the silent
// voter and that no node asks for its place. Without this event, logs of a group that had no leader for over 40 s did
// not show which voters its last leader had still heard, nor why it had not replaced the others.
func TestLeaderLogsSilentVoters(t *testing.T) {
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
	eventually(t, "the leader to log a silent voter", func() bool {
		event = lastVotersSilent(hook)
		return event != nil
	})
	if event.Voters != 3 || event.Heard != 2 || len(event.Silent) != 1 || event.Change != "" {
		t.Fatalf("got %+v, want one silent voter of three and no change", event)
	}
	silent := event.Silent[0]
	if silent.ID != id || silent.Address != address || silent.SilentMs < events.Millis(silentVoterLogDelay) {
		t.Errorf("got silent voter %+v, want the killed node", silent)
	}
	if event.Cause != "only nodes of the group ask to carry it" && event.Cause != "no node asks to carry the group" {
		t.Errorf("got cause %q, want that no other node asks", event.Cause)
	}
	requireMetric(t, c.servers[c.leader()], "tamarindring_control_silent_voters")
	requireMetric(t, c.servers[c.leader()], "tamarindring_control_votes_refused_total")
	requireMetric(t, c.servers[c.leader()], "tamarindring_control_without_leader_seconds")
}

func lastVotersSilent(hook *logrustest.Hook) *events.VotersSilent {
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

// TestReasonsForNoGroupChange checks the logged reason why a group still has silent voters.
func TestReasonsForNoGroupChange(t *testing.T) {
	const size = 3
	voters := func(silence time.Duration) []member.GroupNode {
		return []member.GroupNode{{ID: 1, IsLeader: true}, {ID: 2}, {ID: 3, Silence: silence}}
	}
	candidates := []member.GroupNode{{ID: 9}}
	for want, example := range map[string]struct {
		observed member.Group
		change   member.GroupChange
		failure  error
	}{
		"the last change failed: no quorum": {observed: member.Group{Voters: voters(voterSilenceLimit), Candidates: candidates},
			change: member.GroupChange{Kind: member.AddLearner, Node: 9}, failure: errors.New("no quorum")},
		"the change is under way": {observed: member.Group{Voters: voters(voterSilenceLimit), Candidates: candidates},
			change: member.GroupChange{Kind: member.AddLearner, Node: 9}},
		"one voter too many, and none that may go":                                              {observed: member.Group{Voters: append(voters(0), member.GroupNode{ID: 4})}},
		"no node asks to carry the group":                                                       {observed: member.Group{Voters: voters(voterSilenceLimit)}},
		"only nodes of the group ask to carry it":                                               {observed: member.Group{Voters: voters(voterSilenceLimit), Candidates: []member.GroupNode{{ID: 3}}}},
		"the silence that counts is too short: of the time before a late look only a part does": {observed: member.Group{Voters: voters(voterSilenceLimit - 1), Candidates: candidates}},
		"no candidate may take the place":                                                       {observed: member.Group{Voters: voters(voterSilenceLimit), Candidates: candidates}},
	} {
		if got := whyNoChange(example.observed, example.change, size, example.failure); got != want {
			t.Errorf("got reason %q, want %q", got, want)
		}
	}
}
