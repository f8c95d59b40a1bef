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

// Size of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4.5 * vg.Inch
)

// plotFile is one plot of a report.
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

// writePlots writes every plot that the runs have data for, of the first seed.
func (r *Report) writePlots(folder string) error {
	for _, file := range plotFiles {
		made, err := file.draw(r)
		if err != nil {
			return trace.Wrap(err)
		}
		if made == nil {
			continue
		}
		made.Title.Text = file.title
		made.Add(plotter.NewGrid())
		if err := made.Save(plotWidth, plotHeight, filepath.Join(folder, file.name)); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// firstSeed returns each policy's run with the first seed.
func (r *Report) firstSeed() []*Run {
	var runs []*Run
	for index := range r.Runs {
		if r.Runs[index].Seed == r.Seeds[0] {
			runs = append(runs, &r.Runs[index])
		}
	}
	return runs
}

// withRollouts returns those that have rollouts.
func (r *Report) withRollouts() []*Run {
	return slices.DeleteFunc(r.firstSeed(), func(run *Run) bool { return run.Steps == 0 })
}

// idleWindows is the number of windows of the plot of idle time.
const idleWindows = 30

// plotIdle shows the share of each window that the trainers waited.
func (r *Report) plotIdle() (*plot.Plot, error) {
	made := plot.New()
	made.X.Label.Text, made.Y.Label.Text = "minutes", "idle %"
	made.Y.Min, made.Y.Max = 0, 100
	var lines []any
	for _, run := range r.withRollouts() {
		lines = append(lines, run.Policy, run.idleOverTime(r.scenario))
	}
	return addLines(made, lines)
}

func (r *Run) idleOverTime(scenario *Scenario) plotter.XYs {
	points := make(plotter.XYs, idleWindows)
	window := scenario.Duration / idleWindows
	for index := range points {
		from := window * time.Duration(index)
		idle := 0.0
		for trainer := range r.measure.trainers {
			for _, wait := range r.measure.trainers[trainer].waits {
				idle += max(min(wait.to, from+window)-max(wait.from, from), 0).Seconds()
			}
		}
		points[index].X = (from + window/2).Minutes()
		points[index].Y = 100 * idle / window.Seconds() / float64(len(r.measure.trainers))
	}
	return points
}

// addLines adds named lines of XYs; no lines, no plot.
func addLines(made *plot.Plot, lines []any) (*plot.Plot, error) {
	if len(lines) == 0 {
		return nil, nil
	}
	made.Legend.Top = true
	return made, plotutil.AddLines(made, lines...)
}

// plotStaleness shows a bar per age and policy.
func (r *Report) plotStaleness() (*plot.Plot, error) {
	runs := r.withRollouts()
	if len(runs) == 0 {
		return nil, nil
	}
	made := plot.New()
	made.X.Label.Text, made.Y.Label.Text = "age in versions", "% of samples"
	made.Legend.Top = true
	width := vg.Points(120 / float64(len(runs)))
	ages := 0
	for index, run := range runs {
		bars, err := plotter.NewBarChart(run.Staleness.shares(), width)
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(index)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(index)-float64(len(runs)-1)/2)
		made.Add(bars)
		made.Legend.Add(run.Policy, bars)
		ages = max(ages, len(run.Staleness.Samples))
	}
	names := make([]string, ages)
	for age := range names {
		names[age] = fmt.Sprint(age)
	}
	made.NominalX(names...)
	return made, nil
}

func (s *Staleness) shares() plotter.Values {
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

// plotLengths shows the part of the samples that is longer than a length.
func (r *Report) plotLengths() (*plot.Plot, error) {
	runs := r.withRollouts()
	if len(runs) == 0 {
		return nil, nil
	}
	made := plot.New()
	made.X.Label.Text, made.Y.Label.Text = "tokens", "% of samples that are longer"
	made.X.Scale, made.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var lines []any
	for trainer := range r.scenario.Trainers {
		lengths := slices.Sorted(slices.Values(runs[0].measure.trainers[trainer].lengths))
		if len(lengths) > 0 {
			lines = append(lines, r.scenario.Trainers[trainer].Name, tail(lengths))
		}
	}
	return addLines(made, lines)
}

// plotPoints bounds the points of a curve.
const plotPoints = 200

func tail(sorted []int) plotter.XYs {
	every := max(len(sorted)/plotPoints, 1)
	var points plotter.XYs
	for position := 0; position < len(sorted); position += every {
		left := float64(len(sorted)-position) / float64(len(sorted))
		points = append(points, plotter.XY{X: float64(max(sorted[position], 1)), Y: 100 * left})
	}
	return points
}

// plotLive shows the latency at each percentile, up to the 99.9th.
func (r *Report) plotLive() (*plot.Plot, error) {
	if len(r.scenario.Live) == 0 {
		return nil, nil
	}
	made := plot.New()
	made.X.Label.Text, made.Y.Label.Text = "percentile", "seconds"
	percents := []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9}
	var lines []any
	for _, run := range r.firstSeed() {
		points := make(plotter.XYs, len(percents))
		for index, percent := range percents {
			points[index].X = float64(index)
			points[index].Y = float64(run.measure.live.latency.ValueAtQuantile(percent)) / 1e6
		}
		lines = append(lines, run.Policy, points)
	}
	var ticks plot.ConstantTicks
	for index, percent := range percents {
		ticks = append(ticks, plot.Tick{Value: float64(index), Label: fmt.Sprint(percent)})
	}
	made.X.Tick.Marker = ticks
	made.Legend.Left = true
	return addLines(made, lines)
}

// plotVersions shows how many replicas serve each version of the first policy's run, over the last part of
// the run: all of it would be a hatching.
func (r *Report) plotVersions() (*plot.Plot, error) {
	runs := r.withRollouts()
	if len(runs) == 0 {
		return nil, nil
	}
	made := plot.New()
	made.X.Label.Text, made.Y.Label.Text = "minutes", "replicas"
	moments := runs[0].measure.timeline
	moments = moments[len(moments)*3/4:]
	var numbers []uint64
	for _, moment := range moments {
		for number := range moment.versions {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	numbers = slices.Compact(numbers)
	var lines []any
	for _, number := range numbers[max(len(numbers)-versionsShown, 0):] {
		points := make(plotter.XYs, len(moments))
		for index, moment := range moments {
			points[index] = plotter.XY{X: moment.at.Minutes(), Y: float64(moment.versions[number])}
		}
		lines = append(lines, fmt.Sprintf("version %d", number), points)
	}
	return addLines(made, lines)
}

// versionsShown bounds the versions of a plot.
const versionsShown = 8
