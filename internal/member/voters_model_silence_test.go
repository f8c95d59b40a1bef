package member

import "time"

// Settings of the nodes' account of each other, which they tell each other.
const (
	modelKeepAlive = 250 * time.Millisecond
	modelHeardFor  = 2 * modelKeepAlive // after which a node that was heard counts as silent
)

// modelAccount is a machine's account of whom it hears, whoever leads: it begins with its process.
type modelAccount struct {
	heardAt map[uint64]time.Duration
	hearing *Hearing
	looksAt time.Duration
	tellsAt time.Duration
	told    map[uint64]time.Duration // as told last; 0: heard
}

// countSilences has the machines hear each other's signs of life, look, and tell.
func (w *modelWorld) countSilences() {
	for _, machine := range w.machines {
		if !w.up(machine) {
			machine.account = nil
			continue
		}
		if machine.account == nil {
			machine.account = &modelAccount{heardAt: map[uint64]time.Duration{}, hearing: NewHearing(machine.id, w.now, modelGap), looksAt: w.now,
				tellsAt: w.now + w.between(0, modelKeepAlive)}
		}
		w.count(machine)
	}
}

func (w *modelWorld) count(machine *modelMachine) {
	account := machine.account
	for _, other := range w.machines {
		if other.account != nil && other.account.tellsAt <= w.now {
			account.heardAt[other.id] = w.now
		}
	}
	if w.now >= account.looksAt {
		account.looksAt = w.now + modelLook + w.lateness()
		var sightings []Sighting
		for _, voter := range w.voters {
			heardAt, heard := account.heardAt[voter]
			sightings = append(sightings, Sighting{Node: voter, Heard: heard, Active: heard && w.now-heardAt < modelHeardFor})
		}
		account.hearing.Look(w.now, sightings)
	}
	if w.now >= account.tellsAt {
		account.tellsAt = w.now + modelKeepAlive
		account.told = map[uint64]time.Duration{}
		for _, voter := range w.voters {
			account.told[voter] = account.hearing.Silence(voter)
		}
	}
}

// told is what the machines that the leader has heard have told of a node, the leader among them.
func (w *modelWorld) told(node uint64) time.Duration {
	longest := time.Duration(0)
	for _, machine := range w.machines {
		_, heard := w.heardAt[machine.id]
		if machine.account == nil || !heard && machine != w.leader || machine.id == node {
			continue
		}
		silence, tells := machine.account.told[node]
		switch {
		case !tells:
		case silence == 0:
			return 0
		default:
			longest = max(longest, silence)
		}
	}
	return longest
}
