package schedule

import "time"

// Progress records how many events a run has delivered so far, when the last one arrived, and the weight version that
// generated it (0: unknown).
func (s *Scheduler) Progress(key Key, events int, last time.Duration, version uint64) {
	entry := s.find(key)
	if entry == nil || entry.state != running || events <= entry.run.events {
		return
	}
	replica := s.replicas[entry.run.instance]
	if replica == nil {
		return
	}
	if before := entry.run.events; before > 0 && last > entry.run.lastEvent {
		s.poolNamed(replica.Pool).notePace(replica, &entry.run, last, (last - entry.run.lastEvent).Seconds(), events-before)
	} else if before == 0 && last > entry.run.started {
		updateMean(&s.poolNamed(replica.Pool).meanFirstEventDelay, (last - entry.run.started).Seconds())
	}
	entry.run.events, entry.run.lastEvent = events, last
	s.revision++
	entry.eventlessRuns, entry.oversized = 0, false
	replica.endProbation(entry)
	s.noteVersion(replica, entry.job.Model, version, last)
}

// endProbation resets the replica's failure counts and ends its probation, unless the item's run started before the
// probation.
func (r *replica) endProbation(entry *item) {
	if r.onProbation && entry.run.started < r.probationStart {
		return
	}
	r.failuresInRow, r.refusalsInRow, r.onProbation = 0, 0, false
	if r.probe == entry {
		r.probe = nil
	}
}

// updateMean adds a value to a moving average. The first value replaces a mean of 0.
func updateMean(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += lengthWeight * (value - *mean)
}

// SetHeardUntil records that another process drives a run and up to when it has reported on the run. The time after
// that does not count as silence of the run, because the process itself may have fallen silent.
func (s *Scheduler) SetHeardUntil(key Key, until time.Duration) {
	if entry := s.find(key); entry != nil && entry.state == running {
		entry.run.remote, entry.run.heardUntil = true, until
	}
}

// silence returns how long the run is known to have delivered no event.
func (r *run) silence(now time.Duration) time.Duration {
	if r.remote {
		return min(r.heardUntil, now) - r.lastEvent
	}
	return now - r.lastEvent
}

// Stalled returns the runs that have delivered no event for too long. The caller must stop them and report them to
// Ended with the ending Broken. Until then they count as running.
func (s *Scheduler) Stalled(now time.Duration) []Key {
	var stalled []Key
	for _, id := range s.Jobs() {
		for _, member := range s.jobs[id].groups {
			for _, entry := range member.items {
				if entry.state == running && entry.run.silence(now) > s.stallTimeout(entry) {
					stalled = append(stalled, Key{Job: id, Item: entry.ID})
				}
			}
		}
	}
	return stalled
}

// stallTimeout returns how long a run may go without an event.
func (s *Scheduler) stallTimeout(entry *item) time.Duration {
	if entry.run.events == 0 {
		return s.settings.FirstEvent
	}
	usual := 0.0
	if replica := s.replicas[entry.run.instance]; replica != nil {
		pool := s.poolNamed(replica.Pool)
		usual = pool.pace
		if pool.reportsPace {
			usual = max(usual, replica.pace) // a replica that is known to be slow is not silent
		}
	}
	return max(s.settings.MinimumStall, time.Duration(usual*float64(s.settings.StallFactor)*float64(time.Second)))
}

// Ended records how an item's run ended and returns the item's next state. version is the weight version that the
// replica last reported; 0 if none.
func (s *Scheduler) Ended(now time.Duration, key Key, ending Ending, version uint64) Next {
	entry := s.find(key)
	if entry == nil || entry.state != running {
		return Forgotten
	}
	replica := s.replicas[entry.run.instance]
	instance := entry.run.instance
	if replica != nil {
		s.recordOutcome(replica, entry, ending, version, now)
	}
	s.revision++
	s.usage.Add(entry.job.owner().Name, s.completedWork(entry, ending), now)
	isEventless := entry.run.events == 0
	s.endRun(entry)
	entry.state, s.waitingOrder = waiting, nil
	if ending.mayHaveRun() {
		entry.lastAtReplica = now
	}
	if ending != Moved {
		s.releaseReservation(entry)
	}
	switch ending {
	case Completed:
		if entry.Scored {
			entry.state = scoring
			return ToScore
		}
		entry.state = finished
		return Done
	case Impossible:
		entry.state = terminated
		return GivenUp
	case Failed:
		entry.failures++
		if entry.job.MaxAttempts > 0 && entry.failures >= entry.job.MaxAttempts {
			entry.state = terminated
			return GivenUp
		}
		entry.hold(now+s.settings.RetryPause, HeldRetry)
	case Changed:
		entry.earlierEvents = 0 // the text starts over
		entry.hold(now+s.settings.RetryPause, HeldRetry)
	case Lost:
		entry.hold(now+s.settings.RetryPause, HeldRetry) // otherwise the same process could be chosen and lost again at once
	case Full, Broken:
		if isEventless {
			s.holdAfterFailure(entry, replica, ending, now)
		}
	}
	if ending != Stopped && ending != Lost {
		entry.avoidInstance = instance
	}
	return Again
}

// recordOutcome updates the state of a replica with the end of a run there.
func (s *Scheduler) recordOutcome(replica *replica, entry *item, ending Ending, version uint64, now time.Duration) {
	s.noteVersion(replica, entry.job.Model, version, now)
	switch ending {
	case Completed:
		replica.endProbation(entry)
		s.poolNamed(replica.Pool).noteAnswer(entry.earlierEvents+entry.run.events, entry.Length)
		s.noteLength(entry.job.Model, entry.earlierEvents+entry.run.events)
	case Full:
		if replica.isTooSmallFor(entry) {
			return // the rejection says nothing about other items
		}
		s.suspend(replica, &replica.refusalsInRow, s.settings.FullPause, s.settings.MaximumFullPause, now, entry, ending)
	case Broken, Unreachable, Misdirected:
		s.suspend(replica, &replica.failuresInRow, s.settings.FailurePause, s.settings.MaximumPause, now, entry, ending)
	}
}

// Suspended returns the suspensions since the last call.
func (s *Scheduler) Suspended() []Suspension {
	suspended := s.suspended
	s.suspended = nil
	return suspended
}

// suspend pauses new items for a replica, for twice as long with each consecutive suspension up to maximum. Runs that
// end during a pause do not count again.
func (s *Scheduler) suspend(replica *replica, count *int, pause, maximum, now time.Duration, entry *item, ending Ending) {
	if replica.pausedUntil > now {
		return
	}
	replica.pausedUntil = now + doubled(pause, *count, maximum)
	*count++
	replica.onProbation, replica.probationStart = true, now
	s.suspended = append(s.suspended, Suspension{Key: Key{Job: entry.job.ID, Item: entry.ID}, Instance: replica.Instance, Ending: ending,
		Pause: replica.pausedUntil - now, InRow: *count})
}
