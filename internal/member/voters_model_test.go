package member

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// Parameters of the model. A machine counts as lost until modelLossHold after its successor's start. At most
// modelLosses machines count as lost at the same time.
const (
	modelStep            = 20 * time.Millisecond
	modelLoopInterval    = 200 * time.Millisecond
	modelGap             = modelMaximumGap
	modelPatience        = 2 * time.Second
	modelJoinInterval    = 300 * time.Millisecond
	modelElectionTimeout = 500 * time.Millisecond // a node that was last heard longer ago is no longer active
	modelLossHold        = 6 * time.Second
	modelFaultTime       = 60 * time.Second
	modelFaultFreeTime   = 30 * time.Second // at the end of a run
	modelVoters          = 5
	modelCores           = 4 // number of regular nodes; the others are standbys
	modelMachines        = 8
	modelLosses          = 2
)

// modelStandbyBit is set in the IDs of standbys.
const modelStandbyBit = 1 << 20

// violation is a property that a run of the model failed to keep.
type violation string

const (
	majorityLost          violation = "no majority of disks"
	answeringVoterRemoved violation = "a voter that answers is removed while a lost one stays"
	notRepaired           violation = "not repaired in the fault-free time"
)

// modelMachine is a machine and the process on it.
type modelMachine struct {
	id            uint64
	address       string
	core          bool          // it is a regular node; the others are standbys
	startsAt      time.Duration // when the process starts or started to answer
	awayUntil     time.Duration // until when the process does not answer after that; its disk is kept
	lostUntil     time.Duration // until when the machine counts as lost
	nextRequestAt time.Duration
	observer      *modelObserver // its observations of the other nodes; nil while it does not answer
}

// modelWorld simulates a group whose leader decides with NextGroupChange, on machines that are lost and whose loops
// run late.
type modelWorld struct {
	random            *rand.Rand
	now               time.Duration
	slowdown          time.Duration // factor on the duration of changes and answers
	lateShare         float64       // share of loop turns that run late, by up to a second
	noFaultsWhileLost bool          // while a machine counts as lost, no further process pauses and no leader gives up

	machines         []*modelMachine
	lostDisks        map[uint64]bool // IDs of nodes whose disk is lost
	diskLostAt       map[uint64]time.Duration
	lastID           uint64
	voters           []uint64
	learners         map[uint64]time.Duration // time of addition by ID
	candidates       map[uint64]GroupNode
	candidateAskedAt map[uint64]time.Duration
	heardAt          map[uint64]time.Duration // when the leader last heard a node
	address          map[uint64]string        // by node ID

	leader      *modelMachine
	leaderSince time.Duration
	electionAt  time.Duration
	nextLoopAt  time.Duration
	tracker     *SilenceTracker
	violated    map[violation]string
	repairedAt  time.Duration // when the group was repaired after the last fault; 0 if it was not
	changes     int
	faultsEndAt time.Duration
}

func newModelWorld(seed int64) *modelWorld {
	random := rand.New(rand.NewSource(seed))
	w := &modelWorld{random: random, slowdown: time.Duration(1 + random.Intn(10)), lateShare: float64(random.Intn(4)) / 4,
		lostDisks: map[uint64]bool{}, diskLostAt: map[uint64]time.Duration{}, learners: map[uint64]time.Duration{}, candidates: map[uint64]GroupNode{}, candidateAskedAt: map[uint64]time.Duration{},
		heardAt: map[uint64]time.Duration{}, address: map[uint64]string{}, violated: map[violation]string{}, faultsEndAt: modelFaultTime}
	for position := range modelMachines {
		machine := &modelMachine{core: position < modelCores}
		w.machines = append(w.machines, machine)
		w.assignID(machine, fmt.Sprint("machine-", position))
		if len(w.voters) < modelVoters {
			w.voters = append(w.voters, machine.id)
		}
	}
	return w
}

// assignID gives a machine with an empty disk a new node ID.
func (w *modelWorld) assignID(machine *modelMachine, address string) {
	w.lastID++
	machine.id, machine.address = w.lastID, address
	if !machine.core {
		machine.id |= modelStandbyBit
	}
	w.address[machine.id] = address
}

func (w *modelWorld) isUp(machine *modelMachine) bool {
	return w.now >= machine.startsAt && w.now >= machine.awayUntil
}

func (w *modelWorld) findMachine(id uint64) *modelMachine {
	for _, machine := range w.machines {
		if machine.id == id {
			return machine
		}
	}
	return nil
}

func (w *modelWorld) isNodeUp(id uint64) bool {
	machine := w.findMachine(id)
	return machine != nil && w.isUp(machine)
}

// drawBetween draws a duration from [least, most).
func (w *modelWorld) drawBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int63n(int64(most-least)))
}

