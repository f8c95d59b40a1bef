package weights

import (
	"cmp"
	"slices"
)

const (
	// usableStaleness is the staleness in versions up to which weights are usually accepted: trainers request a step
	// with the weights of the step before.
	usableStaleness = 1
	// scarceDivisor defines when a model is scarce: fewer than one in scarceDivisor of its replicas serve a version
	// that is recent enough for the newest step.
	scarceDivisor = 3
	// maxDemandRatio bounds the weight of a model's demand relative to the lowest one, so that a model with little
	// open work still has current weights for its next job.
	maxDemandRatio = 4
)

// supply counts the replicas of a model.
type supply struct {
	replicas int
	usable   int // replicas whose version is recent enough for the newest step
	newest   int // replicas that serve the newest version or are loading it
	// demand is the open work of the model as a multiple of that of the model with the least; at least 1.
	demand float64
}

// countSupplies returns the supply of each model. A replica that is loading counts as serving the newest version.
func (d *Driver) countSupplies() map[string]supply {
	supplies := make(map[string]supply, len(d.planners))
	ratios := d.demandRatios()
	for model, planner := range d.planners {
		count, target := supply{demand: max(ratios[model], 1)}, planner.Target().Number
		for number, replicas := range d.served.counts[model] {
			count.replicas += replicas
			if number+usableStaleness >= target {
				count.usable += replicas
			}
			if number >= target {
				count.newest += replicas
			}
		}
		supplies[model] = count
	}
	for _, loading := range d.loadingModels {
		if count, known := supplies[loading]; known {
			supplies[loading] = count.withLoad()
		}
	}
	return supplies
}

// demandRatios returns the open work of each model as a multiple of the least one, bounded by maxDemandRatio.
func (d *Driver) demandRatios() map[string]float64 {
	work := d.config.Demand()
	least := uint64(0)
	for _, tokens := range work {
		if tokens > 0 && (least == 0 || tokens < least) {
			least = tokens
		}
	}
	ratios := make(map[string]float64, len(work))
	for model, tokens := range work {
		ratios[model] = min(float64(tokens)/float64(max(least, 1)), maxDemandRatio)
	}
	return ratios
}

// withLoad returns the supply with one more replica that loads the newest version.
func (s supply) withLoad() supply {
	s.newest++
	s.usable++
	return s
}

// sortQueue sorts the queue by urgency, since load slots are limited. Scarce models come first. Among the scarce models
// and among the others, those come first whose newest version is served or being loaded by the fewest replicas relative
// to the demand. Orders of the same model keep the order of their wave.
func (d *Driver) sortQueue(supplies map[string]supply) {
	slices.SortStableFunc(d.queue, func(a, b queuedOrder) int {
		return supplies[a.model].compare(supplies[b.model])
	})
}

// scarcityRank returns 0 for a scarce model and 1 for any other.
func (s supply) scarcityRank() int {
	if scarceDivisor*s.usable < s.replicas {
		return 0
	}
	return 1
}

// compare orders supplies by urgency, most urgent first.
func (s supply) compare(other supply) int {
	return cmp.Or(cmp.Compare(s.scarcityRank(), other.scarcityRank()), cmp.Compare(float64(s.newest)/s.demand, float64(other.newest)/other.demand))
}
