package capacity

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"io"
	"strings"
	"text/template"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/controlbench"
	"github.com/tamarindring/tamarindring/internal/bench/slope"
)

//go:embed page.md.tmpl
var pageText string

// Parse reads the JSON of an earlier run; unknown fields are refused, as they are of another program.
func Parse(figures []byte) (*Report, error) {
	decoder := json.NewDecoder(bytes.NewReader(figures))
	decoder.DisallowUnknownFields()
	report := &Report{}
	if err := decoder.Decode(report); err != nil {
		return nil, trace.BadParameter("these are not the figures of a capacity run: %v", err)
	}
	if report.Sessions == nil || report.Claims == nil || report.Samples == nil || report.Gateway == nil || report.Polls == nil || report.Groups == nil || report.Coordinator == nil || report.Waves == nil {
		return nil, trace.BadParameter("these figures are of a run that was not finished")
	}
	return report, nil
}

// Render writes docs/CAPACITY-loopback.md. Every figure of it comes from the report.
func Render(writer io.Writer, report *Report) error {
	page, err := template.New("page").Funcs(template.FuncMap{"number": number, "bytes": bytesText, "cores": coresText,
		"percent": func(share float64) string { return number(100*share) + "%" }, "date": func(at time.Time) string { return at.Format("2006-01-02 15:04 UTC") },
		"whole": grouped, "memory": func(size uint64) string { return bytesText(float64(size)) }, "count": func(n int) string { return grouped(float64(n)) }, "size": size, "flow": flow,
		"join": strings.Join}).Parse(pageText)
	if err != nil {
		return trace.Wrap(err)
	}
	f := newFigures(report)
	return trace.Wrap(page.Execute(writer, pageData{Report: report, Slopes: slopes(report.Lines()), Roles: f.roles(), Budget: f.budget(),
		Limits: f.limits(), Failures: f.failures(), Largest: report.Sessions.Points[len(report.Sessions.Points)-1]}))
}

// pageData is what the template sees.
type pageData struct {
	*Report
	Slopes   []slopeRow
	Roles    []Role
	Budget   []Limit
	Limits   []Limit
	Failures failureDays
	Largest  controlbench.Point
}

// slopeRow is one fitted line as the page prints it.
type slopeRow struct {
	slope.Line
	Sizes string
}

// Each is the slope with its unit; Base is what does not grow.
func (s slopeRow) Each() string { return quantityText(s.Slope, s.Unit) }

// Base is the part that does not grow with the size.
func (s slopeRow) Base() string { return quantityText(s.Intercept, s.Unit) }

// quantityText prints a value of a line's unit.
func quantityText(value float64, unit string) string {
	switch unit {
	case "bytes":
		return bytesText(value)
	case "bytes/s":
		return bytesText(value) + "/s"
	case "s":
		return number(value*1e6) + " µs"
	case "cores":
		return number(value*1e6) + " µs/s"
	}
	return number(value) + " " + unit
}

func slopes(lines []slope.Line) []slopeRow {
	rows := make([]slopeRow, 0, len(lines))
	for _, line := range lines {
		row := slopeRow{Line: line}
		for index, point := range line.Points {
			if index > 0 {
				row.Sizes += ", "
			}
			row.Sizes += number(point.Size)
		}
		rows = append(rows, row)
	}
	return rows
}

// failureDays is what ordinary failures and rare ones cost.
type failureDays struct {
	Restarts   float64  // a day, failures included
	Join       Estimate // bytes over all nodes for one that joins
	JoinPerDay Estimate
	ZoneNodes  float64
	ZoneBacks  float64
	ZoneBytes  Estimate
	GoneAfter  float64 // seconds
	Restore    Estimate
}

// goneAfterLeases is the silence after which a node counts as gone, in leases: as in package control.
const goneAfterLeases = 4.0 / 3

func (f figures) failures() failureDays {
	target := f.Target
	days := failureDays{Restarts: target.FailuresPerDay + target.RestartsPerDay, ZoneNodes: float64(target.Nodes) / float64(target.Zones),
		ZoneBacks: float64(target.Replicas) / float64(target.Zones), GoneAfter: f.Sessions.LeaseSeconds * goneAfterLeases}
	days.Join = f.at(controlbench.Join, float64(target.Nodes))
	days.JoinPerDay = days.Join.times(days.Restarts)
	days.ZoneBytes = days.Join.times(days.ZoneNodes)
	days.Restore = f.each(StateRestore(StateClaims), f.keys)
	return days
}
