package experiment

import (
	"fmt"
	"strings"
	"time"
)

// Markdown returns the report as a Markdown page.
func (r *Report) Markdown() string {
	var page strings.Builder
	fmt.Fprintf(&page, "# %s\n\n", r.Scenario)
	if r.Description != "" {
		fmt.Fprintf(&page, "%s\n\n", r.Description)
	}
	fmt.Fprintf(&page, "%d replicas, %v of virtual time, the first %v not measured, seeds %v. Means over the seeds, least and greatest in brackets.\n\n",
		r.scenario.Fleet.Replicas(), asDuration(r.Duration), asDuration(r.Warmup), r.Seeds)
	r.trainerTable(&page)
	r.liveTable(&page)
	page.WriteString("## Plots, first seed\n\n")
	for _, file := range plotFiles {
		fmt.Fprintf(&page, "![%s](%s)\n\n", file.title, file.name)
	}
	return page.String()
}

func (r *Report) trainerTable(page *strings.Builder) {
	page.WriteString("## Trainers\n\n")
	page.WriteString("| policy | idle % | bound % | step s | over bound | staleness | max | thrown away % | tokens/s | of room % | prefix reuse % |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for index := range r.Policies {
		one := &r.Policies[index]
		if r.scenario.Policies[index].Scheduling == SchedulingNone {
			continue
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s | %s | %.0f | %s | %.0f | %.0f | %.0f |\n", one.Policy,
			one.IdleShare.format(100, 1), one.BoundIdleShare.format(100, 1), one.StepTime.format(1, 1), one.StepTimeOverBound.format(1, 2),
			one.StalenessMean.format(1, 2), one.StalenessMax.Max, one.DiscardedShare.format(100, 2), one.RolloutRate.Mean,
			100*one.CapacityUsed.Mean, 100*one.PrefixReuse.Mean)
	}
	page.WriteString("\n")
}

func (r *Report) liveTable(page *strings.Builder) {
	if len(r.scenario.Live) == 0 {
		return
	}
	page.WriteString("## Live traffic\n\n")
	page.WriteString("| policy | p50 s | p99 s | p99.9 s | p99 over rollouts off | the same in waves | first token p99 s | refused or lost | weights everywhere p99 s |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for index := range r.Policies {
		one := &r.Policies[index]
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", one.Policy, one.LiveP50.format(1, 2), one.LiveP99.format(1, 2),
			one.LiveP999.format(1, 2), one.LiveP99OverNoRollouts.format(1, 3), one.LiveP99InWavesOverNoRollouts.format(1, 3), one.FirstTokenP99.format(1, 3), one.LiveFailed.format(1, 0),
			one.WeightPropagationP99.format(1, 1))
	}
	page.WriteString("\n")
}

// format returns the mean with the given number of digits, followed by the range in brackets unless minimum and
// maximum are equal. All figures are multiplied by factor.
func (s Spread) format(factor float64, digits int) string {
	if s.Min == s.Max {
		return fmt.Sprintf("%.*f", digits, s.Mean*factor)
	}
	return fmt.Sprintf("%.*f (%.*f-%.*f)", digits, s.Mean*factor, digits, s.Min*factor, digits, s.Max*factor)
}

func asDuration(seconds Seconds) time.Duration {
	return time.Duration(float64(seconds) * float64(time.Second)).Round(time.Second)
}
