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
		Known: true, Ended: held.ended, Total: uint64(len(held.items)), Next: query.GetSince(), Listed: uint64(len(held.results)),
	}
	if query.GetCountOnly() {
		return view
	}
	budget := MaximumReplyBytes
	if limit := int(query.GetMaxBytes()); limit > 0 {
		budget = min(budget, limit)
	}
	if query.GetSince() >= uint64(len(held.results)) {
		return view
	}
	for _, result := range held.results[query.GetSince():] {
		if budget -= proto.Size(result) - storedBytes(result) + textBytes(result); budget < 0 && len(view.Results) > 0 {
			break
		}
		view.Results = append(view.Results, result)
		view.Next++
	}
	return view
}

// Item returns what is known of a job's item; the body only while the job is open.
func (s *Store) Item(query *wire.JobItemQuery) *wire.JobItemView {
	held := s.ofTenant(query.GetJob(), query.GetTenant())
	if held == nil || held.items[query.GetItem()] == nil {
		return &wire.JobItemView{}
	}
	view := &wire.JobItemView{Known: true, Listed: held.listed[query.GetItem()], Held: !held.ended}
	view.Body = held.items[query.GetItem()].GetBody()
	return view
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
