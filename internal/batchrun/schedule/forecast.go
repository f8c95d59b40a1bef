package schedule

import (
	"cmp"
	"slices"
	"time"
)

// lengthLimit learns the maximum length of a model's answers. Requests limit their answers, so the longest of many
// answers end at that limit.
type lengthLimit struct {
	events int // of the longest answer
	count  int // number of answers of that length
}

// limitConfirmations is how many answers must share the largest number of events for it to count as the limit of all
// answers.
const limitConfirmations = 3

// note records the events of a complete answer.
func (l *lengthLimit) note(events int) {
	switch {
	case events > l.events:
		*l = lengthLimit{events: events, count: 1}
	case events == l.events:
		l.count++
	}
}

// bound returns the maximum number of events of a model's answers; 0 while it is unknown.
func (l *lengthLimit) bound() int {
	if l == nil || l.count < limitConfirmations {
		return 0
	}
	return l.events
}

// noteLength records the number of events of a model's complete answer.
func (s *Scheduler) noteLength(model string, events int) {
	if s.lengthLimits == nil {
		s.lengthLimits = map[string]*lengthLimit{}
	}
	if s.lengthLimits[model] == nil {
		s.lengthLimits[model] = &lengthLimit{}
	}
	s.lengthLimits[model].note(events)
}

// ExpectedEnd returns when the groups that a job's owner requires are expected to be complete, according to the running
// items and the paces of their replicas. An answer that has outgrown its estimate is expected to reach the maximum
// length of its model's answers. The end is unknown while a required item is not running or while that maximum is
// unknown.
func (s *Scheduler) ExpectedEnd(id string) (end time.Duration, known bool) {
	job := s.jobs[id]
	if job == nil {
		return 0, false
	}
	limit := s.lengthLimits[job.Model].bound()
	if limit == 0 {
		return 0, false
	}
	required := job.Desired
	if required <= 0 {
		required = len(job.groups)
	}
	var ends []time.Duration
	for _, member := range job.groups {
		switch groupEnd, complete := s.estimateGroupEnd(member, limit); {
		case member.cannotComplete():
		case complete:
			required--
		case member.carried:
			required--
			end = max(end, groupEnd)
		default:
			ends = append(ends, groupEnd)
		}
	}
	slices.SortFunc(ends, cmp.Compare)
	switch {
	case required > len(ends):
		return 0, false
	case required > 0:
		end = max(end, ends[required-1])
	}
	return end, end > 0 && end < unboundedTime
}

// estimateGroupEnd returns when the last item of a group is expected to end, or unboundedTime if an unfinished item is
// not running. complete reports that all items have ended.
func (s *Scheduler) estimateGroupEnd(member *group, limit int) (end time.Duration, complete bool) {
	complete = true
	for _, entry := range member.items {
		switch entry.state {
		case finished, terminated:
			continue
		case running:
			end = max(end, s.estimateRunEnd(entry, limit))
		default:
			end = unboundedTime
		}
		complete = false
	}
	return end, complete
}

// estimateRunEnd returns when a run is expected to end, given the maximum number of events of an answer; unboundedTime
// if the pace is unknown.
func (s *Scheduler) estimateRunEnd(entry *item, limit int) time.Duration {
	replica := s.replicas[entry.run.instance]
	if replica == nil {
		return unboundedTime
	}
	pace := cmp.Or(replica.pace, s.poolNamed(replica.Pool).pace)
	if pace == 0 {
		return unboundedTime
	}
	delivered := float64(entry.earlierEvents + entry.run.events)
	total := min(s.expectedEvents(entry), float64(limit))
	if delivered >= total {
		total = float64(limit)
	}
	return entry.run.lastEvent + fromSeconds(max(total-delivered, 0)*pace)
}
