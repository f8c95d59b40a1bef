package replicabytes

import "time"

const (
	// maxTurnDuration is how long a process sends large bodies to a replica before it lets others do so. It is long
	// enough for several bodies to share the cost of a change, which takes some lease renewals, and short enough for
	// a body whose caller waits a few seconds to be sent in time.
	maxTurnDuration = time.Second
	// maxRequestDuration is how long a process waits for one replica before it requests another one, whose holder may
	// be idle.
	maxRequestDuration = time.Second
)

// turnState is the state of a process's turn at one replica.
type turnState uint8

const (
	turnRequested turnState = iota // requested from the leader; another process may have the turn
	turnActive                     // large bodies may be sent to the replica
	turnDraining                   // no further bodies are sent; those at the replica are not answered yet
	turnReleasing                  // released; waits until the leader has withdrawn the grant
)

// turn is the state of one turn and when it was entered.
type turn struct {
	state turnState
	since time.Duration
}

// Turns manages a process's turns at the replicas of one pool. Only the process that has the turn at a replica sends
// large bodies to it. Otherwise several processes, each within the limit, could exceed the replica's memory together.
// Turns are used only while a limit is known. Turns is not safe for concurrent use.
type Turns struct{ turns map[string]*turn }

// NewTurns returns a Turns without any turn.
func NewTurns() *Turns { return &Turns{turns: map[string]*turn{}} }

// StepInput is the input of Turns.Step.
type StepInput struct {
	Replicas []string                   // replicas that can take large bodies, in the order of this process's preference
	Waiting  int                        // number of bodies that wait for free space at a replica
	Granted  func(instance string) bool // whether the leader grants this process the turn at a replica
	Held     func(instance string) bool // whether a replica holds bodies of this process
}

// Step advances all turns, and requests further ones until there are as many as bodies wait, or no replica is left.
func (t *Turns) Step(now time.Duration, input *StepInput) {
	wanted := 0
	for instance, one := range t.turns {
		t.advance(now, instance, one, input)
		if one.state == turnRequested || one.state == turnActive {
			wanted++
		}
	}
	for _, instance := range input.Replicas {
		if wanted >= input.Waiting {
			return
		}
		if t.turns[instance] == nil {
			t.turns[instance] = &turn{state: turnRequested, since: now}
			wanted++
		}
	}
}

// advance performs the state transitions of one turn. A released turn is deleted once the leader no longer grants it.
func (t *Turns) advance(now time.Duration, instance string, one *turn, input *StepInput) {
	granted, held := input.Granted(instance), input.Held(instance)
	switch one.state {
	case turnRequested:
		if granted {
			one.state, one.since = turnActive, now
		} else if input.Waiting == 0 || now-one.since >= maxRequestDuration {
			one.state, one.since = turnReleasing, now
		}
	case turnActive:
		if !granted || now-one.since >= maxTurnDuration || input.Waiting == 0 && !held {
			one.state, one.since = turnDraining, now
		}
	}
	if one.state == turnDraining && !held {
		one.state, one.since = turnReleasing, now
	}
	if one.state == turnReleasing && !granted && now > one.since {
		delete(t.turns, instance)
	}
}

// MaySend reports whether large bodies may be sent to a replica now.
func (t *Turns) MaySend(now time.Duration, instance string) bool {
	one := t.turns[instance]
	return one != nil && one.state == turnActive && now-one.since < maxTurnDuration
}

// Demand returns what the process reports to the leader for a replica: that it uses the replica, waits for it, or
// neither. known is false if there is no turn at the replica.
func (t *Turns) Demand(instance string) (inUse, waiting uint32, known bool) {
	one := t.turns[instance]
	if one == nil {
		return 0, 0, false
	}
	switch one.state {
	case turnRequested:
		return 0, 1, true
	case turnReleasing:
		return 0, 0, true
	}
	return 1, 0, true
}

// Instances returns the replicas with a turn, in no particular order.
func (t *Turns) Instances() []string {
	instances := make([]string, 0, len(t.turns))
	for instance := range t.turns {
		instances = append(instances, instance)
	}
	return instances
}
