package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/bench/slope"
	"github.com/tamarindring/tamarindring/internal/rolecost"
)

// The fitted quantities of idle ledger groups, of all control nodes together. Sizes are ledger groups.
const (
	GroupCores  = "idle ledger groups: processor time of the control nodes"
	GroupBytes  = "idle ledger groups: traffic of the control nodes"
	GroupMemory = "idle ledger groups: live memory of the control nodes"
)

// settleGroups is the time in which all groups elect their leaders.
const settleGroups = 2 * time.Second

// groupCounts are the measured numbers of ledger groups.
func groupCounts() []int { return []int{2, 8, 32, 64} }

// Groups is the result.
type Groups struct {
	Nodes  int          `json:"control_nodes"`
	Points []GroupPoint `json:"points"`
	Lines  []slope.Line `json:"lines"`
}

// GroupPoint is an idle cluster of a number of ledger groups.
type GroupPoint struct {
	Groups         int     `json:"groups"`
	Cores          float64 `json:"cores"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	DiskPerSecond  float64 `json:"disk_bytes_per_second"`
	LiveBytes      float64 `json:"live_bytes"`
}

// groups measures what ledger groups cost that nobody uses.
func (r *run) groups(ctx context.Context, folder string) error {
	result := &Groups{Nodes: controlNodes}
	for _, count := range groupCounts() {
		point, err := idleGroups(ctx, filepath.Join(folder, fmt.Sprint(count)), count, r.config.PerPoint)
		if err != nil {
			return err
		}
		result.Points = append(result.Points, point)
	}
	for _, quantity := range []struct {
		name, unit string
		value      func(GroupPoint) float64
	}{
		{GroupCores, "cores", func(p GroupPoint) float64 { return p.Cores }},
		{GroupBytes, "bytes/s", func(p GroupPoint) float64 { return p.BytesPerSecond }},
		{GroupMemory, "bytes", func(p GroupPoint) float64 { return p.LiveBytes }},
	} {
		line, err := fitPoints(quantity.name, quantity.unit, "ledger group", result.Points, func(p GroupPoint) float64 { return float64(p.Groups) }, quantity.value)
		if err != nil {
			return err
		}
		result.Lines = append(result.Lines, line)
	}
	r.report.Groups = result
	return nil
}

func idleGroups(ctx context.Context, folder string, count int, duration time.Duration) (GroupPoint, error) {
	before := rig.LiveBytes()
	control, err := rig.StartControl(rig.Options{Nodes: controlNodes, Folder: folder, LedgerGroups: count})
	if err != nil {
		return GroupPoint{}, err
	}
	defer control.Close()
	if err := pause(ctx, settleGroups); err != nil {
		return GroupPoint{}, err
	}
	live := rig.LiveBytes()
	traffic, disk, began, used := control.Bytes(), control.WrittenBytes(), time.Now(), rolecost.ProcessCPU()
	if err := pause(ctx, duration); err != nil {
		return GroupPoint{}, err
	}
	seconds := time.Since(began).Seconds()
	return GroupPoint{Groups: count, Cores: (rolecost.ProcessCPU() - used).Seconds() / seconds, BytesPerSecond: float64(control.Bytes()-traffic) / seconds,
		DiskPerSecond: float64(control.WrittenBytes()-disk) / seconds, LiveBytes: max(float64(live)-float64(before), 0)}, nil
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
