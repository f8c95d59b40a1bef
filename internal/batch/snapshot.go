package batch

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Snapshot returns the whole state as a message; equal stores give equal messages. Later commands don't change
// it: it shares messages with the store, which never modifies them.
func (s *Store) Snapshot() *wire.JobSnapshot {
	snapshot := &wire.JobSnapshot{Revision: s.revision, ClockMillis: s.clock,
		Jobs: make([]*wire.JobRecord, 0, len(s.order))}
	for _, held := range s.order {
		snapshot.Jobs = append(snapshot.Jobs, &wire.JobRecord{
			Submit: held.submit, Revision: held.revision, Ended: held.ended, Results: slices.Clone(held.results),
			Partials: held.sortedPartials(), CountedFromMillis: held.countedFrom, Unscored: held.sortedUnscored(),
		})
	}
	return snapshot
}

// Restore replaces the state with a snapshot's. On an error the store is unchanged. The store keeps the
// snapshot's messages.
func (s *Store) Restore(snapshot *wire.JobSnapshot) error {
	restored := NewUnsafe(s.unsafe)
	restored.revision, restored.clock = snapshot.GetRevision(), snapshot.GetClockMillis()
	last := uint64(0)
	for _, record := range snapshot.GetJobs() {
		if err := restored.restoreJob(record, last); err != nil {
			return trace.Wrap(err)
		}
		last = record.GetRevision()
	}
	*s = *restored
	return nil
}

func (s *Store) restoreJob(record *wire.JobRecord, after uint64) error {
	if err := checkSubmit(record.GetSubmit()); err != nil {
		return trace.Wrap(err, "snapshot has a malformed job")
	}
	id := record.GetSubmit().GetId()
	if s.jobs[id] != nil || record.GetRevision() <= after || record.GetRevision() > s.revision || record.GetCountedFromMillis() > s.clock {
		return trace.BadParameter("snapshot has a job twice or out of order: %q", id)
	}
	held := s.add(record.GetSubmit(), record.GetRevision())
	held.ended, held.countedFrom = record.GetEnded(), record.GetCountedFromMillis()
	for _, result := range record.GetResults() {
		if err := checkResult(result); err != nil {
			return trace.Wrap(err, "snapshot has a malformed result of job %q", id)
		}
		if held.items[result.GetItem()] == nil || held.listed[result.GetItem()] || result.GetFollowsLength() > 0 {
			return trace.BadParameter("snapshot has a result of job %q for no item or twice: %q", id, result.GetItem())
		}
		s.list(held, result)
	}
	if err := s.restorePartials(held, record.GetPartials()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.restoreUnscored(held, record.GetUnscored()))
}
