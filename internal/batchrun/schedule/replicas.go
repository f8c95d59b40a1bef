package schedule

import (
	"slices"
	"strings"
)

// Replicas replaces the set of replicas that accept new work. See ChangeReplicas.
func (s *Scheduler) Replicas(replicas []Replica) {
	present := make(map[string]bool, len(replicas))
	for _, described := range replicas {
		present[described.Instance] = true
	}
	var removed []string
	for instance := range s.replicas {
		if !present[instance] {
			removed = append(removed, instance)
		}
	}
	s.ChangeReplicas(replicas, removed)
}

// ChangeReplicas changes the set of replicas that accept new work: it adds or updates those in changed, and removes the
// instances in removed that are not in changed. It returns the instances that it did not know. The state of remaining
// replicas is kept, and runs on removed ones continue.
func (s *Scheduler) ChangeReplicas(changed []Replica, removed []string) (added []string) {
	pools := map[string]bool{}
	changing := make(map[string]bool, len(changed))
	for _, described := range changed {
		changing[described.Instance] = true
	}
	for _, instance := range removed {
		if known := s.replicas[instance]; known != nil && !changing[instance] {
			pools[known.Pool] = true
			s.drain(known)
		}
	}
	for _, described := range changed {
		known := s.replicas[described.Instance]
		if known == nil {
			known = &replica{Replica: described, versions: map[string]version{}, indexedVersion: map[string]uint64{}, items: map[*item]struct{}{}, draining: true}
			s.replicas[described.Instance] = known
			added = append(added, described.Instance)
		}
		pools[known.Pool], pools[described.Pool] = true, true
		isListed := !known.draining && known.Pool == described.Pool
		if !isListed {
			s.poolNamed(known.Pool).reported.remove(known)
		}
		known.Replica, known.draining = described, false
		if !isListed {
			s.poolNamed(described.Pool).insert(known)
		}
	}
	for name := range pools {
		changedPool := s.poolNamed(name)
		changedPool.prune(name)
		if changedPool.updateLargestMemory() {
			s.reconsiderOversized(name, changedPool)
		}
	}
	s.forgetDrained()
	return added
}

// drain makes a replica accept no new work.
func (s *Scheduler) drain(known *replica) {
	known.draining = true
	s.draining[known.Instance] = known
	s.poolNamed(known.Pool).reported.remove(known)
}

// forgetDrained forgets the draining replicas that have no runs any more.
func (s *Scheduler) forgetDrained() {
	for instance, known := range s.draining {
		if known.draining && known.running > 0 {
			continue
		}
		delete(s.draining, instance)
		if known.draining && s.replicas[instance] == known {
			delete(s.replicas, instance)
		}
	}
}

// insert adds a replica to the pool's list.
func (p *pool) insert(added *replica) {
	at, _ := slices.BinarySearchFunc(p.replicas, added.Instance, func(one *replica, instance string) int {
		return strings.Compare(one.Instance, instance)
	})
	p.replicas = slices.Insert(p.replicas, at, added)
	p.reported.insert(added)
}

// prune removes the replicas from the pool's list that accept no new work or belong to another pool by now, and numbers
// the others.
func (p *pool) prune(name string) {
	p.replicas = slices.DeleteFunc(p.replicas, func(one *replica) bool { return one.draining || one.Pool != name })
	p.paceStatisticsValid = false
	for position, one := range p.replicas {
		one.index = position
	}
}
