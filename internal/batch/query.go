package batch

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Results returns results of a job from a position on: at least one if one exists there. Their bound counts
// the texts as they are read, not as they are stored.
func (s *Store) Results(query *wire.JobResultsQuery) *wire.JobResultsView {
	held := s.ofTenant(query.GetJob(), query.GetTenant())
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

// Room returns whether a job is held, how much all jobs take, and when the next one is forgotten.
func (s *Store) Room(query *wire.JobRoomQuery) *wire.JobRoomView {
	return &wire.JobRoomView{
		Known: s.ofTenant(query.GetJob(), query.GetTenant()) != nil, HeldBytes: uint64(s.held), RoomInMillis: uint32(s.roomIn),
	}
}

// Item returns what is known of a job's item; the body only while the job is open.
func (s *Store) Item(query *wire.JobItemQuery) *wire.JobItemView {
	held := s.ofTenant(query.GetJob(), query.GetTenant())
	if held == nil {
		return &wire.JobItemView{}
	}
	known, listed := held.hasItem(query.GetItem())
	if !known {
		return &wire.JobItemView{}
	}
	return &wire.JobItemView{Known: true, Listed: listed, Held: !held.ended, Body: held.items[query.GetItem()].GetBody()}
}

// Work returns the open jobs that were taken after a revision, with their finished items, and the ids of all
// open jobs.
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
