package schedule

import (
	"slices"
	"time"
)

// paceWeight is the weight of a new pause in the moving averages.
const paceWeight = 0.1

// replica is a replica with what is known of it.
type replica struct {
	Replica
	gone      bool // takes nothing new
	running   int
	failures  int           // in a row
	pausedTo  time.Duration // gets nothing before
	version   uint64        // of its weights when last heard; 0: unknown
	versionAt time.Duration
	pace      float64 // usual pause between events, seconds; 0: unknown
}

type pool struct {
	replicas []*replica // by instance; those that take new work
	pace     float64
}

// Replicas replaces the replicas that take new work. What is known of those that stay is kept; items that run
// at those that leave run on.
func (s *Scheduler) Replicas(replicas []Replica) {
	named := make(map[string]bool, len(replicas))
	for _, held := range s.pools {
		held.replicas = nil
	}
	for _, described := range replicas {
		named[described.Instance] = true
		held := s.replicas[described.Instance]
		if held == nil {
			held = &replica{}
			s.replicas[described.Instance] = held
		}
		held.Replica, held.gone = described, false
		of := s.poolNamed(described.Pool)
		of.replicas = append(of.replicas, held)
	}
	for instance, held := range s.replicas {
		held.gone = !named[instance]
		if held.gone && held.running == 0 {
			delete(s.replicas, instance)
		}
	}
	for _, held := range s.pools {
		slices.SortFunc(held.replicas, func(a, b *replica) int {
			if a.Instance < b.Instance {
				return -1
			}
			return 1
		})
	}
}

func (s *Scheduler) poolNamed(name string) *pool {
	if s.pools[name] == nil {
		s.pools[name] = &pool{}
	}
	return s.pools[name]
}

// place chooses the replica for an item; nil if none may take it now.
func (s *Scheduler) place(entry *item, now time.Duration) *replica {
	name := entry.poolOf()
	if name == "" || s.pools[name] == nil {
		return nil
	}
	of := s.pools[name]
	var best *replica
	var bestLoad float64
	for _, candidate := range of.replicas {
		if !s.fits(candidate, entry, now) {
			continue
		}
		load := s.load(candidate, of)
		if candidate.Instance == entry.group.instance {
			load -= s.settings.AffinityBonus
		}
		if candidate.Instance == entry.avoid && len(of.replicas) > 1 {
			load += 2 // only if all others are taken
		}
		if best == nil || load < bestLoad {
			best, bestLoad = candidate, load
		}
	}
	return best
}

func (s *Scheduler) fits(candidate *replica, entry *item, now time.Duration) bool {
	if candidate.running >= candidate.Slots || candidate.pausedTo > now {
		return false
	}
	tooOld := candidate.version > 0 && candidate.version < entry.job.MinVersion
	return !tooOld || now >= candidate.versionAt+s.settings.VersionPause
}

// load is the part of a replica's slots that is taken with one more item, more for one that is slow.
func (s *Scheduler) load(candidate *replica, of *pool) float64 {
	load := float64(candidate.running+1) / float64(candidate.Slots)
	if candidate.pace > 0 && of.pace > 0 {
		load *= max(1, candidate.pace/of.pace)
	}
	return load
}

func (s *Scheduler) enter(entry *item, at *replica, now time.Duration) {
	entry.state = running
	entry.run = run{instance: at.Instance, started: now, last: now}
	entry.group.instance = at.Instance
	at.running++
}

// leave takes a running item from its replica; the caller sets its next state.
func (s *Scheduler) leave(entry *item) {
	if at := s.replicas[entry.run.instance]; at != nil {
		at.running--
		if at.gone && at.running == 0 {
			delete(s.replicas, at.Instance)
		}
	}
	entry.run = run{}
}
