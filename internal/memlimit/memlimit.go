// Package memlimit sets the Go runtime's garbage collector according to the memory limit of the process, and reports the
// memory that the process uses.
package memlimit

import (
	"os"
	"runtime/debug"
)

const (
	// heapPercent is the soft limit of the Go runtime's memory as a percentage of the memory limit. The runtime collects
	// more often to stay below it. The rest is left for memory that the runtime does not count: mapped files and the
	// system's buffers. With a lower percentage a process whose heap is full would collect all the time.
	heapPercent = 60
	// gcPercent is the GC percentage of a process with a memory limit: the heap growth since the last collection, in per
	// cent, that starts the next one. Go's default of 100 lets the heap grow to twice the live data. A lower value costs
	// processor time.
	gcPercent = 25
)

// The environment variables by which an operator configures the Go runtime. They take precedence over this package.
const (
	envMemoryLimit = "GOMEMLIMIT"
	envGCPercent   = "GOGC"
)

// Settings configures the Go runtime's garbage collector. A zero field leaves the runtime's setting unchanged.
type Settings struct {
	HeapBytes      int64 // soft limit of all memory that the runtime manages
	CollectPercent int   // GC percentage, see debug.SetGCPercent
}

// SettingsFor returns the settings of a process with a memory limit in bytes. It returns no settings if the limit is not
// known (0 or less), and leaves out a setting whose environment variable lookup finds.
func SettingsFor(limitBytes int64, lookup func(string) (string, bool)) Settings {
	var settings Settings
	if limitBytes <= 0 {
		return settings
	}
	if _, set := lookup(envMemoryLimit); !set {
		settings.HeapBytes = limitBytes / 100 * heapPercent
	}
	if _, set := lookup(envGCPercent); !set {
		settings.CollectPercent = gcPercent
	}
	return settings
}

// Apply configures the runtime for a memory limit in bytes, 0 if it is not known, and returns the settings that it made.
func Apply(limitBytes int64) Settings {
	settings := SettingsFor(limitBytes, os.LookupEnv)
	if settings.HeapBytes > 0 {
		debug.SetMemoryLimit(settings.HeapBytes)
	}
	if settings.CollectPercent > 0 {
		debug.SetGCPercent(settings.CollectPercent)
	}
	return settings
}
