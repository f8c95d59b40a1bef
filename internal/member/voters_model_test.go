package member

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// Times of the model. A machine counts as lost until lossHold after its successor's start; then the next may be lost.
const (
	modelStep     = 20 * time.Millisecond
	modelLook     = 200 * time.Millisecond
	modelGap      = modelMaximumGap
	modelPatience = 2 * time.Second
	modelAsk      = 300 * time.Millisecond
	modelElection = 500 * time.Millisecond // after which a silent node is no longer active
	lossHold      = 6 * time.Second
	modelLength   = 60 * time.Second
	modelCalm     = 30 * time.Second // without faults at the end
	modelVoters   = 5
	modelCores    = 4
	modelMachines = 8
	modelLosses   = 2
)

const modelStandbyMark = 1 << 20

// breach is what a run may do wrong.
type breach string

const (
	noMajority breach = "no majority of disks"
	livingGoes breach = "a voter that answers goes and a lost one stays"
	notWhole   breach = "not whole in calm"
)

// modelMachine is a machine and the process on it.
type modelMachine struct {
	id      uint64
	address string
	core    bool
	upAt    time.Duration // since or from when the process answers
	awayAt  time.Duration // until when it is away after that, with its disk
	held    time.Duration // until when it counts as lost
	asksAt  time.Duration
	account *modelAccount // of whom it hears; nil while it is away
}

// modelWorld is a group of which the leader decides with NextGroupChange, on machines that are lost and late.
type modelWorld struct {
	random  *rand.Rand
	now     time.Duration
	stretch time.Duration // factor of what changes and answers take
	late    float64       // share of loops that run late, by up to a second
	lenient bool          // no further process is away, and no leader gives up, while a machine counts as lost

	machines []*modelMachine
	gone     map[uint64]bool // nodes whose disk is lost
	goneAt   map[uint64]time.Duration
	lastID   uint64
	voters   []uint64
	learners map[uint64]time.Duration // since when
	asked    map[uint64]GroupNode
	askedAt  map[uint64]time.Duration
	heardAt  map[uint64]time.Duration // by the leader
	address  map[uint64]string

	leader    *modelMachine
	ledSince  time.Duration
	electAt   time.Duration
	looksAt   time.Duration
	hearing   *Hearing
	broken    map[breach]string
	wholeAt   time.Duration // when the group was whole in calm
	changes   int
	calmSince time.Duration
}

func newModelWorld(seed int64) *modelWorld {
	random := rand.New(rand.NewSource(seed))
	w := &modelWorld{random: random, stretch: time.Duration(1 + random.Intn(10)), late: float64(random.Intn(4)) / 4,
		gone: map[uint64]bool{}, goneAt: map[uint64]time.Duration{}, learners: map[uint64]time.Duration{}, asked: map[uint64]GroupNode{}, askedAt: map[uint64]time.Duration{},
		heardAt: map[uint64]time.Duration{}, address: map[uint64]string{}, broken: map[breach]string{}, calmSince: modelLength}
	for position := range modelMachines {
		machine := &modelMachine{core: position < modelCores}
		w.machines = append(w.machines, machine)
		w.identify(machine, fmt.Sprint("machine-", position))
		if len(w.voters) < modelVoters {
			w.voters = append(w.voters, machine.id)
		}
	}
	return w
}

// identify gives a machine with an empty disk a new identity.
func (w *modelWorld) identify(machine *modelMachine, address string) {
	w.lastID++
	machine.id, machine.address = w.lastID, address
	if !machine.core {
		machine.id |= modelStandbyMark
	}
	w.address[machine.id] = address
}

func (w *modelWorld) up(machine *modelMachine) bool {
	return w.now >= machine.upAt && w.now >= machine.awayAt
}

func (w *modelWorld) machineOf(id uint64) *modelMachine {
	for _, machine := range w.machines {
		if machine.id == id {
			return machine
		}
	}
	return nil
}

func (w *modelWorld) answers(id uint64) bool {
	machine := w.machineOf(id)
	return machine != nil && w.up(machine)
}

// between draws a time.
func (w *modelWorld) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int63n(int64(most-least)))
}

