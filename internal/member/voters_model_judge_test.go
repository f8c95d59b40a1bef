package member

import "slices"

// checkRemoval records a violation if a voter that answers is removed while a voter whose disk is lost stays. A disk
// that was lost less than an election timeout ago is exempt: its node was heard recently, so no leader can know of
// the loss.
func (w *modelWorld) checkRemoval(node uint64) {
	if !slices.Contains(w.voters, node) || w.lostDisks[node] || !w.isNodeUp(node) {
		return
	}
	for _, voter := range w.voters {
		if w.lostDisks[voter] && w.now-w.diskLostAt[voter] >= modelElectionTimeout {
			w.recordViolation(answeringVoterRemoved, node)
		}
	}
}

// extendLossHolds stops the time for repairs while three or more voters are lost or do not answer: five voters with
// two losses then have no majority, whatever the rules are.
func (w *modelWorld) extendLossHolds() {
	missing := 0
	for _, voter := range w.voters {
		if w.lostDisks[voter] || !w.isNodeUp(voter) {
			missing++
		}
	}
	if missing <= modelLosses {
		return
	}
	for _, machine := range w.machines {
		if w.now < machine.lostUntil {
			machine.lostUntil += modelStep
		}
	}
}

// checkGroup checks that the group keeps a majority of disks, and records when it is fully repaired.
func (w *modelWorld) checkGroup() {
	disks, whole := 0, len(w.voters) == modelVoters
	for _, voter := range w.voters {
		if !w.lostDisks[voter] {
			disks++
		}
		whole = whole && w.isNodeUp(voter)
	}
	if disks <= len(w.voters)/2 {
		w.recordViolation(majorityLost, 0)
	}
	if whole && w.repairedAt == 0 && w.now > w.faultsEndAt {
		w.repairedAt = w.now
	}
}
