package batch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

func checkPartial(partial *wire.JobPartial) error {
	switch {
	case len(partial.GetData()) == 0 || partial.GetEvents() == 0:
		return trace.BadParameter("the partial text of item %q is empty", partial.GetItem())
	case partial.GetLength() > MaximumResultBytes || int(partial.GetLength())+len(partial.GetData()) > MaximumResultBytes:
		return trace.BadParameter("the partial text of item %q is longer than %d bytes", partial.GetItem(), MaximumResultBytes)
	}
	return nil
}

// TextSum identifies a text that a partial text follows. Length and last event are not enough: runs of one item
// that different leaders began may have both in common.
func TextSum(text []byte) uint64 { return xxhash.Sum64(text) }

// extend takes a partial text that begins anew or goes on where the held one ends.
func (s *Store) extend(j *job, partial *wire.JobPartial) {
	held := j.partials[partial.GetItem()]
	whole := partial.GetData()
	if partial.GetLength() > 0 {
		same := uint64(len(held.GetData())) == partial.GetLength() && held.GetNextLastId() == partial.GetLastId()
		if !same || TextSum(held.GetData()) != partial.GetFollows() && !s.unsafe.JoinRuns {
			return
		}
		whole = slices.Concat(held.GetData(), partial.GetData())
	}
	s.hold(j, &wire.JobPartial{
		Item: partial.GetItem(), Data: whole, Events: partial.GetEvents(), NextLastId: partial.GetNextLastId(),
		Dense: partial.GetDense(), Versions: partial.GetVersions(),
	})
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
