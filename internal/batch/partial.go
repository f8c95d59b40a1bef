package batch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

func checkPartial(partial *wire.JobPartial) error {
	switch {
	case len(partial.GetData()) == 0 || partial.GetEvents() == 0:
		return trace.BadParameter("the partial text of item %q is empty", partial.GetItem())
	case len(partial.GetData()) > rawLength(partial.GetData(), partial.GetDeflatedFrom()):
		return trace.BadParameter("the partial text of item %q grew when it was deflated", partial.GetItem())
	case partial.GetLength() > MaximumResultBytes || int(partial.GetLength())+rawBytes(partialPieces(partial)) > MaximumResultBytes:
		return trace.BadParameter("the partial text of item %q is longer than %d bytes", partial.GetItem(), MaximumResultBytes)
	}
	return nil
}

// extend takes a partial text that begins anew or goes on where the held one ends.
func (s *Store) extend(j *job, partial *wire.JobPartial) {
	held := j.partials[partial.GetItem()]
	added := &wire.JobPartial{
		Item: partial.GetItem(), Data: partial.GetData(), DeflatedFrom: partial.GetDeflatedFrom(), Events: partial.GetEvents(),
		NextLastId: partial.GetNextLastId(), Dense: partial.GetDense(), Versions: partial.GetVersions(), Sum: partial.GetSum(),
	}
	if partial.GetLength() > 0 {
		if held == nil || held.GetNextLastId() != partial.GetLastId() || !s.holds(held, partial.GetLength(), partial.GetFollows()) {
			return
		}
		added.Pieces = partialPieces(held)
	}
	if added.Sum == 0 { // of an earlier version of the program, which told none
		text, err := PartialText(added)
		if err != nil {
			return
		}
		added.Sum = TextSum(text)
	}
	s.hold(j, added)
}

// holds tells whether a held partial text is the one that something follows.
func (s *Store) holds(held *wire.JobPartial, length, sum uint64) bool {
	return uint64(rawBytes(partialPieces(held))) == length && (held.GetSum() == sum || s.unsafe.JoinRuns)
}

// whole returns a result with the held partial text that it follows; false if that is not held.
func (s *Store) whole(j *job, result *wire.JobResult) (*wire.JobResult, bool) {
	if result.GetFollowsLength() == 0 {
		return result, true
	}
	held := j.partials[result.GetItem()]
	if held == nil || !s.holds(held, result.GetFollowsLength(), result.GetFollows()) {
		return nil, false
	}
	return &wire.JobResult{
		Item: result.GetItem(), State: result.GetState(), Text: result.GetText(), DeflatedFrom: result.GetDeflatedFrom(),
		Versions: result.GetVersions(), Score: result.GetScore(), Pieces: partialPieces(held),
	}, true
}

func (s *Store) hold(j *job, partial *wire.JobPartial) {
	s.drop(j, partial.GetItem())
	j.partials[partial.GetItem()] = partial
	s.count(j, proto.Size(partial))
}

// drop forgets the partial text of an item.
func (s *Store) drop(j *job, item string) {
	if held := j.partials[item]; held != nil {
		s.count(j, -proto.Size(held))
		delete(j.partials, item)
	}
}

func (s *Store) count(j *job, bytes int) {
	j.bytes += bytes
	s.held += bytes
}

// sortedPartials returns a job's partial texts in order of the items' ids.
func (j *job) sortedPartials() []*wire.JobPartial {
	return slices.SortedFunc(maps.Values(j.partials), func(a, b *wire.JobPartial) int { return cmp.Compare(a.GetItem(), b.GetItem()) })
}

func (s *Store) restorePartials(held *job, partials []*wire.JobPartial) error {
	for _, partial := range partials {
		if err := checkPartial(partial); err != nil {
			return trace.Wrap(err, "snapshot has a malformed partial text")
		}
		id := partial.GetItem()
		if held.ended || held.items[id] == nil || held.listed[id] || held.partials[id] != nil || partial.GetLength() > 0 {
			return trace.BadParameter("snapshot has a partial text that no running item can have: %q", id)
		}
		s.hold(held, partial)
	}
	return nil
}
