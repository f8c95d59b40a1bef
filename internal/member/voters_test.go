package member

import (
	"testing"
	"time"
)

func TestNextGroupChange(t *testing.T) {
	const patience = 2 * time.Second
	voter := func(id uint64, address string, silence time.Duration) GroupNode {
		return GroupNode{ID: id, Address: address, Silence: silence}
	}
	a, b := voter(1, "a", 0), voter(2, "b", 0)
	silent, lost := voter(3, "c", time.Second), voter(3, "c", patience)
	elsewhere, same := voter(9, "d", 0), voter(9, "c", 0)
	for name, test := range map[string]struct {
		group Group
		want  GroupChange
	}{
		"all answer":                          {Group{Voters: []GroupNode{a, b, voter(3, "c", 0)}, Candidates: []GroupNode{elsewhere}}, GroupChange{}},
		"no candidate":                        {Group{Voters: []GroupNode{a, b, lost}}, GroupChange{}},
		"silent for less than patience":       {Group{Voters: []GroupNode{a, b, silent}, Candidates: []GroupNode{elsewhere}}, GroupChange{}},
		"silent for patience":                 {Group{Voters: []GroupNode{a, b, lost}, Candidates: []GroupNode{elsewhere}}, GroupChange{AddLearner, 9}},
		"same address at once":                {Group{Voters: []GroupNode{a, b, silent}, Candidates: []GroupNode{same}}, GroupChange{AddLearner, 9}},
		"leaving":                             {Group{Voters: []GroupNode{a, b, {ID: 3, Address: "c", Leaving: true}}, Candidates: []GroupNode{elsewhere}}, GroupChange{AddLearner, 9}},
		"leaving, no candidate":               {Group{Voters: []GroupNode{a, b, {ID: 3, Address: "c", Leaving: true}}}, GroupChange{}},
		"left, surplus voter":                 {Group{Voters: []GroupNode{a, b, {ID: 3, Address: "c", Silence: time.Second, Leaving: true}, elsewhere}}, GroupChange{RemoveNode, 3}},
		"too few voters":                      {Group{Voters: []GroupNode{a, b}, Candidates: []GroupNode{elsewhere}}, GroupChange{AddLearner, 9}},
		"learner":                             {Group{Voters: []GroupNode{a, b, lost}, Learners: []GroupNode{elsewhere}, Candidates: []GroupNode{elsewhere}}, GroupChange{PromoteLearner, 9}},
		"lost voter returns before promotion": {Group{Voters: []GroupNode{a, b, voter(3, "c", 0)}, Learners: []GroupNode{elsewhere}, Candidates: []GroupNode{elsewhere}}, GroupChange{}},
		"learner, too few voters":             {Group{Voters: []GroupNode{a, b}, Learners: []GroupNode{elsewhere}, Candidates: []GroupNode{elsewhere}}, GroupChange{PromoteLearner, 9}},
		"learner in its place":                {Group{Voters: []GroupNode{a, b, silent}, Learners: []GroupNode{same}, Candidates: []GroupNode{same}}, GroupChange{PromoteLearner, 9}},
		"learner lost again":                  {Group{Voters: []GroupNode{a, b, lost}, Learners: []GroupNode{voter(8, "c", patience)}, Candidates: []GroupNode{same}}, GroupChange{RemoveNode, 8}},
		"surplus voter is silent":             {Group{Voters: []GroupNode{a, b, lost, elsewhere}}, GroupChange{RemoveNode, 3}},
		"address taken over":                  {Group{Voters: []GroupNode{a, b, silent, same}}, GroupChange{RemoveNode, 3}},
		"replaced voter returns":              {Group{Voters: []GroupNode{a, b, voter(3, "c", 0), elsewhere}}, GroupChange{}},
	} {
		if got := NextGroupChange(test.group, 3, patience); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}

// TestStandbysAreReplacedByRegularNodes covers groups of five voters, some of them standbys.
func TestStandbysAreReplacedByRegularNodes(t *testing.T) {
	const patience = 2 * time.Second
	regular := func(id uint64) GroupNode { return GroupNode{ID: id, Address: string(rune('a' + id))} }
	standby := func(id uint64) GroupNode { return GroupNode{ID: id, Address: string(rune('a' + id)), Standby: true} }
	modified := func(node GroupNode, change func(*GroupNode)) GroupNode { change(&node); return node }
	leaving := func(node *GroupNode) { node.Leaving = true }
	lost := func(node *GroupNode) { node.Silence = patience }
	leads := func(node *GroupNode) { node.IsLeader = true }
	five := []GroupNode{regular(1), regular(2), regular(3), standby(4), standby(5)}
	replaced := func(position int, change func(*GroupNode)) []GroupNode {
		voters := append([]GroupNode(nil), five...)
		change(&voters[position])
		return voters
	}
	for name, test := range map[string]struct {
		group Group
		want  GroupChange
	}{
		"standbys fill free places":                          {Group{Voters: five[:3], Candidates: []GroupNode{standby(5), standby(4)}}, GroupChange{AddLearner, 4}},
		"regular candidates come first":                      {Group{Voters: five[:3], Candidates: []GroupNode{standby(4), regular(9)}}, GroupChange{AddLearner, 9}},
		"a standby waits":                                    {Group{Voters: five, Candidates: []GroupNode{standby(6)}}, GroupChange{}},
		"a standby is replaced":                              {Group{Voters: five, Candidates: []GroupNode{regular(9)}}, GroupChange{AddLearner, 9}},
		"a standby's replacement is promoted":                {Group{Voters: five, Learners: []GroupNode{regular(9)}, Candidates: []GroupNode{regular(9)}}, GroupChange{PromoteLearner, 9}},
		"a replaced standby is removed":                      {Group{Voters: append(five[:5:5], regular(9))}, GroupChange{RemoveNode, 5}},
		"a leading standby is not removed":                   {Group{Voters: append(append(five[:4:4], modified(standby(5), leads)), regular(9))}, GroupChange{RemoveNode, 4}},
		"a lost voter is removed before standbys":            {Group{Voters: append(replaced(0, lost), regular(9))}, GroupChange{RemoveNode, 1}},
		"a standby takes a lost voter's place":               {Group{Voters: replaced(0, lost), Candidates: []GroupNode{standby(6)}}, GroupChange{AddLearner, 6}},
		"a standby does not take a restarting voter's place": {Group{Voters: replaced(0, leaving), Candidates: []GroupNode{standby(6)}}, GroupChange{}},
		"a leaving standby is replaced by a standby":         {Group{Voters: replaced(4, leaving), Candidates: []GroupNode{standby(6)}}, GroupChange{AddLearner, 6}},
		"a leaving standby is removed when replaced":         {Group{Voters: append(replaced(4, leaving), standby(6))}, GroupChange{RemoveNode, 5}},
	} {
		if got := NextGroupChange(test.group, 5, patience); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}

// TestAnsweringVoterIsNotRemovedBeforeLostOne covers six voters of which five should stay. When a control node is
// lost, an empty node immediately takes a standby's place. A leader that is new or observes late then has six voters
// before it knows which one is lost, and must not remove one that answers.
func TestAnsweringVoterIsNotRemovedBeforeLostOne(t *testing.T) {
	const patience = 2 * time.Second
	regular := func(id uint64) GroupNode { return GroupNode{ID: id, Address: string(rune('a' + id))} }
	unheard := func(node GroupNode, silence time.Duration) GroupNode {
		node.Unheard, node.Silence = true, silence
		return node
	}
	standby := GroupNode{ID: 5, Address: "s", Standby: true}
	leaving := GroupNode{ID: 6, Address: "t", Standby: true, Leaving: true}
	at := func(id uint64, address string) GroupNode { return GroupNode{ID: id, Address: address} }
	for name, test := range map[string]struct {
		voters     []GroupNode
		candidates []GroupNode
		want       GroupChange
	}{
		"all answer":     {[]GroupNode{regular(1), regular(2), regular(3), regular(4), standby, regular(9)}, nil, GroupChange{RemoveNode, 5}},
		"one is unheard": {[]GroupNode{regular(1), regular(2), regular(3), unheard(regular(4), 0), standby, regular(9)}, nil, GroupChange{}},
		"one is silent for less than half of patience": {[]GroupNode{regular(1), regular(2), regular(3), unheard(regular(4), time.Second-1), standby, regular(9)}, nil, GroupChange{}},
		"one is silent for half of patience":           {[]GroupNode{regular(1), regular(2), regular(3), unheard(regular(4), time.Second), standby, regular(9)}, nil, GroupChange{RemoveNode, 4}},
		"one is silent for patience":                   {[]GroupNode{regular(1), regular(2), regular(3), unheard(regular(4), patience), standby, regular(9)}, nil, GroupChange{RemoveNode, 4}},
		"the standby is the one unheard":               {[]GroupNode{regular(1), regular(2), regular(3), regular(4), unheard(standby, 0), regular(9)}, nil, GroupChange{RemoveNode, 5}},
		"one leaves and one is unheard":                {[]GroupNode{regular(1), regular(2), regular(3), unheard(regular(4), time.Second-1), leaving, regular(9)}, nil, GroupChange{}},
		"one leaves":                                   {[]GroupNode{regular(1), regular(2), regular(3), regular(4), leaving, regular(9)}, nil, GroupChange{RemoveNode, 6}},
		"a candidate has the unheard voter's address":  {[]GroupNode{regular(1), regular(2), regular(3), unheard(regular(4), 0), standby, regular(9)}, []GroupNode{at(10, regular(4).Address)}, GroupChange{RemoveNode, 4}},
		"two voters lost at one address": {[]GroupNode{regular(1), regular(2), regular(3), unheard(at(4, "x"), 0), standby, unheard(at(9, "x"), 0)},
			[]GroupNode{at(10, "x")}, GroupChange{RemoveNode, 4}},
		"the voter at a candidate's address answers": {[]GroupNode{regular(1), regular(2), regular(3), at(4, "x"), unheard(regular(7), 0), regular(9)},
			[]GroupNode{at(10, "x")}, GroupChange{}},
	} {
		if got := NextGroupChange(Group{Voters: test.voters, Candidates: test.candidates}, 5, patience); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}

// TestStalledLearnersDoNotBlockCandidates covers learners that cannot become voters. A learner that is behind or has
// stopped answering must not be chosen for promotion at every observation for as long as it counts as a candidate,
// because other candidates would wait for it.
func TestStalledLearnersDoNotBlockCandidates(t *testing.T) {
	const patience = 2 * time.Second
	regular := func(id uint64) GroupNode { return GroupNode{ID: id, Address: string(rune('a' + id))} }
	standby := func(id uint64) GroupNode { return GroupNode{ID: id, Address: string(rune('a' + id)), Standby: true} }
	modified := func(node GroupNode, change func(*GroupNode)) GroupNode { change(&node); return node }
	lost := func(node *GroupNode) { node.Silence, node.Unheard = patience, true }
	silent := func(node *GroupNode) { node.Silence, node.Unheard = time.Second, true }
	behind := func(node *GroupNode) { node.Behind = true }
	leaving := func(node *GroupNode) { node.Leaving = true }
	two := []GroupNode{modified(regular(1), lost), modified(regular(2), lost), regular(3), regular(4), standby(5)}
	five := []GroupNode{regular(1), regular(2), regular(3), regular(4), standby(5)}
	for name, test := range map[string]struct {
		group Group
		want  GroupChange
	}{
		"the first is behind":                               {Group{two, []GroupNode{modified(regular(8), behind), regular(9)}, []GroupNode{regular(8), regular(9)}}, GroupChange{PromoteLearner, 9}},
		"the first is silent":                               {Group{two, []GroupNode{modified(regular(8), silent), regular(9)}, []GroupNode{regular(8), regular(9)}}, GroupChange{PromoteLearner, 9}},
		"a second learner for the second loss":              {Group{two, []GroupNode{modified(regular(8), behind)}, []GroupNode{regular(8), regular(9)}}, GroupChange{AddLearner, 9}},
		"a second standby for the second loss":              {Group{two, []GroupNode{modified(standby(8), behind)}, []GroupNode{standby(8), standby(9)}}, GroupChange{AddLearner, 9}},
		"no third learner for two losses":                   {Group{two, []GroupNode{modified(standby(8), behind), modified(standby(9), behind)}, []GroupNode{standby(7), standby(8), standby(9)}}, GroupChange{}},
		"no second learner for one standby":                 {Group{five, []GroupNode{modified(regular(8), behind)}, []GroupNode{regular(8), regular(9)}}, GroupChange{}},
		"a silent learner does not count":                   {Group{five, []GroupNode{modified(regular(8), silent)}, []GroupNode{regular(8), regular(9)}}, GroupChange{AddLearner, 9}},
		"a lost voter is removed while six vote":            {Group{append(two[:5:5], regular(8)), nil, []GroupNode{regular(9)}}, GroupChange{RemoveNode, 1}},
		"a learner joins while the lost voter is not known": {Group{append([]GroupNode{modified(regular(1), func(node *GroupNode) { node.Unheard = true })}, append(five[1:5:5], regular(8))...), nil, []GroupNode{regular(9)}}, GroupChange{AddLearner, 9}},
		"a leaving learner is removed":                      {Group{five, []GroupNode{modified(standby(8), leaving)}, nil}, GroupChange{RemoveNode, 8}},
		"a leaving learner goes before others join":         {Group{two, []GroupNode{modified(standby(8), leaving)}, []GroupNode{standby(9)}}, GroupChange{RemoveNode, 8}},
	} {
		if got := NextGroupChange(test.group, 5, patience); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}
