// Package metrics is the operators' listener of a process: its metrics in the Prometheus text form, its
// health and readiness, and profiles on demand. Each role brings its own collectors.
package metrics

import (
	"context"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Namespace begins the names of all metrics of this project.
const Namespace = "tamarindring"

// Process is what the operators' listener shows of a role's server.
type Process interface {
	// Ready returns nil while the process takes work, else an error that says in one sentence why not.
	Ready(ctx context.Context) error
	// Collector returns the role's metrics.
	Collector() prometheus.Collector
}

// With returns a process that also shows more collectors.
func With(process Process, more ...prometheus.Collector) Process {
	return extended{Process: process, collectors: append([]prometheus.Collector{process.Collector()}, more...)}
}

type extended struct {
	Process
	collectors Set
}

// Collector implements Process.
func (e extended) Collector() prometheus.Collector { return e.collectors }

// Describe returns the description of a metric with the project's naming.
func Describe(subsystem, name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(Namespace, subsystem, name), help, labels, nil)
}

// Bool is the value of a gauge that says yes or no.
func Bool(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// readyTimeout bounds one question for readiness: a process that can't tell in time is not ready.
const readyTimeout = time.Second

// newRegistry returns a registry with what every process shows of itself.
func newRegistry(role, name string, ready func(context.Context) error) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		buildInfo(role, name),
		readyGauge(ready),
	)
	return registry
}

// buildInfo is a gauge that is always 1; its labels say what runs.
func buildInfo(role, name string) prometheus.Collector {
	version, revision := Build()
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: Namespace, Name: "build_info",
		Help: "Always 1; the labels tell role, name and build of the process.",
		ConstLabels: prometheus.Labels{"role": role, "name": name, "version": version, "revision": revision,
			"goversion": runtime.Version()}})
	gauge.Set(1)
	return gauge
}

// Build returns the module version and the revision that Go stamped into the binary.
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

// readyGauge asks for readiness at each scrape.
func readyGauge(ready func(context.Context) error) prometheus.Collector {
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
