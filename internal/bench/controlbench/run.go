package controlbench

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/bench/slope"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/rolecost"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	setupTimeout = 20 * time.Second
	// settleTime lets the last joiners' member updates reach everybody before the idle measurement.
	settleTime = time.Second
)

// run is one run of the bench.
type run struct {
	config  Config
	control *rig.Control
	fleet   *fleet
	editor  *controlclient.Client
	version uint64 // of the table
	number  int    // of the next change
	report  Report
}

// Run measures at every size and fits the lines.
func Run(ctx context.Context, config Config) (*Report, error) {
	config.setDefaults()
	control, err := rig.StartControl(rig.Options{Nodes: config.ControlNodes, Folder: filepath.Join(config.Folder, "control"), Lease: config.Lease})
	if err != nil {
		return nil, err
	}
	defer control.Close()
	editor, err := controlclient.New(controlclient.Config{Addresses: control.Addresses})
	if err != nil {
		return nil, err
	}
	defer editor.Close()
	r := &run{config: config, control: control, editor: editor, fleet: &fleet{control: control.Addresses, progress: newProgress()},
		report: Report{ControlNodes: config.ControlNodes, LeaseSeconds: config.Lease.Seconds(), Rows: config.Rows, ChangesPerSecond: config.ChangesPerSecond}}
	defer func() { r.fleet.close() }()
	if err := r.fillTable(ctx); err != nil {
		return nil, err
	}
	for _, size := range config.Sizes {
		point, err := r.measure(ctx, size)
		if err != nil {
			return nil, trace.Wrap(err, "%d nodes", size)
		}
		r.report.Points = append(r.report.Points, *point)
	}
	r.report.Lines, err = fit(r.report.Points)
	return &r.report, err
}

// cellsPerChange keeps the first filling of the table below the bound of one change.
const cellsPerChange = 300

// fillTable makes the back ends' rows.
func (r *run) fillTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	cells := []*wire.CellChange{{Row: "pool", Column: "kind", Value: "pool"}, {Row: "pool", Column: "service", Value: "engine"}}
	for index := range r.config.Rows {
		name := rowName(index)
		cells = append(cells, &wire.CellChange{Row: name, Column: "kind", Value: "backend"},
			&wire.CellChange{Row: name, Column: "pool", Value: "pool"},
			&wire.CellChange{Row: name, Column: "address", Value: fmt.Sprintf("127.0.0.1:%d", 30000+index)},
			&wire.CellChange{Row: name, Column: "zone", Value: fmt.Sprintf("bench-%d", index%7)},
			&wire.CellChange{Row: name, Column: "max_in_flight", Value: "64"})
	}
	const columns = 5
	head := cells[:2]
	if _, err := r.change(ctx, head); err != nil {
		return err
	}
	for part := range slices.Chunk(cells[2:], cellsPerChange/columns*columns) {
		if _, err := r.change(ctx, part); err != nil {
			return err
		}
	}
	// A new leader calls nothing in force until it knows every lease: the measurement begins after that.
	last, err := r.change(ctx, []*wire.CellChange{{Row: rowName(0), Column: "weight", Value: "100"}})
	if err != nil {
		return err
	}
	return r.inForce(ctx, last)
}

// inForce waits until a change that was accepted as the newest version is in force: a resend is answered
// with the same version then.
func (r *run) inForce(ctx context.Context, change *wire.TableChange) error {
	_, version, err := r.editor.ChangeTable(ctx, change, true)
	if err != nil {
		return err
	}
	if version < r.version {
		return trace.LimitExceeded("table version %d did not come into force in time", r.version)
	}
	return nil
}

func rowName(index int) string { return fmt.Sprintf("replica-%03d", index) }

// change makes one table change and returns its result, accepted but perhaps not yet in force.
func (r *run) change(ctx context.Context, cells []*wire.CellChange) (*wire.TableChange, error) {
	r.number++
	change := &wire.TableChange{ChangeId: fmt.Sprintf("bench-%d", r.number), Operator: "bench", BaseVersion: r.version, Cells: cells}
	result, _, err := r.editor.ChangeTable(ctx, change, false)
	if err != nil {
		return nil, err
	}
	if result.Outcome != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		return nil, trace.BadParameter("change %d was not accepted: %v", r.number, result)
	}
	r.version = result.Version
	return change, nil
}

