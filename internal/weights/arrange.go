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
	// greatestDemand bounds how many times as many places a model gets as another one, so that a model with little open
	// work still finds weights for its next job.
	greatestDemand = 4
)

// supply is how many replicas serve a model.
type supply struct {
	replicas int
	usable   int // for the newest work
	newest   int // serve the newest version or load: what the next step will find
	// demand is the model's part of the work, as a multiple of that of the model with the least; at least 1.
	demand float64
}

// supplies counts, by model, the replicas that serve it or load.
func (d *Driver) supplies() map[string]supply {
	supplies := make(map[string]supply, len(d.planners))
	demands := d.demands()
	for model, planner := range d.planners {
		of, target := supply{replicas: len(d.serving[model]), demand: max(demands[model], 1)}, planner.Target().Number
		for _, number := range d.serving[model] {
			if number+usualLag >= target {
				of.usable++
			}
			if number >= target {
				of.newest++
			}
		}
		supplies[model] = of
	}
	for _, loading := range d.busy {
		if of, known := supplies[loading]; known {
			supplies[loading] = of.withLoad()
		}
	}
	return supplies
}

// demands is the work of the models' open batch jobs as multiples of the least of them.
func (d *Driver) demands() map[string]float64 {
	work := d.config.Demand()
	least := uint64(0)
	for _, tokens := range work {
		if tokens > 0 && (least == 0 || tokens < least) {
			least = tokens
		}
	}
	demands := make(map[string]float64, len(work))
	for model, tokens := range work {
		demands[model] = min(float64(tokens)/float64(max(least, 1)), greatestDemand)
	}
	return demands
}

// withLoad counts one more replica that loads the newest version.
func (s supply) withLoad() supply {
	s.newest++
	s.usable++
	return s
}

// arrange sorts the queue: places are few. Models that too few replicas can work for go first, and otherwise those
// whose newest version the fewest replicas serve or load for the work of the model's jobs. Among a model's orders the order
// of its wave stays.
func (d *Driver) arrange(supplies map[string]supply) {
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
	return cmp.Or(cmp.Compare(s.scarce(), other.scarce()), cmp.Compare(float64(s.newest)/s.demand, float64(other.newest)/other.demand))
}
