package member

import "time"

// Settings of the nodes' reports to each other about whom they hear.
const (
	modelKeepAlive   = 250 * time.Millisecond
	modelSilentAfter = 2 * modelKeepAlive // a node that was heard longer ago counts as silent
)

// modelObserver tracks which nodes a machine hears, independent of the leader. It starts empty with the machine's
// process.
type modelObserver struct {
	heardAt      map[uint64]time.Duration
	tracker      *SilenceTracker
	nextLoopAt   time.Duration
	nextReportAt time.Duration
	reported     map[uint64]time.Duration // silences in the machine's latest report; 0: heard
}

// updateObservations makes the machines receive each other's keep-alives, observe, and report.
func (w *modelWorld) updateObservations() {
	for _, machine := range w.machines {
		if !w.isUp(machine) {
			machine.observer = nil
			continue
		}
		if machine.observer == nil {
			machine.observer = &modelObserver{heardAt: map[uint64]time.Duration{}, tracker: NewSilenceTracker(machine.id, w.now, modelGap), nextLoopAt: w.now,
				nextReportAt: w.now + w.drawBetween(0, modelKeepAlive)}
		}
		w.observe(machine)
	}
}

func (w *modelWorld) observe(machine *modelMachine) {
	observer := machine.observer
	for _, other := range w.machines {
		if other.observer != nil && other.observer.nextReportAt <= w.now {
			observer.heardAt[other.id] = w.now
		}
	}
	if w.now >= observer.nextLoopAt {
		observer.nextLoopAt = w.now + modelLoopInterval + w.drawLateness()
		var observations []Observation
		for _, voter := range w.voters {
			heardAt, heard := observer.heardAt[voter]
			observations = append(observations, Observation{Node: voter, Heard: heard, Active: heard && w.now-heardAt < modelSilentAfter})
		}
		observer.tracker.Observe(w.now, observations)
	}
	if w.now >= observer.nextReportAt {
		observer.nextReportAt = w.now + modelKeepAlive
		observer.reported = map[uint64]time.Duration{}
		for _, voter := range w.voters {
			observer.reported[voter] = observer.tracker.Silence(voter)
		}
	}
}

// longestReportedSilence returns the longest silence of a node in the latest reports of the leader and of the
// machines that the leader has heard. It is 0 if one of them hears the node.
func (w *modelWorld) longestReportedSilence(node uint64) time.Duration {
	longest := time.Duration(0)
	for _, machine := range w.machines {
		_, heard := w.heardAt[machine.id]
		if machine.observer == nil || !heard && machine != w.leader || machine.id == node {
			continue
		}
		silence, reports := machine.observer.reported[node]
		switch {
		case !reports:
		case silence == 0:
			return 0
		default:
			longest = max(longest, silence)
		}
	}
	return longest
}
