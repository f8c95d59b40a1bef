package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// ProcessStarted is the first line of a process.
type ProcessStarted struct {
	Role        string `json:"role" doc:"what it serves"`
	Version     string `json:"version" doc:"version of the program"`
	Zone        string `json:"zone,omitempty" doc:"where it runs"`
	Incarnation uint64 `json:"incarnation,omitempty" doc:"number of this start"`
	MemoryMB    int    `json:"memory_mb,omitempty" doc:"memory that it may use; none: not bounded"`
}

var processStartedKind = kind("process_started", logrus.InfoLevel, perStart)

// Kind implements logging.Event.
func (*ProcessStarted) Kind() *logging.Kind { return &processStartedKind }

// ProcessMemory is what a process holds, told every few seconds.
type ProcessMemory struct {
	HeapMB     float64 `json:"heap_mb" doc:"objects of the Go heap, also those that are garbage by now"`
	RuntimeMB  float64 `json:"runtime_mb" doc:"all memory that the Go runtime holds and has not given back"`
	ResidentMB float64 `json:"resident_mb,omitempty" doc:"memory of the process in the machine, mapped files with it"`
	LimitMB    int     `json:"limit_mb,omitempty" doc:"memory that it may use"`
	Collects   uint64  `json:"collects" doc:"garbage collections since the start"`
}

var processMemoryKind = kind("process_memory", logrus.InfoLevel, perStart)

// Kind implements logging.Event.
func (*ProcessMemory) Kind() *logging.Kind { return &processMemoryKind }

// ProcessServing is a process whose listeners are open.
type ProcessServing struct {
	Role    string `json:"role" doc:"what it serves"`
	Address string `json:"address" doc:"where"`
}

var processServingKind = kind("process_serving", logrus.InfoLevel, perStart)

// Kind implements logging.Event.
func (*ProcessServing) Kind() *logging.Kind { return &processServingKind }

// ProcessStopping is a process that was asked to stop and finishes what is in flight.
type ProcessStopping struct {
	Role string `json:"role" doc:"what it served"`
	Why  string `json:"why" doc:"who asked for it"`
}

var processStoppingKind = kind("process_stopping", logrus.InfoLevel, perStart)

// Kind implements logging.Event.
func (*ProcessStopping) Kind() *logging.Kind { return &processStoppingKind }

// ProcessStopped is the last line of a process.
type ProcessStopped struct {
	Role  string  `json:"role" doc:"what it served"`
	Cause string  `json:"cause,omitempty" doc:"error that it ends with; none: by plan"`
	RanMs float64 `json:"ran_ms" doc:"time since its start"`
}

var processStoppedKind = kind("process_stopped", logrus.InfoLevel, perStart)

// Kind implements logging.Event.
func (*ProcessStopped) Kind() *logging.Kind { return &processStoppedKind }

// SettingsReloaded is a settings file that was read again.
type SettingsReloaded struct {
	Path  string `json:"path" doc:"of the file"`
	Cause string `json:"cause,omitempty" doc:"what is wrong with it: the settings before stand; none: the new ones are in force"`
}

var settingsReloadedKind = kind("settings_reloaded", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*SettingsReloaded) Kind() *logging.Kind { return &settingsReloadedKind }
