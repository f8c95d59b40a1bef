package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/invariant"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// ServiceReport summarizes the calls to one kind of pool, in the format of the fleet's report.
type ServiceReport struct {
	Requests  int            `json:"requests"`
	P50       float64        `json:"p50_ms"`
	P99       float64        `json:"p99_ms"`
	P999      float64        `json:"p999_ms"`
	ByVerdict map[string]int `json:"by_verdict"`
}

// Report holds the results of a load run. Write stores it as report.json.
type Report struct {
	Seconds    float64            `json:"seconds"`
	Violations uint64             `json:"violations"`
	Unexamined []invariant.Name   `json:"unexamined,omitempty"`
	Invariants []invariant.Result `json:"invariants"`
	Live       ServiceReport      `json:"live"`
	Operations ServiceReport      `json:"operations"`
	Callers    Stats              `json:"callers"`
}

// NewReport creates a report from a caller's statistics. Every answer that was presented as complete is an examined
// event of the invariant WholeAnswer.
func NewReport(stats Stats) Report {
	registry := invariant.NewRegistry(invariant.WholeAnswer)
	for range stats.Total.Answered {
		registry.Examine(invariant.WholeAnswer, true, "")
	}
	for index := range stats.Total.Wrong {
		detail := "see the callers' account"
		if index < len(stats.WrongExamples) {
			detail = stats.WrongExamples[index]
		}
		registry.Examine(invariant.WholeAnswer, false, "%s", detail)
	}
	summary := registry.Summary()
	return Report{
		Seconds: stats.Seconds, Violations: summary.Violations, Unexamined: summary.Unexamined, Invariants: registry.Results(),
		Live: newServiceReport(stats.Live), Operations: newServiceReport(stats.Operations), Callers: stats,
	}
}

func newServiceReport(stats SourceStats) ServiceReport {
	return ServiceReport{
		Requests: stats.Requests, P50: stats.Latency.P50, P99: stats.Latency.P99, P999: stats.Latency.P999,
		ByVerdict: map[string]int{
			verdict.Ran.String(): stats.ByVerdict.Ran, verdict.DidNotRun.String(): stats.ByVerdict.DidNotRun,
			verdict.MayHaveRun.String(): stats.ByVerdict.MayHaveRun,
		},
	}
}

// Passed reports whether no invariant was violated and all invariants were examined.
func (r Report) Passed() bool { return r.Violations == 0 && len(r.Unexamined) == 0 }

// Write writes report.json into folder and creates the folder if it does not exist.
func (r Report) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(folder, "report.json"), append(content, '\n'), 0o644))
}

// Print writes a human-readable summary to output.
func (r Report) Print(output io.Writer) {
	fmt.Fprintf(output, "%-16s %9s %9s %8s %6s %6s %7s %9s %9s %9s\n",
		"source", "requests", "answered", "refused", "lost", "wrong", "unsent", "p50 ms", "p99 ms", "p999 ms")
	for _, source := range append(append([]SourceStats{}, r.Callers.Sources...), r.Callers.Total) {
		fmt.Fprintf(output, "%-16s %9d %9d %8d %6d %6d %7d %9.2f %9.2f %9.2f\n",
			source.Name, source.Requests, source.Answered, source.Refused, source.Lost, source.Wrong, source.Unsent,
			source.Latency.P50, source.Latency.P99, source.Latency.P999)
	}
	for _, example := range append(append([]string{}, r.Callers.WrongExamples...), r.Callers.FailedExamples...) {
		fmt.Fprintf(output, "  %s\n", example)
	}
}
