package capacity

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/rolecost"
)

// Machine says where and when a run was made.
type Machine struct {
	Processors  int       `json:"processors"`
	MemoryBytes uint64    `json:"memory_bytes"`
	System      string    `json:"system"`
	GoVersion   string    `json:"go_version"`
	Revision    string    `json:"revision"`
	Modified    bool      `json:"revision_modified"` // built from a changed working tree
	Began       time.Time `json:"began"`
	Seconds     float64   `json:"seconds"`
	// OwnCores and OtherCores are the mean processor time of this process and of everything else on the
	// machine during the run.
	OwnCores   float64 `json:"own_cores"`
	OtherCores float64 `json:"other_cores"`
	// PeakBytes is the highest resident memory of this process.
	PeakBytes uint64 `json:"peak_resident_bytes"`
}

// sharedCores is the processor time of other work from which a machine counts as shared.
const sharedCores = 0.5

// Shared tells whether other work ran on the machine.
func (m Machine) Shared() bool { return m.OtherCores >= sharedCores }

// machineWatch accounts the machine's work during a run.
type machineWatch struct {
	began   time.Time
	machine time.Duration
	own     time.Duration
}

func watchMachine() *machineWatch {
	return &machineWatch{began: time.Now(), machine: machineCPU(), own: rolecost.ProcessCPU()}
}

func (w *machineWatch) stop() Machine {
	wall := time.Since(w.began)
	own := rolecost.ProcessCPU() - w.own
	other := max(machineCPU()-w.machine-own, 0)
	result := Machine{Processors: runtime.NumCPU(), MemoryBytes: procKilobytes("/proc/meminfo", "MemTotal:"),
		System: runtime.GOOS + "/" + runtime.GOARCH, GoVersion: runtime.Version(),
		Began: w.began.UTC().Truncate(time.Second), Seconds: wall.Seconds(), OwnCores: float64(own) / float64(wall),
		OtherCores: float64(other) / float64(wall), PeakBytes: procKilobytes("/proc/self/status", "VmHWM:")}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			switch setting.Key {
			case "vcs.revision":
				result.Revision = setting.Value
			case "vcs.modified":
				result.Modified = setting.Value == "true"
			}
		}
	}
	return result
}

// procKilobytes reads a line such as "MemTotal:  123 kB"; 0 where the system does not tell.
func procKilobytes(path, name string) uint64 {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(content), "\n") {
		var value uint64
		if rest, found := strings.CutPrefix(line, name); found {
			if _, err := fmt.Sscanf(rest, "%d", &value); err == nil {
				return value << 10
			}
		}
	}
	return 0
}

// clockTick is the unit of /proc/stat.
const clockTick = 10 * time.Millisecond

// machineCPU returns the busy time of all processors so far, 0 where the system does not tell.
func machineCPU() time.Duration {
	content, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	var user, nice, system, idle, wait, interrupt, softInterrupt, steal int64
	if _, err := fmt.Sscanf(string(content), "cpu %d %d %d %d %d %d %d %d", &user, &nice, &system, &idle, &wait,
		&interrupt, &softInterrupt, &steal); err != nil {
		return 0
	}
	return time.Duration(user+nice+system+interrupt+softInterrupt) * clockTick
}
