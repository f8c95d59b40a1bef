package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// ProcessStarted is the first event of a process.
type ProcessStarted struct {
	Role        string `json:"role" doc:"role of the process"`
	Version     string `json:"version" doc:"version of the program"`
	Zone        string `json:"zone,omitempty" doc:"zone in which the process runs"`
	Incarnation uint64 `json:"incarnation,omitempty" doc:"number of this start of the process"`
	MemoryMB    int    `json:"memory_mb,omitempty" doc:"memory limit; absent if there is none"`
}

var processStartedKind = newKind("process_started", logrus.InfoLevel, rareRate)

// Kind implements logging.Event.
func (*ProcessStarted) Kind() *logging.Kind { return &processStartedKind }

// ProcessMemory reports, every few seconds, the memory that a process holds.
type ProcessMemory struct {
	HeapMB     float64 `json:"heap_mb" doc:"objects on the Go heap, including garbage that is not collected yet"`
	RuntimeMB  float64 `json:"runtime_mb" doc:"all memory that the Go runtime holds and has not returned to the system"`
	ResidentMB float64 `json:"resident_mb,omitempty" doc:"resident memory of the process, including mapped files"`
	LimitMB    int     `json:"limit_mb,omitempty" doc:"memory that the process may use"`
	Collects   uint64  `json:"collects" doc:"number of garbage collections since the start"`
	LiveMB     float64 `json:"live_mb" doc:"heap that the last collection found in use; near goal_mb, the process collects all the time"`
	GoalMB     float64 `json:"goal_mb" doc:"heap size at which the next collection is due"`
	CollectMs  float64 `json:"collect_ms" doc:"processor time that collections have taken since the start"`
}

var processMemoryKind = newKind("process_memory", logrus.InfoLevel, rareRate)

// Kind implements logging.Event.
func (*ProcessMemory) Kind() *logging.Kind { return &processMemoryKind }

// ProcessServing reports that the listeners of the process are open.
type ProcessServing struct {
	Role    string `json:"role" doc:"role of the process"`
	Address string `json:"address" doc:"address at which it serves"`
}

var processServingKind = newKind("process_serving", logrus.InfoLevel, rareRate)

// Kind implements logging.Event.
func (*ProcessServing) Kind() *logging.Kind { return &processServingKind }

// ProcessStopping reports that the process was asked to stop and finishes the work in flight.
type ProcessStopping struct {
	Role string `json:"role" doc:"role of the process"`
	Why  string `json:"why" doc:"what requested the stop"`
}

var processStoppingKind = newKind("process_stopping", logrus.InfoLevel, rareRate)

// Kind implements logging.Event.
func (*ProcessStopping) Kind() *logging.Kind { return &processStoppingKind }

// ProcessStopped is the last event of a process.
type ProcessStopped struct {
	Role  string  `json:"role" doc:"role of the process"`
	Cause string  `json:"cause,omitempty" doc:"error with which the process ends; absent if it stops as planned"`
	RanMs float64 `json:"ran_ms" doc:"time since its start"`
}

var processStoppedKind = newKind("process_stopped", logrus.InfoLevel, rareRate)

// Kind implements logging.Event.
func (*ProcessStopped) Kind() *logging.Kind { return &processStoppedKind }

// SettingsReloaded reports that a settings file was read again.
type SettingsReloaded struct {
	Path  string `json:"path" doc:"path of the file"`
	Cause string `json:"cause,omitempty" doc:"what is wrong with the file, in which case the previous settings stay in force; absent if the new ones are in force"`
}

var settingsReloadedKind = newKind("settings_reloaded", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*SettingsReloaded) Kind() *logging.Kind { return &settingsReloadedKind }
