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

// bareWriteBytes is about the size of one claim in the log.
const bareWriteBytes = 256

// bareSync measures an append and fdatasync by one writer, and by three at once.
func (r *run) bareSync(ctx context.Context) error {
	one, err := r.syncWriters(ctx, 1)
	if err != nil {
		return err
	}
	three, err := r.syncWriters(ctx, nodeCount)
	if err != nil {
		return err
	}
	r.report.BareSync, r.report.BareSyncShared = summarise(one), summarise(three)
	return nil
}

func (r *run) syncWriters(ctx context.Context, writers int) (*hdrhistogram.Histogram, error) {
	histograms := make([]*hdrhistogram.Histogram, writers)
	running, ctx := errgroup.WithContext(ctx)
	for i := range writers {
		running.Go(func() error {
			var err error
			histograms[i], err = syncWriter(ctx, filepath.Join(r.folder, fmt.Sprintf("bare-%d-%d", writers, i)), r.config.Duration/2)
			return err
		})
	}
	if err := running.Wait(); err != nil {
		return nil, err
	}
	for _, other := range histograms[1:] {
		histograms[0].Merge(other)
	}
	return histograms[0], nil
}

func syncWriter(ctx context.Context, path string, duration time.Duration) (*hdrhistogram.Histogram, error) {
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
