package schedule

import (
	"slices"
	"time"

	"github.com/tamarindring/tamarindring/internal/fairqueue"
)

const (
	// maximumDemandRatio is the highest ratio between the open work of the owners with the most and with the least work
	// at which items still start in the order of their latest starts. It tolerates trainers whose steps differ in size.
	// Above it, or if the owners' weights differ, owners take turns.
	maximumDemandRatio = 8
	// usageHalfLife is about the duration of a step. The work that an owner received for its last step then counts
	// against its next one, and an owner that returns after a pause does not take all the capacity.
	usageHalfLife = 8 * time.Second
)

// owner returns the owner of the job's work. This is the tenant or, if that is unknown, the trainer whose weights the
// job uses, because each step of a trainer is a job of its own.
func (j *job) owner() fairqueue.Owner {
	switch {
	case j.Tenant != "":
		return fairqueue.Owner{Name: "tenant/" + j.Tenant, Weight: j.Weight}
	case j.Model != "":
		return fairqueue.Owner{Name: "model/" + j.Model}
	}
	return fairqueue.Owner{Name: "job/" + j.ID}
}

// SetWeight sets the weight of a job's tenant.
func (s *Scheduler) SetWeight(id string, weight uint32) {
	if job := s.jobs[id]; job != nil && job.Weight != weight {
		job.Weight, s.waitingOrder = weight, nil
	}
}

// ownerDemand is the open work of an owner, in the units of expectedWork.
type ownerDemand struct {
	fairqueue.Owner
	requested float64 // work of all its open jobs
	received  float64 // remaining work of its runs, and work that it received lately
}

// Turns reports whether owners take turns, and the figures on which that decision was based. The other fields are zero
// unless Taken is set.
type Turns struct {
	Taken   bool
	Owners  int
	Waiting int    // items
	Largest string // name of the owner with the most work
	// Most and Least are the work of the owners that ask for the most and for the least, in events.
	Most, Least float64
}

// Turns returns the basis of the present order of work.
func (s *Scheduler) Turns() Turns { return s.turns }

// describeTurns describes the owners that take turns.
func describeTurns(demands map[string]*ownerDemand, waiting int) Turns {
	turns := Turns{Taken: true, Owners: len(demands), Waiting: waiting}
	for name, one := range demands {
		if one.requested > turns.Most || one.requested == turns.Most && name < turns.Largest {
			turns.Largest, turns.Most = name, one.requested
		}
		if turns.Least == 0 || one.requested < turns.Least {
			turns.Least = one.requested
		}
	}
	return turns
}

// takeTurns reorders waiting items, which are sorted by their latest starts, so that owners take turns if one of them
// would otherwise use up the capacity of the others. This is the case if some items can no longer be in time and either
// the owners' weights differ or one owner asks for many times the work of another. Otherwise the order of latest starts
// stays.
func (s *Scheduler) takeTurns(items []*item, now time.Duration) []*item {
	s.turns = Turns{}
	if !s.isOverloaded(items, now) {
		return items
	}
	demands := s.ownerDemands(now)
	if !isDemandUneven(demands) {
		return items
	}
	s.turns = describeTurns(demands, len(items))
	var queue fairqueue.Queue[*item]
	for _, one := range demands {
		queue.Charge(one.Owner, one.received)
	}
	for _, entry := range items {
		queue.Push(entry.job.owner(), s.remainingWork(entry), entry)
	}
	ordered := items[:0]
	for {
		next, found := queue.Pop()
		if !found {
			return ordered
		}
		ordered = append(ordered, next)
	}
}

// isOverloaded reports whether more items wait than there are free slots and some of them can no longer be in time.
func (s *Scheduler) isOverloaded(items []*item, now time.Duration) bool {
	late := func(entry *item) bool { return entry.latestStart < now }
	if len(items) == 0 || !slices.ContainsFunc(items, late) {
		return false
	}
	freeSlots := 0
	for _, replica := range s.replicas {
		if !replica.draining {
			freeSlots += max(replica.Slots-replica.running, 0)
		}
	}
	return len(items) > freeSlots
}

// ownerDemands returns the demands of the owners of the open jobs, by owner name.
func (s *Scheduler) ownerDemands(now time.Duration) map[string]*ownerDemand {
	demands := map[string]*ownerDemand{}
	for _, job := range s.jobs {
		owner := job.owner()
		demand := demands[owner.Name]
		if demand == nil {
			demand = &ownerDemand{Owner: owner, received: s.usage.Work(owner.Name, now)}
			demands[owner.Name] = demand
		}
		for _, entry := range job.items {
			demand.requested += s.expectedWork(entry)
			if entry.state == running {
				demand.received += s.remainingWork(entry)
			}
		}
	}
	return demands
}

// isDemandUneven reports whether the owners' weights differ or one owner asks for many times the work of another.
func isDemandUneven(demands map[string]*ownerDemand) bool {
	least, most := 0.0, 0.0
	weight := uint32(0)
	for _, one := range demands {
		ownerWeight := one.Weight
		if ownerWeight == 0 {
			ownerWeight = fairqueue.DefaultWeight
		}
		if weight != 0 && ownerWeight != weight {
			return true
		}
		weight = ownerWeight
		if least == 0 || one.requested < least {
			least = one.requested
		}
		most = max(most, one.requested)
	}
	return most > maximumDemandRatio*least
}

// expectedWork returns the expected work of an item in events or, while the number of tokens per event is unknown, in
// tokens.
func (s *Scheduler) expectedWork(entry *item) float64 {
	if events := s.expectedEvents(entry); events > 0 {
		return events
	}
	return float64(max(entry.Length, 1))
}

// remainingWork returns the expected work of an item without what its ended runs have delivered.
func (s *Scheduler) remainingWork(entry *item) float64 {
	return max(s.expectedWork(entry)-float64(entry.earlierEvents), 1)
}

// completedWork returns the work of a run that has ended.
func (s *Scheduler) completedWork(entry *item, ending Ending) float64 {
	switch {
	case s.expectedEvents(entry) > 0:
		return float64(entry.run.events)
	case ending == Completed:
		return s.remainingWork(entry)
	}
	return 0
}
