package batch

import (
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Captured is the state of a Store at one moment. Later commands don't change it: it shares messages with the store,
// which never modifies them.
type Captured struct {
	head *wire.JobSnapshot
	jobs []capturedJob
}

// capturedJob is a job in encoded form if it is sealed, or else its record.
type capturedJob struct {
	sealed *sealedJob
	record *wire.JobRecord
}

// Capture returns the current state. It copies no texts.
func (s *Store) Capture() *Captured {
	captured := &Captured{head: &wire.JobSnapshot{Revision: s.revision, ClockMillis: s.clock}, jobs: make([]capturedJob, 0, len(s.order))}
	for _, held := range s.order {
		if held.sealed != nil {
			captured.jobs = append(captured.jobs, capturedJob{sealed: held.sealed})
			continue
		}
		record := held.record()
		record.Results = slices.Clone(record.Results)
		captured.jobs = append(captured.jobs, capturedJob{record: record})
	}
	return captured
}

// Head returns the state without its jobs.
func (c *Captured) Head() *wire.JobSnapshot { return c.head }

// Parts encodes the jobs as parts, each a wire.MachineSnapshot that contains nothing else. Merging the parts in order
// gives all jobs. A sealed job is a part of its own, which the store shares.
func (c *Captured) Parts() (statepart.Parts, error) {
	var parts statepart.Parts
	var open *wire.JobSnapshot // adjacent jobs that are not sealed
	flush := func() error {
		if open == nil {
			return nil
		}
		part, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.MachineSnapshot{Jobs: open})
		open, parts = nil, append(parts, statepart.New(part))
		return trace.Wrap(err, "encoding batch jobs")
	}
	for _, captured := range c.jobs {
		if captured.sealed == nil {
			if open == nil {
				open = &wire.JobSnapshot{}
			}
			open.Jobs = append(open.Jobs, captured.record)
			continue
		}
		if err := flush(); err != nil {
			return nil, err
		}
		parts = append(parts, captured.sealed.part)
	}
	return parts, flush()
}

// Snapshot returns the whole state as a message. Equal stores give equal messages. The error is that of reading a part
// that is not in memory.
func (s *Store) Snapshot() (*wire.JobSnapshot, error) {
	captured := s.Capture()
	snapshot := captured.head
	snapshot.Jobs = make([]*wire.JobRecord, 0, len(captured.jobs))
	for _, held := range captured.jobs {
		if held.sealed != nil {
			record, err := Record{Part: held.sealed.part}.read()
			if err != nil {
				return nil, err
			}
			held.record = record
		}
		snapshot.Jobs = append(snapshot.Jobs, held.record)
	}
	return snapshot, nil
}

// Restore replaces the state with that of a snapshot. On an error the store is unchanged.
func (s *Store) Restore(snapshot *wire.JobSnapshot) error {
	records := make([]Record, 0, len(snapshot.GetJobs()))
	for _, record := range snapshot.GetJobs() {
		encoded, err := proto.Marshal(record)
		if err != nil {
			return trace.Wrap(err)
		}
		records = append(records, Record{Encoded: encoded})
	}
	return s.RestoreRecords(snapshot, records)
}

// RestoreRecords replaces the state with the head of a snapshot and the records of its jobs, in order. On an error the
// store is unchanged. The store retains the parts of sealed jobs.
func (s *Store) RestoreRecords(head *wire.JobSnapshot, records []Record) error {
	restored := NewUnsafe(s.unsafe)
	restored.revision, restored.clock = head.GetRevision(), head.GetClockMillis()
	last := uint64(0)
	for _, encoded := range records {
		record, err := encoded.read()
		if err != nil {
			return err
		}
		held, err := restored.restoreJob(record, last)
		if err != nil {
			return trace.Wrap(err)
		}
		if held.ended && held.countedFrom != 0 && encoded.Part != nil && !s.unsafe.ListAfterEnd {
			restored.sealAs(held, encoded.Part)
		}
		restored.seal(held)
		last = record.GetRevision()
	}
	*s = *restored
	return nil
}

// restoreJob adds the job of a record. It returns an error for a record that is malformed, a duplicate, or out of
// order: its revision must be above after and at most that of the store.
func (s *Store) restoreJob(record *wire.JobRecord, after uint64) (*job, error) {
	if err := checkSubmit(record.GetSubmit()); err != nil {
		return nil, trace.Wrap(err, "snapshot has a malformed job")
	}
	id := record.GetSubmit().GetId()
	if s.jobs[id] != nil || record.GetRevision() <= after || record.GetRevision() > s.revision || record.GetCountedFromMillis() > s.clock {
		return nil, trace.BadParameter("snapshot has a job twice or out of order: %q", id)
	}
	held := s.addJob(record.GetSubmit(), record.GetRevision())
	held.ended, held.countedFrom = record.GetEnded(), record.GetCountedFromMillis()
	for _, result := range record.GetResults() {
		if err := checkResult(result); err != nil {
			return nil, trace.Wrap(err, "snapshot has a malformed result of job %q", id)
		}
		if held.items[result.GetItem()] == nil || held.listed[result.GetItem()] || result.GetFollowsLength() > 0 {
			return nil, trace.BadParameter("snapshot has a result of job %q for no item or twice: %q", id, result.GetItem())
		}
		s.listResult(held, result)
	}
	if err := s.restorePartials(held, record.GetPartials()); err != nil {
		return nil, trace.Wrap(err)
	}
	return held, trace.Wrap(s.restoreUnscored(held, record.GetUnscored()))
}
