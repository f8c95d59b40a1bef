package weights

import (
	"cmp"
	"slices"
)

const (
	// usualLag is how far behind the newest version weights usually may be and still be used: trainers ask for a
	// step with the weights of the step before.
	usualLag = 1
	// scarce is the part of a model's replicas, as one in so many, below which too few can work for its newest step.
	scarce = 3
)

// supply is how many replicas serve a model.
type supply struct {
	replicas int
	usable   int // for the newest work
	newest   int // serve the newest version or load: what the next step will find
}

// arrange sorts the queue: places are few. Models that too few replicas can work for go first, and otherwise those
// whose newest version the fewest replicas serve or load. Among a model's orders the order of its wave stays.
func (d *Driver) arrange() {
	supplies := make(map[string]supply, len(d.planners))
	for model, planner := range d.planners {
		of, target := supply{replicas: len(d.serving[model])}, planner.Target().Number
		for _, number := range d.serving[model] {
			if number+usualLag >= target {
				of.usable++
			}
			if number >= target {
				of.newest++
			}
		}
		for _, loading := range d.busy {
			if loading == model {
				of.newest++
				of.usable++
			}
		}
		supplies[model] = of
	}
	slices.SortStableFunc(d.queue, func(a, b queued) int {
		return supplies[a.model].compare(supplies[b.model])
	})
}

func (s supply) scarce() int {
	if scarce*s.usable < s.replicas {
		return 0
	}
	return 1
}

func (s supply) compare(other supply) int {
	return cmp.Or(cmp.Compare(s.scarce(), other.scarce()), cmp.Compare(s.newest, other.newest))
}
