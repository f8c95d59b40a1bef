// Package memlimit fits the Go runtime's garbage collection to the memory that a process may use.
package memlimit

import (
	"os"
	"runtime/debug"
)

const (
	// heapShare is the part of the limit, in per cent, that the Go runtime stays below as long as it can by
	// collecting more often. The rest is left to what it does not count: mapped files and the system's buffers. A
	// lower share would have a full process collect without end.
	heapShare = 60
	// collectPercent is the heap growth, in per cent, after which it is collected where memory is limited. Go's
	// own 100 doubles what is held; collecting more often costs processor time.
	collectPercent = 25
)

// The variables by which an operator sets the Go runtime; what they say prevails.
const (
	variableLimit   = "GOMEMLIMIT"
	variablePercent = "GOGC"
)

// Settings are those of the Go runtime's collector.
type Settings struct {
	HeapBytes      int64 // soft limit of all memory that the runtime manages; 0: as the runtime has it
	CollectPercent int   // 0: as the runtime has it
}

// For returns the settings of a process that may use so many bytes; none if that is not known, and none in place
// of a variable that lookup finds.
func For(limitBytes int64, lookup func(string) (string, bool)) Settings {
	var settings Settings
	if limitBytes <= 0 {
		return settings
	}
	if _, set := lookup(variableLimit); !set {
		settings.HeapBytes = limitBytes / 100 * heapShare
	}
	if _, set := lookup(variablePercent); !set {
		settings.CollectPercent = collectPercent
	}
	return settings
}

// Apply sets the runtime for a process that may use so many bytes and returns what it set.
func Apply(limitBytes int64) Settings {
	settings := For(limitBytes, os.LookupEnv)
	if settings.HeapBytes > 0 {
		debug.SetMemoryLimit(settings.HeapBytes)
	}
	if settings.CollectPercent > 0 {
		debug.SetGCPercent(settings.CollectPercent)
	}
	return settings
}
