// Package rolecost measures what each role costs when many roles share one process: processor time by
// the pprof label that a role's goroutines inherit, and the process's resident memory. The resolution is
// the CPU profiler's 100 samples a second; time of the runtime itself (garbage collection, scheduler) has
// no label and is reported apart.
package rolecost

import (
	"bytes"
	"context"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/google/pprof/profile"
	"github.com/gravitational/trace"
)

// labelKey is the pprof label that names a role.
const labelKey = "role"

// Unlabelled is the role name of time that no role's goroutine spent.
const Unlabelled = "runtime"

// Do runs work so that its goroutines, and those they start, are accounted to role.
func Do(ctx context.Context, role string, work func(context.Context)) {
	pprof.Do(ctx, pprof.Labels(labelKey, role), work)
}

// Recorder is a running measurement. One may run at a time per process.
type Recorder struct {
	buffer  bytes.Buffer
	started time.Time
	usage   time.Duration
}

// Start begins a measurement.
func Start() (*Recorder, error) {
	recorder := &Recorder{started: time.Now(), usage: ProcessCPU()}
	if err := pprof.StartCPUProfile(&recorder.buffer); err != nil {
		return nil, trace.Wrap(err, "the CPU profiler cannot start")
	}
	return recorder, nil
}

// RoleShare is the processor time of one role.
type RoleShare struct {
	Role  string  `json:"role"`
	Cores float64 `json:"cores"` // processor time over wall time
}

// Cost is the result of a measurement.
type Cost struct {
	Wall       time.Duration
	TotalCores float64 // of the whole process, from the operating system's account
	Roles      []RoleShare
}

// Cores returns a role's processor time over wall time.
func (c Cost) Cores(role string) float64 {
	for _, share := range c.Roles {
		if share.Role == role {
			return share.Cores
		}
	}
	return 0
}

// Apportioned returns a role's part of the whole process's processor time, in cores: the operating system's
// total, runtime included, divided among the labelled roles by their profile samples. It is 0 when no
// labelled sample was taken.
func (c Cost) Apportioned(role string) float64 {
	labelled := 0.0
	for _, share := range c.Roles {
		if share.Role != Unlabelled {
			labelled += share.Cores
		}
	}
	if labelled == 0 || role == Unlabelled {
		return 0
	}
	return c.TotalCores * c.Cores(role) / labelled
}

// Stop ends the measurement.
func (r *Recorder) Stop() (Cost, error) {
	pprof.StopCPUProfile()
	wall := time.Since(r.started)
	cost := Cost{Wall: wall, TotalCores: float64(ProcessCPU()-r.usage) / float64(wall)}
	parsed, err := profile.Parse(&r.buffer)
	if err != nil {
		return Cost{}, trace.Wrap(err, "the CPU profile cannot be read")
	}
	byRole := make(map[string]int64)
	valueIndex := len(parsed.SampleType) - 1 // cpu/nanoseconds
	var order []string
	for _, sample := range parsed.Sample {
		role := Unlabelled
		if labels := sample.Label[labelKey]; len(labels) > 0 {
			role = labels[0]
		}
		if _, known := byRole[role]; !known {
			order = append(order, role)
		}
		byRole[role] += sample.Value[valueIndex]
	}
	for _, role := range order {
		cost.Roles = append(cost.Roles, RoleShare{Role: role, Cores: float64(byRole[role]) / float64(wall)})
	}
	return cost, nil
}

// ProcessCPU returns the process's user and system time so far.
func ProcessCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
