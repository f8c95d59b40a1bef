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
