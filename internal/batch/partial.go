package batch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// checkPartial checks the form and the size limit of a partial text.
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

// extendPartial stores a partial text that starts anew or continues the stored one. Any other is ignored.
func (s *Store) extendPartial(j *job, partial *wire.JobPartial) {
	held := j.partials[partial.GetItem()]
	added := &wire.JobPartial{
		Item: partial.GetItem(), Data: partial.GetData(), DeflatedFrom: partial.GetDeflatedFrom(), Events: partial.GetEvents(),
		NextLastId: partial.GetNextLastId(), Dense: partial.GetDense(), Versions: partial.GetVersions(), Sum: partial.GetSum(),
	}
	if partial.GetLength() > 0 {
		if held == nil || held.GetNextLastId() != partial.GetLastId() || !s.matchesPartial(held, partial.GetLength(), partial.GetFollows()) {
			return
		}
		added.Pieces = partialPieces(held)
	}
	if added.Sum == 0 { // from an older version of the program, which sent no sum
		text, err := PartialText(added)
		if err != nil {
			return
		}
		added.Sum = TextSum(text)
	}
	s.setPartial(j, added)
}

// matchesPartial reports whether held is the partial text, of the given length and sum, that another text continues.
func (s *Store) matchesPartial(held *wire.JobPartial, length, sum uint64) bool {
	return uint64(rawBytes(partialPieces(held))) == length && (held.GetSum() == sum || s.unsafe.JoinRuns)
}

// withPartialText returns the result joined with the stored partial text that it continues, or unchanged if it
// continues none. It returns false if that text is not stored.
func (s *Store) withPartialText(j *job, result *wire.JobResult) (*wire.JobResult, bool) {
	if result.GetFollowsLength() == 0 {
		return result, true
	}
	held := j.partials[result.GetItem()]
	if held == nil || !s.matchesPartial(held, result.GetFollowsLength(), result.GetFollows()) {
		return nil, false
	}
	return &wire.JobResult{
		Item: result.GetItem(), State: result.GetState(), Text: result.GetText(), DeflatedFrom: result.GetDeflatedFrom(),
		Versions: result.GetVersions(), Score: result.GetScore(), Pieces: partialPieces(held),
	}, true
}

// setPartial replaces the partial text of an item.
func (s *Store) setPartial(j *job, partial *wire.JobPartial) {
	s.dropPartial(j, partial.GetItem())
	j.partials[partial.GetItem()] = partial
	s.addBytes(j, proto.Size(partial))
}

// dropPartial removes the partial text of an item.
func (s *Store) dropPartial(j *job, item string) {
	if held := j.partials[item]; held != nil {
		s.addBytes(j, -proto.Size(held))
		delete(j.partials, item)
	}
}

// addBytes adds to the size of a job and of the store.
func (s *Store) addBytes(j *job, bytes int) {
	j.bytes += bytes
	s.heldBytes += bytes
}

// sortedPartials returns the partial texts of a job, ordered by item id.
func (j *job) sortedPartials() []*wire.JobPartial {
	return slices.SortedFunc(maps.Values(j.partials), func(a, b *wire.JobPartial) int { return cmp.Compare(a.GetItem(), b.GetItem()) })
}

// restorePartials adds the partial texts of a snapshot to a job. It returns an error for a text that the job can't
// have.
func (s *Store) restorePartials(held *job, partials []*wire.JobPartial) error {
	for _, partial := range partials {
		if err := checkPartial(partial); err != nil {
			return trace.Wrap(err, "snapshot has a malformed partial text")
		}
		id := partial.GetItem()
		if held.ended || held.items[id] == nil || held.listed[id] || held.partials[id] != nil || partial.GetLength() > 0 {
			return trace.BadParameter("snapshot has a partial text that no running item can have: %q", id)
		}
		s.setPartial(held, partial)
	}
	return nil
}