// drawLateness draws by how much a loop turn runs late.
func (w *modelWorld) drawLateness() time.Duration {
	if w.random.Float64() >= w.lateShare {
		return 0
	}
	return w.drawBetween(0, time.Second)
}

func (w *modelWorld) run() {
	for w.now = 0; w.now < w.faultsEndAt+modelFaultFreeTime && w.violated[majorityLost] == ""; w.now += modelStep {
		if w.now < w.faultsEndAt {
			w.injectFault()
		}
		w.electLeader()
		w.sendJoinRequests()
		w.receiveHeartbeats()
		w.runLeaderLoop()
		w.checkGroup()
		w.extendLossHolds()
	}
	if w.violated[majorityLost] == "" && w.repairedAt == 0 {
		w.recordViolation(notRepaired, 0)
	}
}

// recordViolation records the first violation of each kind.
func (w *modelWorld) recordViolation(kind violation, node uint64) {
	if w.violated[kind] == "" {
		w.violated[kind] = fmt.Sprintf("%s, node %d: %s", w.now, node&^modelStandbyBit, w.describe())
	}
}

func (w *modelWorld) describe() string {
	text := ""
	for _, voter := range w.voters {
		state := "alive"
		if w.lostDisks[voter] {
			state = "gone"
		} else if !w.isNodeUp(voter) {
			state = "away"
		}
		text += fmt.Sprintf("%d (%s) %s, ", voter&^modelStandbyBit, w.address[voter], state)
	}
	return text + fmt.Sprintf("slowdown %d, late %.2f", w.slowdown, w.lateShare)
}

// injectFault loses up to two disks, with or without a power failure of all other machines, or pauses a process for a
// while, or makes the leader give up.
func (w *modelWorld) injectFault() {
	switch chance := w.random.Float64() * float64(time.Second/modelStep); {
	case chance < 0.2:
		w.loseMachines(1 + w.random.Intn(modelLosses))
	case w.noFaultsWhileLost && w.countLostMachines() > 0:
	case chance < 0.4:
		longest := 4 * time.Second
		if w.countLostMachines() > 0 {
			longest = 1500 * time.Millisecond // as long as a power failure: it must leave time for a repair
		}
		away := w.machines[w.random.Intn(len(w.machines))]
		away.awayUntil = max(away.awayUntil, w.now+w.drawBetween(300*time.Millisecond, longest))
	case chance < 0.5 && w.leader != nil:
		w.leader = nil // the leader gives up leadership
	}
}

// countLostMachines returns how many machines count as lost.
func (w *modelWorld) countLostMachines() int {
	lost := 0
	for _, machine := range w.machines {
		if w.now < machine.lostUntil {
			lost++
		}
	}
	return lost
}

func (w *modelWorld) loseMachines(count int) {
	count = min(count, modelLosses-w.countLostMachines())
	if count <= 0 {
		return
	}
	power := w.random.Intn(2) == 0
	lost := w.random.Perm(len(w.machines))[:count]
	for position, machine := range w.machines {
		switch {
		case slices.Contains(lost, position) && w.now >= machine.lostUntil:
			w.replaceMachine(machine)
		case power:
			machine.awayUntil = max(machine.awayUntil, w.now+w.drawBetween(200*time.Millisecond, 1500*time.Millisecond))
		}
	}
}

// replaceMachine starts an empty machine in place of a lost one, at the same address or a new one.
func (w *modelWorld) replaceMachine(machine *modelMachine) {
	w.lostDisks[machine.id], w.diskLostAt[machine.id] = true, w.now
	address := machine.address
	if machine.core && w.random.Intn(2) == 0 {
		address = fmt.Sprint("machine-new-", w.lastID)
	}
	w.assignID(machine, address)
	machine.startsAt = w.now + w.drawBetween(200*time.Millisecond, 2*time.Second)
	machine.lostUntil = machine.startsAt + modelLossHold
}

// electLeader elects a leader while a majority of voters answers, and removes a leader that has no majority.
func (w *modelWorld) electLeader() {
	var electable []*modelMachine
	for _, voter := range w.voters {
		if machine := w.findMachine(voter); machine != nil && w.isUp(machine) {
			electable = append(electable, machine)
		}
	}
	majority := len(electable) > len(w.voters)/2
	if w.leader != nil && (!w.isUp(w.leader) || !majority || !slices.Contains(w.voters, w.leader.id)) {
		w.leader = nil
	}
	switch {
	case w.leader != nil || !majority:
		w.electionAt = 0
	case w.electionAt == 0:
		w.electionAt = w.now + w.drawBetween(200*time.Millisecond, 800*time.Millisecond)
	case w.now >= w.electionAt:
		slices.SortStableFunc(electable, func(a, b *modelMachine) int { return int(a.id&modelStandbyBit) - int(b.id&modelStandbyBit) })
		cores := slices.IndexFunc(electable, func(machine *modelMachine) bool { return !machine.core })
		if cores <= 0 {
			cores = len(electable)
		}
		w.leader, w.leaderSince, w.tracker = electable[w.random.Intn(cores)], w.now, nil
		w.nextLoopAt = w.now + w.drawBetween(0, modelLoopInterval) + w.drawLateness()
		clear(w.heardAt)
	}
}

