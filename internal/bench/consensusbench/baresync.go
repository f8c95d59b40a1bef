package consensusbench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// bareWriteBytes is the approximate size of one claim in the log.
const bareWriteBytes = 256

// measureBareSync measures an append followed by fdatasync, first by one writer and then by three concurrent writers.
func (r *run) measureBareSync(ctx context.Context) error {
	one, err := r.runSyncWriters(ctx, 1)
	if err != nil {
		return err
	}
	three, err := r.runSyncWriters(ctx, nodeCount)
	if err != nil {
		return err
	}
	r.report.BareSync, r.report.BareSyncShared = summarise(one), summarise(three)
	return nil
}

// runSyncWriters runs concurrent writers with a file each for half of the configured duration and returns the latencies
// of all their writes.
func (r *run) runSyncWriters(ctx context.Context, writers int) (*hdrhistogram.Histogram, error) {
	histograms := make([]*hdrhistogram.Histogram, writers)
	running, ctx := errgroup.WithContext(ctx)
	for i := range writers {
		running.Go(func() error {
			var err error
			histograms[i], err = runSyncWriter(ctx, filepath.Join(r.folder, fmt.Sprintf("bare-%d-%d", writers, i)), r.config.Duration/2)
			return err
		})
	}
	if err := running.Wait(); err != nil {
		return nil, err
	}
	for _, histogram := range histograms[1:] {
		histograms[0].Merge(histogram)
	}
	return histograms[0], nil
}

// runSyncWriter appends blocks to a new file at path, each followed by fdatasync, and returns the latencies.
func runSyncWriter(ctx context.Context, path string, duration time.Duration) (*hdrhistogram.Histogram, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer file.Close()
	histogram := newHistogram()
	block := make([]byte, bareWriteBytes)
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		begin := time.Now()
		if _, err := file.Write(block); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		if err := unix.Fdatasync(int(file.Fd())); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		record(histogram, time.Since(begin))
	}
	return histogram, nil
}