// lateness is by how much a loop runs late.
func (w *modelWorld) lateness() time.Duration {
	if w.random.Float64() >= w.late {
		return 0
	}
	return w.between(0, time.Second)
}

func (w *modelWorld) run() {
	for w.now = 0; w.now < w.calmSince+modelCalm && w.broken[noMajority] == ""; w.now += modelStep {
		if w.now < w.calmSince {
			w.fault()
		}
		w.elect()
		w.ask()
		w.hear()
		w.look()
		w.judge()
		w.hold()
	}
	if w.broken[noMajority] == "" && w.wholeAt == 0 {
		w.fail(notWhole, 0)
	}
}

// fail notes the first breach of a kind.
func (w *modelWorld) fail(kind breach, node uint64) {
	if w.broken[kind] == "" {
		w.broken[kind] = fmt.Sprintf("%s, node %d: %s", w.now, node&^modelStandbyMark, w.describe())
	}
}

func (w *modelWorld) describe() string {
	text := ""
	for _, voter := range w.voters {
		state := "alive"
		if w.gone[voter] {
			state = "gone"
		} else if !w.answers(voter) {
			state = "away"
		}
		text += fmt.Sprintf("%d (%s) %s, ", voter&^modelStandbyMark, w.address[voter], state)
	}
	return text + fmt.Sprintf("stretch %d, late %.2f", w.stretch, w.late)
}

// fault loses up to two disks, with or without the power of all others; or a process is away for a while.
func (w *modelWorld) fault() {
	switch chance := w.random.Float64() * float64(time.Second/modelStep); {
	case chance < 0.2:
		w.lose(1 + w.random.Intn(modelLosses))
	case w.lenient && w.held() > 0:
	case chance < 0.4:
		longest := 4 * time.Second
		if w.held() > 0 {
			longest = 1500 * time.Millisecond // as long as without power: it must leave time for a repair
		}
		away := w.machines[w.random.Intn(len(w.machines))]
		away.awayAt = max(away.awayAt, w.now+w.between(300*time.Millisecond, longest))
	case chance < 0.5 && w.leader != nil:
		w.leader = nil // it gives the group away
	}
}

// held is how many machines count as lost.
func (w *modelWorld) held() int {
	held := 0
	for _, machine := range w.machines {
		if w.now < machine.held {
			held++
		}
	}
	return held
}

func (w *modelWorld) lose(count int) {
	count = min(count, modelLosses-w.held())
	if count <= 0 {
		return
	}
	power := w.random.Intn(2) == 0
	lost := w.random.Perm(len(w.machines))[:count]
	for position, machine := range w.machines {
		switch {
		case slices.Contains(lost, position) && w.now >= machine.held:
			w.replace(machine)
		case power:
			machine.awayAt = max(machine.awayAt, w.now+w.between(200*time.Millisecond, 1500*time.Millisecond))
		}
	}
}

// replace starts an empty machine in the place of one, at its address or at another one.
func (w *modelWorld) replace(machine *modelMachine) {
	w.gone[machine.id], w.goneAt[machine.id] = true, w.now
	address := machine.address
	if machine.core && w.random.Intn(2) == 0 {
		address = fmt.Sprint("machine-new-", w.lastID)
	}
	w.identify(machine, address)
	machine.upAt = w.now + w.between(200*time.Millisecond, 2*time.Second)
	machine.held = machine.upAt + lossHold
}

// elect finds a leader while a majority answers, and unseats one that has none.
func (w *modelWorld) elect() {
	var able []*modelMachine
	for _, voter := range w.voters {
		if machine := w.machineOf(voter); machine != nil && w.up(machine) {
			able = append(able, machine)
		}
	}
	majority := len(able) > len(w.voters)/2
	if w.leader != nil && (!w.up(w.leader) || !majority || !slices.Contains(w.voters, w.leader.id)) {
		w.leader = nil
	}
	switch {
	case w.leader != nil || !majority:
		w.electAt = 0
	case w.electAt == 0:
		w.electAt = w.now + w.between(200*time.Millisecond, 800*time.Millisecond)
	case w.now >= w.electAt:
		slices.SortStableFunc(able, func(a, b *modelMachine) int { return int(a.id&modelStandbyMark) - int(b.id&modelStandbyMark) })
		cores := slices.IndexFunc(able, func(machine *modelMachine) bool { return !machine.core })
		if cores <= 0 {
			cores = len(able)
		}
		w.leader, w.ledSince, w.hearing = able[w.random.Intn(cores)], w.now, nil
		w.looksAt = w.now + w.between(0, modelLook) + w.lateness()
		clear(w.heardAt)
	}
}

