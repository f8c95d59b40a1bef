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
)

// Growth is the GC percentage of a process with a memory limit: the heap growth since the last collection, in per cent,
// that starts the next one. A lower value costs processor time.
type Growth int

// The growths.
const (
	// Compact suits the many processes of a fleet that hold little data.
	Compact Growth = 25
	// Doubling suits processes that serve thousands of connections: with Compact, collections take a third of a
	// processor there when all clients connect at once. HeapBytes keeps it within the memory limit.
	Doubling Growth = 100
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
func SettingsFor(limitBytes int64, growth Growth, lookup func(string) (string, bool)) Settings {
	var settings Settings
	if limitBytes <= 0 {
		return settings
	}
	if _, set := lookup(envMemoryLimit); !set {
		settings.HeapBytes = limitBytes / 100 * heapPercent
	}
	if _, set := lookup(envGCPercent); !set {
		settings.CollectPercent = int(growth)
	}
	return settings
}

// Apply configures the runtime for a memory limit in bytes, 0 if it is not known, and returns the settings that it made.
func Apply(limitBytes int64, growth Growth) Settings {
	settings := SettingsFor(limitBytes, growth, os.LookupEnv)
	if settings.HeapBytes > 0 {
		debug.SetMemoryLimit(settings.HeapBytes)
	}
	if settings.CollectPercent > 0 {
		debug.SetGCPercent(settings.CollectPercent)
	}
	return settings
}
