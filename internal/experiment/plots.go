package experiment

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of each plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4.5 * vg.Inch
)

// plotFile describes one plot of a report. draw returns nil if the runs have no data for the plot.
type plotFile struct {
	name, title string
	draw        func(*Report) (*plot.Plot, error)
}

var plotFiles = []plotFile{
	{"idle.png", "Idle time of the trainers over time", (*Report).plotIdle},
	{"staleness.png", "Staleness of the delivered samples", (*Report).plotStaleness},
	{"lengths.png", "Lengths of the samples: the tail", (*Report).plotLengths},
	{"live.png", "Live latency with and without rollouts", (*Report).plotLive},
	{"versions.png", "Replicas by weight version over time", (*Report).plotVersions},
}

// writePlots writes the plots of the runs with the first seed into folder. It skips plots without data.
func (r *Report) writePlots(folder string) error {
	for _, file := range plotFiles {
		chart, err := file.draw(r)
		if err != nil {
			return trace.Wrap(err)
		}
		if chart == nil {
			continue
		}
		chart.Title.Text = file.title
		chart.Add(plotter.NewGrid())
		if err := chart.Save(plotWidth, plotHeight, filepath.Join(folder, file.name)); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// firstSeedRuns returns each policy's run with the first seed.
func (r *Report) firstSeedRuns() []*Run {
	var runs []*Run
	for index := range r.Runs {
		if r.Runs[index].Seed == r.Seeds[0] {
			runs = append(runs, &r.Runs[index])
		}
	}
	return runs
}

// rolloutRuns returns the runs with the first seed that delivered at least one step.
func (r *Report) rolloutRuns() []*Run {
	return slices.DeleteFunc(r.firstSeedRuns(), func(run *Run) bool { return run.Steps == 0 })
}

// idleWindows is the number of time windows in the plot of idle time.
const idleWindows = 30

// plotIdle plots the share of each time window that the trainers waited, for each policy.
func (r *Report) plotIdle() (*plot.Plot, error) {
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = "minutes", "idle %"
	chart.Y.Min, chart.Y.Max = 0, 100
	var lines []any
	for _, run := range r.rolloutRuns() {
		lines = append(lines, run.Policy, run.idleOverTime(r.scenario))
	}
	return addLines(chart, lines)
}

func (r *Run) idleOverTime(scenario *Scenario) plotter.XYs {
	points := make(plotter.XYs, idleWindows)
	window := scenario.Duration / idleWindows
	for index := range points {
		from := window * time.Duration(index)
		idle := 0.0
		for trainer := range r.measurement.trainers {
			for _, wait := range r.measurement.trainers[trainer].waits {
				idle += max(min(wait.to, from+window)-max(wait.from, from), 0).Seconds()
			}
		}
		points[index].X = (from + window/2).Minutes()
		points[index].Y = 100 * idle / window.Seconds() / float64(len(r.measurement.trainers))
	}
	return points
}

// addLines adds lines to a plot, given as alternating names and plotter.XYs. It returns nil if there are no lines.
func addLines(chart *plot.Plot, lines []any) (*plot.Plot, error) {
	if len(lines) == 0 {
		return nil, nil
	}
	chart.Legend.Top = true
	return chart, plotutil.AddLines(chart, lines...)
}

// plotStaleness plots the share of delivered samples of each staleness, with a bar for each policy.
func (r *Report) plotStaleness() (*plot.Plot, error) {
	runs := r.rolloutRuns()
	if len(runs) == 0 {
		return nil, nil
	}
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = "age in versions", "% of samples"
	chart.Legend.Top = true
	width := vg.Points(120 / float64(len(runs)))
	ages := 0
	for index, run := range runs {
		bars, err := plotter.NewBarChart(run.Staleness.sharesByAge(), width)
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(index)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(index)-float64(len(runs)-1)/2)
		chart.Add(bars)
		chart.Legend.Add(run.Policy, bars)
		ages = max(ages, len(run.Staleness.Samples))
	}
	names := make([]string, ages)
	for age := range names {
		names[age] = fmt.Sprint(age)
	}
	chart.NominalX(names...)
	return chart, nil
}

func (s *Staleness) sharesByAge() plotter.Values {
	total := 0.0
	for _, count := range s.Samples {
		total += float64(count)
	}
	shares := make(plotter.Values, max(len(s.Samples), 1))
	for age, count := range s.Samples {
		shares[age] = 100 * ratio(float64(count), total)
	}
	return shares
}

// plotLengths plots the share of samples at least as long as a given length, for each trainer. It uses the first
// policy's run only.
func (r *Report) plotLengths() (*plot.Plot, error) {
	runs := r.rolloutRuns()
	if len(runs) == 0 {
		return nil, nil
	}
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = "tokens", "% of samples that are longer"
	chart.X.Scale, chart.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var lines []any
	for trainer := range r.scenario.Trainers {
		lengths := slices.Sorted(slices.Values(runs[0].measurement.trainers[trainer].sampleLengths))
		if len(lengths) > 0 {
			lines = append(lines, r.scenario.Trainers[trainer].Name, survivalCurve(lengths))
		}
	}
	return addLines(chart, lines)
}

// maxCurvePoints is the approximate maximum number of points of a curve.
const maxCurvePoints = 200

// survivalCurve returns the percentage of lengths at or above each length. sorted must be ascending.
func survivalCurve(sorted []int) plotter.XYs {
	stride := max(len(sorted)/maxCurvePoints, 1)
	var points plotter.XYs
	for position := 0; position < len(sorted); position += stride {
		longerShare := float64(len(sorted)-position) / float64(len(sorted))
		points = append(points, plotter.XY{X: float64(max(sorted[position], 1)), Y: 100 * longerShare})
	}
	return points
}

// plotLive plots the live latency at percentiles up to the 99.9th, for each policy.
func (r *Report) plotLive() (*plot.Plot, error) {
	if len(r.scenario.Live) == 0 {
		return nil, nil
	}
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = "percentile", "seconds"
	percents := []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9}
	var lines []any
	for _, run := range r.firstSeedRuns() {
		points := make(plotter.XYs, len(percents))
		for index, percent := range percents {
			points[index].X = float64(index)
			points[index].Y = float64(run.measurement.live.latency.ValueAtQuantile(percent)) / 1e6
		}
		lines = append(lines, run.Policy, points)
	}
	var ticks plot.ConstantTicks
	for index, percent := range percents {
		ticks = append(ticks, plot.Tick{Value: float64(index), Label: fmt.Sprint(percent)})
	}
	chart.X.Tick.Marker = ticks
	chart.Legend.Left = true
	return addLines(chart, lines)
}

// plotVersions plots the number of replicas that serve each weight version in the first policy's run. It covers only
// the last quarter of the run, because the lines of the whole run are too dense to tell apart.
func (r *Report) plotVersions() (*plot.Plot, error) {
	runs := r.rolloutRuns()
	if len(runs) == 0 {
		return nil, nil
	}
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = "minutes", "replicas"
	snapshots := runs[0].measurement.timeline
	snapshots = snapshots[len(snapshots)*3/4:]
	var numbers []uint64
	for _, snapshot := range snapshots {
		for number := range snapshot.replicasByVersion {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	numbers = slices.Compact(numbers)
	var lines []any
	for _, number := range numbers[max(len(numbers)-maxPlottedVersions, 0):] {
		points := make(plotter.XYs, len(snapshots))
		for index, snapshot := range snapshots {
			points[index] = plotter.XY{X: snapshot.at.Minutes(), Y: float64(snapshot.replicasByVersion[number])}
		}
		lines = append(lines, fmt.Sprintf("version %d", number), points)
	}
	return addLines(chart, lines)
}

// maxPlottedVersions is the maximum number of weight versions in a plot.
const maxPlottedVersions = 8
