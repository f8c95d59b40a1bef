package batchrun

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// checkpointer commits the partial text of a running item, so that the next leader can resume from it. The interval
// runs on across the runs of a text, because a single run may be shorter than the interval.
type checkpointer struct {
	interval time.Duration
	commit   func(*wire.JobPartial)
}

// afterEvent commits a checkpoint if one is due. It must be called after each event. A text that is complete within the
// first interval has no checkpoint; only its result is committed.
func (c *checkpointer) afterEvent(now time.Duration, item string, current *text) {
	switch {
	case !current.checkpointArmed:
		current.checkpointArmed, current.checkpointDue = true, now+c.interval
	case now >= current.checkpointDue && len(current.data) > current.committed:
		current.checkpointDue = now + c.interval
		c.commit(current.takeCheckpoint(item))
	}
}

// takeCheckpoint returns the part of the text since the last checkpoint, and counts it as committed.
func (t *text) takeCheckpoint(item string) *wire.JobPartial {
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

// restoreText returns the partial text that an earlier leader committed.
func restoreText(partial *wire.JobPartial) (*text, error) {
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
