package memlimit

import (
	"context"
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/pause"
)

// reportInterval is the interval of the log lines on memory.
const reportInterval = 5 * time.Second

// Names of the Go runtime's metrics.
const (
	metricObjects  = "/memory/classes/heap/objects:bytes"
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricCollects = "/gc/cycles/total:gc-cycles"
	metricLive     = "/gc/heap/live:bytes"
	metricGoal     = "/gc/heap/goal:bytes"
	metricCPU      = "/cpu/classes/gc/total:cpu-seconds"
)

// Report logs the memory use of the process every reportInterval until ctx is done. limitBytes is its memory limit.
func Report(ctx context.Context, log *logrus.Entry, limitBytes int64) {
	pause.Every(ctx, reportInterval, func(context.Context) { logging.Emit(log, read(limitBytes)) })
}

func read(limitBytes int64) *events.ProcessMemory {
	samples := []metrics.Sample{{Name: metricObjects}, {Name: metricTotal}, {Name: metricReleased}, {Name: metricCollects},
		{Name: metricLive}, {Name: metricGoal}, {Name: metricCPU}}
	metrics.Read(samples)
	return &events.ProcessMemory{
		HeapMB: events.Megabytes(samples[0].Value.Uint64()), RuntimeMB: events.Megabytes(samples[1].Value.Uint64() - samples[2].Value.Uint64()),
		ResidentMB: events.Megabytes(ResidentBytes()), LimitMB: int(limitBytes >> 20), Collects: samples[3].Value.Uint64(),
		LiveMB: events.Megabytes(samples[4].Value.Uint64()), GoalMB: events.Megabytes(samples[5].Value.Uint64()),
		CollectMs: events.Millis(time.Duration(samples[6].Value.Float64() * float64(time.Second))),
	}
}

// ResidentBytes returns the resident memory of the process in bytes, or 0 if the system does not provide it.
func ResidentBytes() uint64 {
	content, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}
