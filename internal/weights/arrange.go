package weights

import (
	"cmp"
	"slices"
)

// usualLag is how far behind the newest version weights usually may be and still be used: trainers ask for a step
// with the weights of the step before.
const usualLag = 1

// arrange sorts the queue. Replicas that are too far behind for the newest work go first, those of the model that the
// fewest replicas can work for before others: places are few, and a load for a model that most replicas can work
// for already delays one that nobody can work for. Otherwise the order in which they were queued stays.
func (d *Driver) arrange() {
	usable := make(map[string]int, len(d.planners))
	for model, planner := range d.planners {
		for _, number := range d.serving[model] {
			if number+usualLag >= planner.Target().Number {
				usable[model]++
			}
		}
	}
	late := func(one queued) int {
		if d.serving[one.model][one.order.Replica]+usualLag < one.order.Version.Number {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(d.queue, func(a, b queued) int {
		if order := cmp.Compare(late(a), late(b)); order != 0 || late(a) == 1 {
			return order
		}
		return cmp.Compare(usable[a.model], usable[b.model])
	})
}
