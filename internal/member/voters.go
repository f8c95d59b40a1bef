package member

import (
	"cmp"
	"slices"
	"time"
)

// GroupNode is a node that carries a consensus group, as the group's leader sees it.
type GroupNode struct {
	ID      uint64
	Address string        // where it listens; empty if unknown
	Silence time.Duration // since it was last heard; 0 for the leader itself
	Unheard bool          // it was not heard lately, or not yet under this leader
	Behind  bool          // a learner that was found to lack entries
	Leaving bool          // it has said that it stops, or an operator has asked it to
	Standby bool          // it votes, but others are to lead
	Leads   bool          // it leads the group now
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

// NextGroupChange returns the next step towards a group with size voters that all answer, of which as few as possible
// are standbys. A candidate takes the place of the voter whose address it has, for nobody else listens there any more,
// or else of the voter unheard for longest, at least for patience; one that leaves counts as unheard for patience, but
// only for a candidate of its kind: a standby would have to give the place back. A candidate that is none also takes
// a standby's place. It becomes a learner, then a voter; only then the replaced one goes, so that a majority of voters
// that hold everything stands at each step. A silent voter without a candidate for its place stays. A learner whose
// place was taken back by its voter waits as a learner: an even number of voters bears no more losses, and needs one
// more of them. A learner that is behind, or that stopped answering, holds nobody up.
func NextGroupChange(group Group, size int, patience time.Duration) GroupChange {
	full := len(group.Voters) > size
	if full {
		if surplus, found := surplusVoter(group, patience); found {
			return GroupChange{RemoveNode, surplus.ID}
		}
	}
	for _, learner := range group.Learners {
		if learner.Leaving || !listed(group.Candidates, learner.ID) && learner.Silence >= patience {
			return GroupChange{RemoveNode, learner.ID}
		}
	}
	candidates := inOrder(group.Candidates)
	for _, candidate := range candidates {
		if !full && promotable(group.Learners, candidate.ID) && places(group.Voters, candidate, size, patience) > 0 {
			return GroupChange{PromoteLearner, candidate.ID}
		}
	}
	for _, candidate := range candidates {
		known := listed(group.Voters, candidate.ID) || listed(group.Learners, candidate.ID)
		if known || full && candidate.Standby {
			continue
		}
		if places(group.Voters, candidate, size, patience) > underWay(group, patience) {
			return GroupChange{AddLearner, candidate.ID}
		}
	}
	return GroupChange{}
}

// promotable tells whether a node is a learner that may have caught up.
func promotable(learners []GroupNode, id uint64) bool {
	return slices.ContainsFunc(learners, func(learner GroupNode) bool {
		return learner.ID == id && !learner.Behind && learner.Silence == 0
	})
}

// underWay is how many learners are about to become voters. One that is silent for half of patience is not.
func underWay(group Group, patience time.Duration) int {
	count := 0
	for _, learner := range group.Learners {
		if listed(group.Candidates, learner.ID) && learner.Silence < patience/2 {
			count++
		}
	}
	return count
}

// inOrder returns the candidates in the order in which they get places: standbys last.
func inOrder(candidates []GroupNode) []GroupNode {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b GroupNode) int {
		if a.Standby != b.Standby {
			if a.Standby {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return ordered
}

// places is how many voters a candidate may become, or could if it were several: those that are missing, those that it
// replaces, and the standbys if it is none.
func places(voters []GroupNode, candidate GroupNode, size int, patience time.Duration) int {
	count := max(size-len(voters), 0)
	for _, voter := range voters {
		leaves := voter.Leaving && voter.Standby == candidate.Standby
		if leaves || outlived(voter, candidate) || voter.Silence >= patience || voter.Standby && !candidate.Standby {
			count++
		}
	}
	return count
}

// outlived tells whether another node listens where a voter did.
func outlived(voter, successor GroupNode) bool {
	sameAddress := voter.Address != "" && voter.Address == successor.Address
	return voter.ID != successor.ID && sameAddress && !voter.answers() && successor.answers()
}

// answers tells whether the leader hears the node, or the node has asked it lately.
func (n GroupNode) answers() bool { return !n.Unheard && n.Silence == 0 }

// surplusHaste divides the patience with a silent voter once there is one too many: its successor votes already, and where it
// is back it takes a standby's place. Less patience means fewer lost voters that stay when the next disks are lost.
const surplusHaste = 2

// surplusVoter returns the voter that goes when there is one too many: one at whose address another node listens, the one
// silent for longest, or, once all others answer, one that leaves or a standby; never the leader for being a standby.
//
// As long as another one is unheard, one that answers stays: a leader that is new, or that looks late, does not know yet who
// is lost, and the lost one would be left in a group that bears one loss less (1664 of 2000 runs of the model did so).
func surplusVoter(group Group, patience time.Duration) (GroupNode, bool) {
	var longest, spare GroupNode
	for _, voter := range group.Voters {
		if succeeded(voter, group) {
			return voter, true
		}
		if voter.Silence > longest.Silence {
			longest = voter
		}
		if goesBefore(voter, spare) {
			spare = voter
		}
	}
	if longest.Silence >= patience/surplusHaste {
		return longest, true
	}
	for _, voter := range group.Voters {
		if voter.ID != spare.ID && !voter.answers() {
			return GroupNode{}, false
		}
	}
	return spare, spare.ID != 0
}

// succeeded tells whether another voter or a candidate listens where a voter did.
func succeeded(voter GroupNode, group Group) bool {
	for _, others := range [][]GroupNode{group.Voters, group.Candidates} {
		for _, other := range others {
			if outlived(voter, other) {
				return true
			}
		}
	}
	return false
}

// goesBefore tells whether a voter goes rather than another one, which may be none: one that leaves, then a standby.
func goesBefore(voter, other GroupNode) bool {
	rank := func(node GroupNode) int {
		switch {
		case node.ID == 0:
			return 0
		case node.Leaving:
			return 2
		case node.Standby && !node.Leads:
			return 1
		}
		return 0
	}
	if rank(voter) != rank(other) {
		return rank(voter) > rank(other)
	}
	return rank(voter) > 0 && voter.ID > other.ID
}

func listed(nodes []GroupNode, id uint64) bool {
	for _, node := range nodes {
		if node.ID == id {
			return true
		}
	}
	return false
}
