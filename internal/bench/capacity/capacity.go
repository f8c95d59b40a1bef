// Package capacity measures what each role costs at several sizes, fits lines, and works out from them
// what every role needs at the target size. Hollow processes share one process; they speak over real TCP
// and the control nodes write real files. The result is JSON, and docs/CAPACITY-loopback.md is rendered from it.
package capacity

import (
	"cmp"
	"context"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/controlbench"
	"github.com/tamarindring/tamarindring/internal/bench/gatewaybench"
	"github.com/tamarindring/tamarindring/internal/bench/slope"
	"github.com/tamarindring/tamarindring/internal/defaults"
)

// DefaultPerPoint is the time of each measurement.
const DefaultPerPoint = 4 * time.Second

// Config says how long to measure and where.
type Config struct {
	// Folder holds the control nodes' data. Required.
	Folder string
	// PerPoint is the time of each measurement. Default DefaultPerPoint.
	PerPoint time.Duration
	// Lease is the table lease. Default controlbench.DefaultLease.
	Lease time.Duration
	// Revision is the source's revision; it is needed where the build was not stamped with it.
	Revision string
	// Parts names the parts to measure; none is all of them. A page needs all.
	Parts []string
	// Earlier is a whole run whose other parts are kept. Optional.
	Earlier *Report
	// Progress is told the name of each part before it begins. Optional.
	Progress func(part string)
}

// Report is everything that was measured.
type Report struct {
	Machine     Machine                   `json:"machine"`
	Renewed     []Renewal                 `json:"renewed,omitempty"`
	Target      Target                    `json:"target"`
	PerPoint    string                    `json:"time_per_point"`
	Sessions    *controlbench.Report      `json:"control_sessions"`
	Groups      *Groups                   `json:"ledger_groups"`
	Claims      *Ledger                   `json:"claims"`
	Samples     *Ledger                   `json:"samples"`
	States      []slope.Line              `json:"states"`
	Gateway     *gatewaybench.ScaleReport `json:"gateway"`
	Polls       *Polls                    `json:"load_polls"`
	Coordinator *Coordinator              `json:"coordinator"`
	Waves       *Waves                    `json:"weight_waves"`
}

// Renewal says of some parts that they were measured anew after the whole run, and where.
type Renewal struct {
	Parts    []string `json:"parts"`
	PerPoint string   `json:"time_per_point"`
	Machine  Machine  `json:"machine"`
}

// Ledger is the result of a load on the ledger groups.
type Ledger struct {
	Nodes  int           `json:"control_nodes"` // each holds every group
	Groups int           `json:"ledger_groups"`
	Points []LedgerPoint `json:"points"`
	Lines  []slope.Line  `json:"lines"`
}

// LedgerPoint is one load on the ledger groups.
type LedgerPoint struct {
	Count        int     `json:"count"` // claims or samples of this point
	Seconds      float64 `json:"seconds"`
	PerSecond    float64 `json:"per_second"`
	ControlCores float64 `json:"control_cores"` // all control nodes
	ProcessCores float64 `json:"process_cores"`
	ControlBytes float64 `json:"control_bytes"` // over the listeners of all control nodes
	DiskBytes    float64 `json:"disk_bytes"`    // written by all control nodes
	LiveBytes    uint64  `json:"live_bytes"`    // of the process, after the point
	Failures     int     `json:"failures"`
}

// Lines returns all fitted lines.
func (r *Report) Lines() []slope.Line {
	var lines []slope.Line
	if r.Sessions != nil {
		lines = append(lines, r.Sessions.Lines...)
	}
	if r.Groups != nil {
		lines = append(lines, r.Groups.Lines...)
	}
	if r.Claims != nil {
		lines = append(lines, r.Claims.Lines...)
	}
	if r.Samples != nil {
		lines = append(lines, r.Samples.Lines...)
	}
	lines = append(lines, r.States...)
	if r.Gateway != nil {
		lines = append(lines, r.Gateway.Lines...)
	}
	if r.Polls != nil {
		lines = append(lines, r.Polls.Lines...)
	}
	if r.Coordinator != nil {
		lines = append(lines, r.Coordinator.Lines...)
	}
	if r.Waves != nil {
		lines = append(lines, r.Waves.Lines...)
	}
	return lines
}

// Line returns the line of a quantity; the zero Line if it was not measured.
func (r *Report) Line(quantity string) slope.Line {
	for _, line := range r.Lines() {
		if line.Quantity == quantity {
			return line
		}
	}
	return slope.Line{}
}

// run is one run under way.
type run struct {
	config Config
	report Report
}

// Run measures part after part.
func Run(ctx context.Context, config Config) (*Report, error) {
	defaults.Set(&config.PerPoint, DefaultPerPoint)
	defaults.Set(&config.Lease, controlbench.DefaultLease)
	r := &run{config: config, report: Report{PerPoint: config.PerPoint.String()}}
	if config.Earlier != nil {
		r.report = *config.Earlier
	}
	r.report.Target = DefaultTarget()
	watch := watchMachine()
	for _, part := range r.parts() {
		if len(config.Parts) > 0 && !slices.Contains(config.Parts, part.name) {
			continue
		}
		if config.Progress != nil {
			config.Progress(part.name)
		}
		if err := part.measure(ctx, filepath.Join(config.Folder, part.name)); err != nil {
			return nil, trace.Wrap(err, "%s", part.name)
		}
		if ctx.Err() != nil {
			return nil, trace.Wrap(ctx.Err())
		}
	}
	machine := watch.stop()
	machine.Revision = cmp.Or(machine.Revision, config.Revision, "unknown")
	if config.Earlier == nil {
		r.report.Machine = machine
	} else {
		r.report.renew(Renewal{Parts: config.Parts, PerPoint: config.PerPoint.String(), Machine: machine})
	}
	return &r.report, nil
}

// renew notes parts that were measured anew; of each the last time counts.
func (r *Report) renew(latest Renewal) {
	var renewed []Renewal
	for _, one := range r.Renewed {
		one.Parts = slices.DeleteFunc(slices.Clone(one.Parts), func(part string) bool { return slices.Contains(latest.Parts, part) })
		if len(one.Parts) > 0 {
			renewed = append(renewed, one)
		}
	}
	r.Renewed = append(renewed, latest)
}

// part is one part of a run; measure gets a folder of its own.
type part struct {
	name    string
	measure func(ctx context.Context, folder string) error
}

func (r *run) parts() []part {
	return []part{
		{"states", r.states},
		{"sessions", r.sessions},
		{"groups", r.groups},
		{"claims", r.claims},
		{"samples", r.samples},
		{"gateway", r.gateway},
		{"polls", r.polls},
		{"coordinator", r.coordinator},
		{"waves", r.waves},
	}
}

func (r *run) sessions(ctx context.Context, folder string) (err error) {
	r.report.Sessions, err = controlbench.Run(ctx, controlbench.Config{Folder: folder, Idle: r.config.PerPoint, Lease: r.config.Lease})
	return err
}

func (r *run) gateway(ctx context.Context, folder string) (err error) {
	r.report.Gateway, err = gatewaybench.Scale(ctx, gatewaybench.ScaleConfig{Folder: folder, PerPoint: r.config.PerPoint})
	return err
}

// fitPoints fits one line through the values of points.
func fitPoints[P any](quantity, unit, per string, points []P, size, value func(P) float64) (slope.Line, error) {
	sizes := make([]slope.Point, 0, len(points))
	for _, point := range points {
		sizes = append(sizes, slope.Point{Size: size(point), Value: value(point)})
	}
	return slope.Fit(quantity, unit, per, sizes)
}
