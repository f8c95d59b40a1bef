package member

import "time"

// GroupNode is a node that carries a consensus group, as the group's leader sees it.
type GroupNode struct {
	ID      uint64
	Address string        // where it listens; empty if unknown
	Silence time.Duration // since it was last heard; 0 for the leader itself
	Leaving bool          // it has said that it stops
}

// Group is what the choice of the next change of a group's nodes rests on.
type Group struct {
	Voters     []GroupNode
	Learners   []GroupNode
	Candidates []GroupNode // nodes that ask to carry the group, and have asked lately
}

// GroupChangeKind says what to do with a node.
type GroupChangeKind int

// The kinds of changes.
const (
	NoGroupChange GroupChangeKind = iota
	AddLearner
	PromoteLearner
	RemoveNode
)

// GroupChange is one step.
type GroupChange struct {
	Kind GroupChangeKind
	Node uint64
}

// NextGroupChange returns the next step towards a group with size voters that all answer. A candidate takes the
// place of the voter whose address it has, for nobody else listens there any more, or else of the voter
// unheard for longest, at least for patience; one that leaves counts as unheard for patience. It becomes a
// learner, then a voter; only then the replaced one goes, so that a majority of voters that hold everything stands
// at each step. A silent voter without a candidate for its place stays. A learner whose place was taken back by its
// voter waits as a learner: an even number of voters bears no more losses, and needs one more of them.
func NextGroupChange(group Group, size int, patience time.Duration) GroupChange {
	if len(group.Voters) > size {
		if replaced, found := replaceable(group.Voters, group.Voters, patience); found {
			return GroupChange{RemoveNode, replaced.ID}
		}
		return GroupChange{}
	}
	for _, learner := range group.Learners {
		if !listed(group.Candidates, learner.ID) && learner.Silence >= patience {
			return GroupChange{RemoveNode, learner.ID}
		}
	}
	for _, candidate := range group.Candidates {
		if listed(group.Learners, candidate.ID) && hasPlace(group.Voters, candidate, size, patience) {
			return GroupChange{PromoteLearner, candidate.ID}
		}
	}
	for _, candidate := range group.Candidates {
		known := listed(group.Voters, candidate.ID) || listed(group.Learners, candidate.ID)
		if !known && hasPlace(group.Voters, candidate, size, patience) {
			return GroupChange{AddLearner, candidate.ID}
		}
	}
	return GroupChange{}
}

// hasPlace reports whether a candidate may become a voter: one is missing, or there is one that it replaces.
func hasPlace(voters []GroupNode, candidate GroupNode, size int, patience time.Duration) bool {
	_, found := replaceable(voters, []GroupNode{candidate}, patience)
	return found || len(voters) < size
}

// replaceable returns the voter that one of successors replaces.
func replaceable(voters, successors []GroupNode, patience time.Duration) (GroupNode, bool) {
	var longest GroupNode
	for _, voter := range voters {
		for _, successor := range successors {
			sameAddress := voter.Address != "" && voter.Address == successor.Address
			if voter.ID != successor.ID && sameAddress && voter.Silence > successor.Silence {
				return voter, true
			}
		}
		if voter.Leaving {
			voter.Silence = max(voter.Silence, patience)
		}
		if voter.Silence > longest.Silence {
			longest = voter
		}
	}
	return longest, longest.Silence >= patience
}

func listed(nodes []GroupNode, id uint64) bool {
	for _, node := range nodes {
		if node.ID == id {
			return true
		}
	}
	return false
}
