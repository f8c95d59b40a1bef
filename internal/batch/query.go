package batch

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Reading is the answer to a query. An answer that needs a part of the state which may not be in memory is read by Load.
type Reading[View any] struct {
	View View                 // the answer, unless Load is set
	Load func() (View, error) // reads the answer; may run concurrently with later commands
}

// Now returns the answer, and reads it if necessary.
func (r Reading[View]) Now() (View, error) {
	if r.Load == nil {
		return r.View, nil
	}
	return r.Load()
}

// Results returns the results of a job from a position on: at least one if there is one. MaxBytes limits the texts by
// their decompressed length, as the caller reads them.
func (s *Store) Results(query *wire.JobResultsQuery) Reading[*wire.JobResultsView] {
	held := s.jobOfTenant(query.GetJob(), query.GetTenant())
	if held == nil {
		return Reading[*wire.JobResultsView]{View: &wire.JobResultsView{}}
	}
	view := &wire.JobResultsView{
		Known: true, Ended: held.ended, Total: uint64(held.itemCount()), Next: query.GetSince(), Listed: uint64(held.resultCount()),
	}
	if query.GetCountOnly() {
		return Reading[*wire.JobResultsView]{View: view}
	}
	if sealed := held.sealed; sealed != nil && query.GetSince() < uint64(sealed.results) {
		return Reading[*wire.JobResultsView]{Load: func() (*wire.JobResultsView, error) {
			err := sealed.eachResult(query.GetSince(), addWithinBudget(view, query))
			return view, err
		}}
	}
	held.eachResult(query.GetSince(), addWithinBudget(view, query))
	return Reading[*wire.JobResultsView]{View: view}
}

// addWithinBudget returns a function that adds results to a view. It returns false once the view is full.
func addWithinBudget(view *wire.JobResultsView, query *wire.JobResultsQuery) func(*wire.JobResult) bool {
	budget := MaximumReplyBytes
	if limit := int(query.GetMaxBytes()); limit > 0 {
		budget = min(budget, limit)
	}
	return func(result *wire.JobResult) bool {
		if budget -= proto.Size(result) - storedBytes(result) + textBytes(result); budget < 0 && len(view.Results) > 0 {
			return false
		}
		view.Results = append(view.Results, result)
		view.Next++
		return true
	}
}

// Room returns whether a job is stored, the size of all jobs, and the time until the next one is removed.
func (s *Store) Room(query *wire.JobRoomQuery) *wire.JobRoomView {
	return &wire.JobRoomView{
		Known: s.jobOfTenant(query.GetJob(), query.GetTenant()) != nil, HeldBytes: uint64(s.heldBytes), RoomInMillis: uint32(s.nextExpiryMillis),
	}
}

// Item returns the state of an item of a job. The body is included only while the job is open.
func (s *Store) Item(query *wire.JobItemQuery) Reading[*wire.JobItemView] {
	held := s.jobOfTenant(query.GetJob(), query.GetTenant())
	if held == nil {
		return Reading[*wire.JobItemView]{View: &wire.JobItemView{}}
	}
	if sealed := held.sealed; sealed != nil {
		return Reading[*wire.JobItemView]{Load: func() (*wire.JobItemView, error) {
			known, listed, err := sealed.hasItem(query.GetItem())
			return &wire.JobItemView{Known: known, Listed: listed}, err
		}}
	}
	item := held.items[query.GetItem()]
	if item == nil {
		return Reading[*wire.JobItemView]{View: &wire.JobItemView{}}
	}
	return Reading[*wire.JobItemView]{View: &wire.JobItemView{Known: true, Listed: held.listed[query.GetItem()], Held: !held.ended, Body: item.GetBody()}}
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
