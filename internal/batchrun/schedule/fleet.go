package schedule

import "time"

// Fleet summarizes the replicas of all pools that accept new work.
type Fleet struct {
	// Fastest and Slowest are the times between two events on the fastest and on the slowest replica, by their
	// long-term paces. 0: unknown.
	Fastest, Slowest time.Duration
	// SlowdownRemaining is how long a temporary slowdown is expected to last; 0: no replica reports its pace.
	SlowdownRemaining time.Duration
	// Memory is the used fraction of memory of the replica whose memory is fullest; 0: no memory size is known.
	Memory float64
}

// Fleet summarizes the replicas that accept new work.
func (s *Scheduler) Fleet() Fleet {
	var found Fleet
	for _, pool := range s.pools {
		if pool.reportsPace {
			found.SlowdownRemaining = max(found.SlowdownRemaining, pool.slowdownDuration.Expected())
		}
		for _, replica := range pool.replicas {
			if pause := fromSeconds(replica.pace); pause > 0 {
				found.Slowest = max(found.Slowest, pause)
				if found.Fastest == 0 || pause < found.Fastest {
					found.Fastest = pause
				}
			}
			if replica.Memory > 0 {
				found.Memory = max(found.Memory, s.peakMemory(replica)/float64(replica.Memory))
			}
		}
	}
	return found
}