// measure measures one size.
func (r *run) measure(ctx context.Context, size int) (*Point, error) {
	began, traffic, joiners := time.Now(), r.fleet.traffic.Bytes(), size-len(r.fleet.clients)
	if err := r.fleet.grow(ctx, size); err != nil {
		return nil, err
	}
	point := &Point{Nodes: size, JoinMillis: millis(time.Since(began))}
	if err := pause.For(ctx, settleTime); err != nil {
		return nil, err
	}
	if joiners > 0 {
		point.JoinBytes = float64(r.fleet.traffic.Bytes()-traffic) / float64(joiners)
	}
	point.LiveBytes = rig.MeasureLiveBytes()
	var err error
	point.Idle, err = r.phase(func() error { return pause.For(ctx, r.config.Idle) })
	if err != nil {
		return nil, err
	}
	point.Changing, err = r.phase(func() error { return r.changes(ctx, point) })
	return point, err
}

// phase measures the cost of work.
func (r *run) phase(work func() error) (Phase, error) {
	nodeBytes, controlBytes := r.fleet.traffic.Bytes(), r.control.NodeBytes()
	recorder, err := rolecost.Start()
	if err != nil {
		return Phase{}, err
	}
	workError := work()
	cost, err := recorder.Stop()
	if workError != nil {
		return Phase{}, workError
	}
	if err != nil {
		return Phase{}, err
	}
	seconds := cost.Wall.Seconds()
	phase := Phase{Seconds: seconds, ProcessCores: cost.TotalCores, ControlCores: cost.ApportionedCores(rig.RoleControl),
		NodeCores:          cost.ApportionedCores(roleNode),
		NodeBytesPerSecond: float64(r.fleet.traffic.Bytes()-nodeBytes) / seconds / float64(len(r.fleet.clients))}
	for index, after := range r.control.NodeBytes() {
		phase.LeaderBytesPerSecond = max(phase.LeaderBytesPerSecond, float64(after-controlBytes[index])/seconds)
	}
	return phase, nil
}

func millis(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// fit returns the lines through the points.
func fit(points []Point) ([]slope.Line, error) {
	perChange := func(value func(Phase) float64) func(Point) float64 {
		return func(p Point) float64 {
			return (value(p.Changing) - value(p.Idle)) * p.Changing.Seconds / float64(p.Changes)
		}
	}
	traffic := func(p Point) func(Phase) float64 {
		return func(phase Phase) float64 { return phase.NodeBytesPerSecond * float64(p.Nodes) }
	}
	quantities := []struct {
		name, unit string
		value      func(Point) float64
	}{
		{ProcessIdle, "cores", func(p Point) float64 { return p.Idle.ProcessCores }},
		{ControlIdle, "cores", func(p Point) float64 { return p.Idle.ControlCores }},
		{NodeIdle, "cores", func(p Point) float64 { return p.Idle.NodeCores }},
		{TrafficIdle, "bytes/s", func(p Point) float64 { return traffic(p)(p.Idle) }},
		{Memory, "bytes", func(p Point) float64 { return float64(p.LiveBytes) }},
		{ChangeProcess, "s", perChange(func(phase Phase) float64 { return phase.ProcessCores })},
		{ChangeTraffic, "bytes", func(p Point) float64 { return perChange(traffic(p))(p) }},
		{Join, "bytes", func(p Point) float64 { return p.JoinBytes }},
		{InForce, "ms", func(p Point) float64 { return p.InForce.P50 }},
	}
	var lines []slope.Line
	for _, quantity := range quantities {
		var sizes []slope.Point
		for _, point := range points {
			sizes = append(sizes, slope.Point{Size: float64(point.Nodes), Value: quantity.value(point)})
		}
		line, err := slope.Fit(quantity.name, quantity.unit, "node", sizes)
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	return lines, nil
}
