// Package metrics provides the operators' listener of a process. It serves metrics in the Prometheus text format, health,
// readiness, and profiles on demand. Each role provides its own collectors.
package metrics

import (
	"context"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/tamarindring/tamarindring/internal/recovery"
)

// Namespace is the prefix of the names of all metrics of this project.
const Namespace = "tamarindring"

// Process provides the readiness and the metrics of a role's server to the operators' listener.
type Process interface {
	// Ready returns nil while the process accepts work. Otherwise it returns an error that states the reason in one sentence.
	Ready(ctx context.Context) error
	// Collector returns the role's metrics.
	Collector() prometheus.Collector
}

// With returns a process whose Collector includes more collectors.
func With(process Process, more ...prometheus.Collector) Process {
	return extendedProcess{Process: process, collectors: append([]prometheus.Collector{process.Collector()}, more...)}
}

// extendedProcess is a Process with additional collectors.
type extendedProcess struct {
	Process
	collectors Set
}

// Collector implements Process.
func (e extendedProcess) Collector() prometheus.Collector { return e.collectors }

// Describe returns the description of a metric whose name has the form Namespace_subsystem_name.
func Describe(subsystem, name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(Namespace, subsystem, name), help, labels, nil)
}

// Bool converts a boolean to the value of a gauge: 1 for true, 0 for false.
func Bool(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// readyTimeout bounds one readiness check. A process that does not answer in time counts as not ready.
const readyTimeout = time.Second

// newRegistry returns a registry with the collectors that every process has.
func newRegistry(role, name string, ready func(context.Context) error) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		recovery.Collector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newBuildInfo(role, name),
		newReadyGauge(ready),
	)
	return registry
}

// newBuildInfo returns a gauge that is always 1. Its labels describe the running program.
func newBuildInfo(role, name string) prometheus.Collector {
	version, revision := Build()
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: "build_info",
		Help: "Always 1; the labels tell role, name and build of the process.",
		ConstLabels: prometheus.Labels{"role": role, "name": name, "version": version, "revision": revision,
			"goversion": runtime.Version()}})
	gauge.Set(1)
	return gauge
}

// Build returns the module version and the VCS revision that Go recorded in the binary. They are "devel" and "unknown" if
// the binary holds none.
func Build() (version, revision string) {
	version, revision = "devel", "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version, revision
	}
	if info.Main.Version != "" {
		version = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	return version, revision
}

// newReadyGauge returns a gauge that checks readiness at each scrape.
func newReadyGauge(ready func(context.Context) error) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: "ready",
		Help: "1 while the process takes work, 0 while it starts, drains or is cut off."}, func() float64 {
		ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
		defer cancel()
		if ready(ctx) != nil {
			return 0
		}
		return 1
	})
}
