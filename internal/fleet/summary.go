package fleet

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes a human-readable summary of the report.
func (r *Report) Print(output io.Writer) {
	fmt.Fprintf(output, "\n%s: %.0f s of calls, seed %d, faults %v\n\n", r.Deployment, r.Seconds, r.Seed, r.Faults)
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "callers\trequests\tanswered\trefused\tlost\twrong\tcut\tp50 ms\tp99 ms\tp999 ms\t")
	for _, source := range r.Callers.Sources {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", source.Name, source.Requests, source.Answered,
			source.Refused, source.Lost, source.Wrong, source.Cut, source.Latency.P50, source.Latency.P99, source.Latency.P999)
	}
	_ = table.Flush()
	fmt.Fprintf(output, "\nrollouts: %d samples, %d tokens delivered (%.0f a second), %d thrown away\n",
		r.Rollout.Samples, r.Rollout.Tokens, r.Rollout.TokensPerSecond, r.Rollout.DiscardedTokens)
	for _, trainer := range r.Trainers {
		fmt.Fprintf(output, "%s: %d steps, idle %.0f%%, staleness mean %.2f p99 %d max %d versions\n", trainer.Name, trainer.Steps,
			100*trainer.IdleShare, trainer.Staleness.Mean, trainer.Staleness.P99, trainer.Staleness.Max)
	}
	fmt.Fprintf(output, "table: %d changes accepted, %d refused as conflicts, in force everywhere after %.0f ms (median), %.0f ms (longest)\n",
		r.Table.Accepted, r.Table.Conflicts, r.Table.InForceP50, r.Table.InForceMax)
	for _, node := range r.Control {
		fmt.Fprintf(output, "%s: %.1f%% of a core, %.0f kB/s\n", node.Name, 100*node.CPUShare, node.KBPerSecond)
	}
	fmt.Fprintf(output, "whole process: %.2f cores, %.0f MiB resident\n\n", r.Process.Cores, r.Process.ResidentMiB)
	r.printInvariants(output)
}

func (r *Report) printInvariants(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "invariant\texamined\tviolated")
	for _, result := range r.Invariants {
		fmt.Fprintf(table, "%s\t%d\t%d\n", result.Name, result.Examined, result.Violated)
	}
	_ = table.Flush()
	for _, result := range r.Invariants {
		for _, detail := range result.Details {
			fmt.Fprintf(output, "  %s: %s\n", result.Name, detail)
		}
	}
	switch {
	case r.Violations > 0:
		fmt.Fprintf(output, "\nFAILED: %d violations\n", r.Violations)
	case len(r.Unexamined) > 0:
		fmt.Fprintf(output, "\nFAILED: nothing was examined for %v\n", r.Unexamined)
	default:
		fmt.Fprintln(output, "\nPASSED: every invariant was examined and held")
	}
}
