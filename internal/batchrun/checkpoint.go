package batchrun

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// checkpoints commits the growing text of an item, so that another leader goes on from there. A run may be shorter than
// the interval, which is counted over all runs of the text.
type checkpoints struct {
	interval time.Duration
	commit   func(*wire.JobPartial)
}

// reached is told after each event. A text that is whole before the first interval is over commits nothing but its result.
func (c *checkpoints) reached(now time.Duration, item string, held *text) {
	switch {
	case !held.growing:
		held.growing, held.checkpointDue = true, now+c.interval
	case now >= held.checkpointDue && len(held.data) > held.committed:
		held.checkpointDue = now + c.interval
		c.commit(held.checkpoint(item))
	}
}

// checkpoint returns what the text has gained since the last one.
func (t *text) checkpoint(item string) *wire.JobPartial {
	partial := &wire.JobPartial{
		Item: item, Length: uint64(t.committed), Events: uint64(t.events), NextLastId: t.lastID, Dense: t.dense,
		Versions: slices.Clone(t.versions), Sum: batch.TextSum(t.data),
	}
	partial.Data, partial.DeflatedFrom = batch.Deflate(slices.Clone(t.data[t.committed:]))
	if t.committed > 0 {
		partial.LastId, partial.Follows = t.committedID, batch.TextSum(t.data[:t.committed])
	}
	t.committed, t.committedID = len(t.data), t.lastID
	return partial
}

// restoredText is the text that an earlier leader committed.
func restoredText(partial *wire.JobPartial) (*text, error) {
	data, err := batch.PartialText(partial)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &text{
		data: slices.Clone(data), events: int(partial.GetEvents()), lastID: partial.GetNextLastId(),
		dense: partial.GetDense(), versions: slices.Clone(partial.GetVersions()),
		committed: len(data), committedID: partial.GetNextLastId(),
	}, nil
}
