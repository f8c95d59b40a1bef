// Package rolecost measures the processor time of each role when many roles run in one process. Goroutines of a role
// carry a pprof label, which goroutines that they start inherit, and the CPU profile is summed by that label. The
// resolution is the CPU profiler's 100 samples a second. Time of the Go runtime itself, such as garbage collection and
// scheduling, has no label and is reported under the role Unlabelled.
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

// labelKey is the key of the pprof label whose value is the role name.
const labelKey = "role"

// Unlabelled is the role name under which samples without a role label are reported.
const Unlabelled = "runtime"

// Do runs work and attributes its processor time, and that of the goroutines that it starts, to role.
func Do(ctx context.Context, role string, work func(context.Context)) {
	pprof.Do(ctx, pprof.Labels(labelKey, role), work)
}

// Recorder is a measurement in progress. The CPU profiler allows only one at a time per process.
type Recorder struct {
	profileData bytes.Buffer
	started     time.Time
	cpuAtStart  time.Duration
}

// Start begins a measurement. It fails when the CPU profiler is already running.
func Start() (*Recorder, error) {
	recorder := &Recorder{started: time.Now(), cpuAtStart: ProcessCPU()}
	if err := pprof.StartCPUProfile(&recorder.profileData); err != nil {
		return nil, trace.Wrap(err, "the CPU profiler cannot start")
	}
	return recorder, nil
}

// RoleShare is the processor time of one role during a measurement.
type RoleShare struct {
	Role  string  `json:"role"`
	Cores float64 `json:"cores"` // sampled processor time divided by wall time
}

// Cost is the result of a measurement. Roles are listed in the order in which the profile first mentions them.
type Cost struct {
	Wall       time.Duration
	TotalCores float64 // processor time of the whole process by getrusage, divided by wall time
	Roles      []RoleShare
}

// Cores returns a role's sampled processor time divided by wall time, or 0 for a role without samples.
func (c Cost) Cores(role string) float64 {
	for _, share := range c.Roles {
		if share.Role == role {
			return share.Cores
		}
	}
	return 0
}

// ApportionedCores returns a role's share of TotalCores. The total, which includes the Go runtime, is divided among the
// labelled roles in proportion to their profile samples. The result is 0 for Unlabelled and when no labelled sample
// was taken.
func (c Cost) ApportionedCores(role string) float64 {
	labelledCores := 0.0
	for _, share := range c.Roles {
		if share.Role != Unlabelled {
			labelledCores += share.Cores
		}
	}
	if labelledCores == 0 || role == Unlabelled {
		return 0
	}
	return c.TotalCores * c.Cores(role) / labelledCores
}

// Stop ends the measurement and returns its result. It fails when the recorded profile cannot be parsed.
func (r *Recorder) Stop() (Cost, error) {
	pprof.StopCPUProfile()
	wall := time.Since(r.started)
	cost := Cost{Wall: wall, TotalCores: float64(ProcessCPU()-r.cpuAtStart) / float64(wall)}
	cpuProfile, err := profile.Parse(&r.profileData)
	if err != nil {
		return Cost{}, trace.Wrap(err, "the CPU profile cannot be read")
	}
	nanosByRole := make(map[string]int64)
	valueIndex := len(cpuProfile.SampleType) - 1 // a CPU profile has the values samples/count and cpu/nanoseconds
	var roles []string
	for _, sample := range cpuProfile.Sample {
		role := Unlabelled
		if labels := sample.Label[labelKey]; len(labels) > 0 {
			role = labels[0]
		}
		if _, known := nanosByRole[role]; !known {
			roles = append(roles, role)
		}
		nanosByRole[role] += sample.Value[valueIndex]
	}
	for _, role := range roles {
		cost.Roles = append(cost.Roles, RoleShare{Role: role, Cores: float64(nanosByRole[role]) / float64(wall)})
	}
	return cost, nil
}

// ProcessCPU returns the user and system time that this process has used so far, or 0 if getrusage fails.
func ProcessCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
