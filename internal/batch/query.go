package batch

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Results returns the results of a job from a position on: at least one if there is one. MaxBytes limits the texts by
// their decompressed length, as the caller reads them.
func (s *Store) Results(query *wire.JobResultsQuery) *wire.JobResultsView {
	held := s.jobOfTenant(query.GetJob(), query.GetTenant())
	if held == nil {
		return &wire.JobResultsView{}
	}
	view := &wire.JobResultsView{
		Known: true, Ended: held.ended, Total: uint64(held.itemCount()), Next: query.GetSince(), Listed: uint64(held.resultCount()),
	}
	if query.GetCountOnly() {
		return view
	}
	budget := MaximumReplyBytes
	if limit := int(query.GetMaxBytes()); limit > 0 {
		budget = min(budget, limit)
	}
	held.eachResult(query.GetSince(), func(result *wire.JobResult) bool {
		if budget -= proto.Size(result) - storedBytes(result) + textBytes(result); budget < 0 && len(view.Results) > 0 {
			return false
		}
		view.Results = append(view.Results, result)
		view.Next++
		return true
	})
	return view
}

// Room returns whether a job is stored, the size of all jobs, and the time until the next one is removed.
func (s *Store) Room(query *wire.JobRoomQuery) *wire.JobRoomView {
	return &wire.JobRoomView{
		Known: s.jobOfTenant(query.GetJob(), query.GetTenant()) != nil, HeldBytes: uint64(s.heldBytes), RoomInMillis: uint32(s.nextExpiryMillis),
	}
}

// Item returns the state of an item of a job. The body is included only while the job is open.
func (s *Store) Item(query *wire.JobItemQuery) *wire.JobItemView {
	held := s.jobOfTenant(query.GetJob(), query.GetTenant())
	if held == nil {
		return &wire.JobItemView{}
	}
	known, listed := held.hasItem(query.GetItem())
	if !known {
		return &wire.JobItemView{}
	}
	return &wire.JobItemView{Known: true, Listed: listed, Held: !held.ended, Body: held.items[query.GetItem()].GetBody()}
}

// Work returns the open jobs that were stored after a revision, with their finished items and stored texts, and the ids
// of all open jobs.
func (s *Store) Work(query *wire.JobWorkQuery) *wire.JobWorkView {
	view := &wire.JobWorkView{Revision: s.revision, Kept: len(s.order) > 0}
	for _, held := range s.order {
		if held.ended {
			continue
		}
		view.Open = append(view.Open, held.submit.GetId())
		if held.revision <= query.GetAfterRevision() {
			continue
		}
		work := &wire.JobWork{Job: held.submit}
		for _, result := range held.results {
			work.Finished = append(work.Finished, result.GetItem())
		}
		work.Partials = held.sortedPartials()
		work.Unscored = held.sortedUnscored()
		view.Jobs = append(view.Jobs, work)
	}
	return view
}