// ask has the machines that don't vote ask for a place.
func (w *modelWorld) ask() {
	for _, machine := range w.machines {
		if !w.up(machine) || w.now < machine.asksAt {
			continue
		}
		machine.asksAt = w.now + modelAsk + w.lateness()
		if !slices.Contains(w.voters, machine.id) {
			w.forgetAt(machine.address)
			w.asked[machine.id] = GroupNode{ID: machine.id, Address: machine.address, Standby: !machine.core}
			w.askedAt[machine.id] = w.now
		}
	}
}

// forgetAt forgets who asked from an address: somebody else listens there now.
func (w *modelWorld) forgetAt(address string) {
	for id, candidate := range w.asked {
		if candidate.Address == address {
			delete(w.asked, id)
		}
	}
}

// hear notes who answers the leader.
func (w *modelWorld) hear() {
	w.countSilences()
	if w.leader == nil {
		return
	}
	for _, machine := range w.machines {
		if w.up(machine) && w.now >= w.ledSince+w.stretch*5*time.Millisecond {
			w.heardAt[machine.id] = w.now
		}
	}
}

// look is a leader's look at its group, as package control has it.
func (w *modelWorld) look() {
	if w.leader == nil || w.now < w.looksAt {
		return
	}
	w.looksAt = w.now + modelLook + w.lateness()
	took := w.oversee()
	w.looksAt += took
}

// group is what the leader knows; behind are learners that it found to lack entries.
func (w *modelWorld) group(behind map[uint64]bool) Group {
	if w.hearing == nil {
		w.hearing = NewHearing(w.leader.id, w.now, modelGap)
	}
	var sightings []Sighting
	members := slices.Clone(w.voters)
	for learner := range w.learners {
		members = append(members, learner)
	}
	for _, id := range members {
		if id != w.leader.id {
			heardAt, heard := w.heardAt[id]
			since := max(w.ledSince, heardAt, w.learners[id])
			sightings = append(sightings, Sighting{Node: id, Heard: heard, Active: w.now-since < modelElection, Told: w.told(id)})
		}
	}
	w.hearing.Look(w.now, sightings)
	seen := Group{}
	for _, id := range members {
		node := GroupNode{ID: id, Address: w.address[id], Silence: w.hearing.Silence(id), Unheard: !w.hearing.Answers(id),
			Behind: behind[id], Standby: id&modelStandbyMark != 0, Leads: id == w.leader.id}
		if slices.Contains(w.voters, id) {
			seen.Voters = append(seen.Voters, node)
		} else {
			seen.Learners = append(seen.Learners, node)
		}
	}
	slices.SortFunc(seen.Learners, func(a, b GroupNode) int { return int(a.ID) - int(b.ID) })
	for id, candidate := range w.asked {
		if w.now-w.askedAt[id] <= modelCandidateLife && w.askedAt[id] >= w.leader.awayAt {
			seen.Candidates = append(seen.Candidates, candidate)
		}
	}
	slices.SortFunc(seen.Candidates, func(a, b GroupNode) int { return int(a.ID) - int(b.ID) })
	return seen
}

// apply carries a change out and tells whether raft takes it.
func (w *modelWorld) apply(change GroupChange) bool {
	switch change.Kind {
	case AddLearner:
		w.learners[change.Node] = w.now
	case PromoteLearner:
		caughtUpAt := max(w.learners[change.Node], w.ledSince) + w.stretch*w.between(30*time.Millisecond, 150*time.Millisecond)
		if !w.answers(change.Node) || w.now < caughtUpAt {
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