// sendJoinRequests makes the machines that do not vote ask to join the group.
func (w *modelWorld) sendJoinRequests() {
	for _, machine := range w.machines {
		if !w.isUp(machine) || w.now < machine.nextRequestAt {
			continue
		}
		machine.nextRequestAt = w.now + modelJoinInterval + w.drawLateness()
		if !slices.Contains(w.voters, machine.id) {
			w.forgetCandidatesAt(machine.address)
			w.candidates[machine.id] = GroupNode{ID: machine.id, Address: machine.address, Standby: !machine.core}
			w.candidateAskedAt[machine.id] = w.now
		}
	}
}

// forgetCandidatesAt forgets the candidates at an address, because another node listens there now.
func (w *modelWorld) forgetCandidatesAt(address string) {
	for id, candidate := range w.candidates {
		if candidate.Address == address {
			delete(w.candidates, id)
		}
	}
}

// receiveHeartbeats records which machines answer the leader.
func (w *modelWorld) receiveHeartbeats() {
	w.updateObservations()
	if w.leader == nil {
		return
	}
	for _, machine := range w.machines {
		if w.isUp(machine) && w.now >= w.leaderSince+w.slowdown*5*time.Millisecond {
			w.heardAt[machine.id] = w.now
		}
	}
}

// runLeaderLoop runs the leader's periodic check of its group, as package control does it.
func (w *modelWorld) runLeaderLoop() {
	if w.leader == nil || w.now < w.nextLoopAt {
		return
	}
	w.nextLoopAt = w.now + modelLoopInterval + w.drawLateness()
	took := w.applyDueChanges()
	w.nextLoopAt += took
}

// buildGroup returns the group as the leader sees it. behind holds the learners that were found to lack entries.
func (w *modelWorld) buildGroup(behind map[uint64]bool) Group {
	if w.tracker == nil {
		w.tracker = NewSilenceTracker(w.leader.id, w.now, modelGap)
	}
	var observations []Observation
	members := slices.Clone(w.voters)
	for learner := range w.learners {
		members = append(members, learner)
	}
	for _, id := range members {
		if id != w.leader.id {
			heardAt, heard := w.heardAt[id]
			since := max(w.leaderSince, heardAt, w.learners[id])
			observations = append(observations, Observation{Node: id, Heard: heard, Active: w.now-since < modelElectionTimeout, ReportedSilence: w.longestReportedSilence(id)})
		}
	}
	w.tracker.Observe(w.now, observations)
	seen := Group{}
	for _, id := range members {
		node := GroupNode{ID: id, Address: w.address[id], Silence: w.tracker.Silence(id), Unheard: !w.tracker.IsResponsive(id),
			Behind: behind[id], Standby: id&modelStandbyBit != 0, IsLeader: id == w.leader.id}
		if slices.Contains(w.voters, id) {
			seen.Voters = append(seen.Voters, node)
		} else {
			seen.Learners = append(seen.Learners, node)
		}
	}
	slices.SortFunc(seen.Learners, func(a, b GroupNode) int { return int(a.ID) - int(b.ID) })
	for id, candidate := range w.candidates {
		if w.now-w.candidateAskedAt[id] <= modelCandidateLife && w.candidateAskedAt[id] >= w.leader.awayUntil {
			seen.Candidates = append(seen.Candidates, candidate)
		}
	}
	slices.SortFunc(seen.Candidates, func(a, b GroupNode) int { return int(a.ID) - int(b.ID) })
	return seen
}

// apply carries out a change and reports whether raft accepts it.
func (w *modelWorld) apply(change GroupChange) bool {
	switch change.Kind {
	case AddLearner:
		w.learners[change.Node] = w.now
	case PromoteLearner:
		caughtUpAt := max(w.learners[change.Node], w.leaderSince) + w.slowdown*w.drawBetween(30*time.Millisecond, 150*time.Millisecond)
		if !w.isNodeUp(change.Node) || w.now < caughtUpAt {
			return false
		}
		delete(w.learners, change.Node)
		w.voters = append(w.voters, change.Node)
	case RemoveNode:
		w.checkRemoval(change.Node)
		delete(w.learners, change.Node)
		w.voters = slices.DeleteFunc(w.voters, func(voter uint64) bool { return voter == change.Node })
	}
	w.changes++
	return true
}
