package consensus

import (
	"context"
	"errors"
	"time"

	"github.com/tamarindring/tamarindring/internal/storage"
)

// noSpaceRetryInterval is the delay before a write is retried after the disk was full.
const noSpaceRetryInterval = 500 * time.Millisecond

// writeResult is the outcome of writing one batch.
type writeResult struct {
	err error
	// compactionSkipped is set if the disk had no space for the snapshots that this node took itself. They were left
	// out of the batch, and the log entries before them stay.
	compactionSkipped bool
}

// writer makes batches durable one at a time, so that the loop can continue while a sync is in progress.
type writer struct {
	store     Store
	batch     chan []storage.GroupWrite
	done      chan writeResult // one result per batch
	busy      bool             // owned by the loop
	startedAt time.Time        // when the last batch was submitted; owned by the loop
}

func newWriter(store Store) *writer {
	return &writer{store: store, batch: make(chan []storage.GroupWrite, 1), done: make(chan writeResult, 1)}
}

func (w *writer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case batch := <-w.batch:
			w.done <- w.write(ctx, batch)
		}
	}
}

// write retries a write for as long as the disk is full. This is safe because the old state is intact and nothing of
// the batch was acknowledged. After the first failure it leaves out the snapshots that this node took itself: they
// are the largest part and nobody waits for them. Otherwise all nodes of a group would wait at the same index
// forever, and the votes of every group would wait with them.
func (w *writer) write(ctx context.Context, batch []storage.GroupWrite) (result writeResult) {
	for {
		result.err = w.store.Write(batch)
		if !errors.Is(result.err, storage.ErrNoSpace) {
			return result
		}
		if dropCompactions(batch) {
			result.compactionSkipped = true
			continue
		}
		select {
		case <-ctx.Done():
			result.err = errStopped
			return result
		case <-time.After(noSpaceRetryInterval):
		}
	}
}

// dropCompactions removes the snapshots that this node took itself from a batch and reports whether there were any.
func dropCompactions(batch []storage.GroupWrite) bool {
	found := false
	for i := range batch {
		found = found || batch[i].Compaction != nil
		batch[i].Compaction = nil
	}
	return found
}

// submit passes a batch to the writer goroutine. The loop calls it only when the writer is idle.
func (w *writer) submit(batch []storage.GroupWrite) {
	w.busy, w.startedAt = true, time.Now()
	w.batch <- batch
}
