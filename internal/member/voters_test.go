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
		"all answer":            {Group{Voters: []GroupNode{a, b, voter(3, "c", 0)}, Candidates: []GroupNode{elsewhere}}, GroupChange{}},
		"nobody asks":           {Group{Voters: []GroupNode{a, b, lost}}, GroupChange{}},
		"silent for a moment":   {Group{Voters: []GroupNode{a, b, silent}, Candidates: []GroupNode{elsewhere}}, GroupChange{}},
		"silent for long":       {Group{Voters: []GroupNode{a, b, lost}, Candidates: []GroupNode{elsewhere}}, GroupChange{AddLearner, 9}},
		"same address at once":  {Group{Voters: []GroupNode{a, b, silent}, Candidates: []GroupNode{same}}, GroupChange{AddLearner, 9}},
		"leaving":               {Group{Voters: []GroupNode{a, b, {ID: 3, Address: "c", Leaving: true}}, Candidates: []GroupNode{elsewhere}}, GroupChange{AddLearner, 9}},
		"leaving, nobody asks":  {Group{Voters: []GroupNode{a, b, {ID: 3, Address: "c", Leaving: true}}}, GroupChange{}},
		"left, one too many":    {Group{Voters: []GroupNode{a, b, {ID: 3, Address: "c", Silence: time.Second, Leaving: true}, elsewhere}}, GroupChange{RemoveNode, 3}},
		"too few voters":        {Group{Voters: []GroupNode{a, b}, Candidates: []GroupNode{elsewhere}}, GroupChange{AddLearner, 9}},
		"learner":               {Group{Voters: []GroupNode{a, b, lost}, Learners: []GroupNode{elsewhere}, Candidates: []GroupNode{elsewhere}}, GroupChange{PromoteLearner, 9}},
		"lost one back first":   {Group{Voters: []GroupNode{a, b, voter(3, "c", 0)}, Learners: []GroupNode{elsewhere}, Candidates: []GroupNode{elsewhere}}, GroupChange{}},
		"learner, too few":      {Group{Voters: []GroupNode{a, b}, Learners: []GroupNode{elsewhere}, Candidates: []GroupNode{elsewhere}}, GroupChange{PromoteLearner, 9}},
		"learner in its place":  {Group{Voters: []GroupNode{a, b, silent}, Learners: []GroupNode{same}, Candidates: []GroupNode{same}}, GroupChange{PromoteLearner, 9}},
		"learner lost again":    {Group{Voters: []GroupNode{a, b, lost}, Learners: []GroupNode{voter(8, "c", patience)}, Candidates: []GroupNode{same}}, GroupChange{RemoveNode, 8}},
		"one voter too many":    {Group{Voters: []GroupNode{a, b, lost, elsewhere}}, GroupChange{RemoveNode, 3}},
		"old one at an address": {Group{Voters: []GroupNode{a, b, silent, same}}, GroupChange{RemoveNode, 3}},
		"replaced one is back":  {Group{Voters: []GroupNode{a, b, voter(3, "c", 0), elsewhere}}, GroupChange{}},
	} {
		if got := NextGroupChange(test.group, 3, patience); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}
