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
	// settleTime is how long the idle measurement waits for the member updates of the last joins to reach all nodes.
	settleTime = time.Second
)

// run is the state of one call of Run.
type run struct {
	config       Config
	control      *rig.ControlGroup
	fleet        *fleet
	tableClient  *controlclient.Client
	tableVersion uint64 // newest version of the table that this run made
	changeNumber int    // number of the last change, part of its change id
	report       Report
}

// Run measures at every size and fits a line to each quantity. It needs at least three sizes.
func Run(ctx context.Context, config Config) (*Report, error) {
	config.setDefaults()
	control, err := rig.StartControlGroup(rig.Options{Nodes: config.ControlNodes, Folder: filepath.Join(config.Folder, "control"), Lease: config.Lease})
	if err != nil {
		return nil, err
	}
	defer control.Close()
	tableClient, err := controlclient.New(controlclient.Config{Addresses: control.Addresses})
	if err != nil {
		return nil, err
	}
	defer tableClient.Close()
	r := &run{config: config, control: control, tableClient: tableClient, fleet: &fleet{control: control.Addresses, progress: newProgress()},
		report: Report{ControlNodes: config.ControlNodes, LeaseSeconds: config.Lease.Seconds(), Rows: config.Rows, ChangesPerSecond: config.ChangesPerSecond}}
	defer func() { r.fleet.close() }()
	if err := r.fillTable(ctx); err != nil {
		return nil, err
	}
	for _, size := range config.Sizes {
		point, err := r.measureSize(ctx, size)
		if err != nil {
			return nil, trace.Wrap(err, "%d nodes", size)
		}
		r.report.Points = append(r.report.Points, *point)
	}
	r.report.Lines, err = fitLines(r.report.Points)
	return &r.report, err
}

// cellsPerChange is the maximum number of cells in a change that fills the table. It keeps these changes below the size
// limit of a change.
const cellsPerChange = 300

// fillTable adds one pool and the rows of all back ends to the table, and waits until the table is in force.
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
	poolCells := cells[:2]
	if _, err := r.changeTable(ctx, poolCells); err != nil {
		return err
	}
	for part := range slices.Chunk(cells[2:], cellsPerChange/columns*columns) {
		if _, err := r.changeTable(ctx, part); err != nil {
			return err
		}
	}
	// A new leader declares no version in force until it knows every lease. Waiting for one more change here keeps that
	// time out of the measurements.
	last, err := r.changeTable(ctx, []*wire.CellChange{{Row: rowName(0), Column: "weight", Value: "100"}})
	if err != nil {
		return err
	}
	return r.waitInForce(ctx, last)
}

// waitInForce waits until the newest version, which was made by change, is in force. It sends the change again, which
// has no effect except that the response is delayed until that version is in force or ctx ends.
func (r *run) waitInForce(ctx context.Context, change *wire.TableChange) error {
	_, version, err := r.tableClient.ChangeTable(ctx, change, true)
	if err != nil {
		return err
	}
	if version < r.tableVersion {
		return trace.LimitExceeded("table version %d did not come into force in time", r.tableVersion)
	}
	return nil
}

func rowName(index int) string { return fmt.Sprintf("replica-%03d", index) }

// changeTable makes one table change and returns it when it is accepted. The change may not be in force yet. A change
// that is not accepted is an error.
func (r *run) changeTable(ctx context.Context, cells []*wire.CellChange) (*wire.TableChange, error) {
	r.changeNumber++
	change := &wire.TableChange{ChangeId: fmt.Sprintf("bench-%d", r.changeNumber), Operator: "bench", BaseVersion: r.tableVersion, Cells: cells}
	result, _, err := r.tableClient.ChangeTable(ctx, change, false)
	if err != nil {
		return nil, err
	}
	if result.Outcome != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		return nil, trace.BadParameter("change %d was not accepted: %v", r.changeNumber, result)
	}
	r.tableVersion = result.Version
	return change, nil
}

// measureSize adds hollow nodes up to size and measures the cost of joining, the idle cost, and the cost and latencies of
// table changes.
func (r *run) measureSize(ctx context.Context, size int) (*Point, error) {
	began, bytesBefore, joiners := time.Now(), r.fleet.dialer.Bytes(), size-len(r.fleet.clients)
	if err := r.fleet.grow(ctx, size); err != nil {
		return nil, err
	}
	point := &Point{Nodes: size, JoinMillis: millis(time.Since(began))}
	if err := pause.For(ctx, settleTime); err != nil {
		return nil, err
	}
	if joiners > 0 {
		point.JoinBytes = float64(r.fleet.dialer.Bytes()-bytesBefore) / float64(joiners)
	}
	point.LiveBytes = rig.MeasureLiveBytes()
	var err error
	point.Idle, err = r.measurePhase(func() error { return pause.For(ctx, r.config.Idle) })
	if err != nil {
		return nil, err
	}
	point.Changing, err = r.measurePhase(func() error { return r.measureChanges(ctx, point) })
	return point, err
}

// measurePhase measures processor time and traffic while work runs.
func (r *run) measurePhase(work func() error) (Phase, error) {
	nodeBytesBefore, controlBytesBefore := r.fleet.dialer.Bytes(), r.control.NodeBytes()
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
		NodeBytesPerSecond: float64(r.fleet.dialer.Bytes()-nodeBytesBefore) / seconds / float64(len(r.fleet.clients))}
	for index, after := range r.control.NodeBytes() {
		phase.LeaderBytesPerSecond = max(phase.LeaderBytesPerSecond, float64(after-controlBytesBefore[index])/seconds)
	}
	return phase, nil
}

func millis(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// fitLines fits a line to each quantity. The cost of one change is the cost of the phase with changes above that of an
// idle phase of the same duration, divided by the number of changes.
func fitLines(points []Point) ([]slope.Line, error) {
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
