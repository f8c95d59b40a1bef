package sim

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/invariant"
)

// Options configure a batch of runs.
type Options struct {
	Scenario *Scenario
	Seeds    int   // number of seeds to run
	SeedBase int64 // first seed
	Parallel int   // number of seeds that run at the same time, at least 1
	Mutation Mutation
	// StopAtViolation ends the batch at the first violation.
	StopAtViolation bool
}

// Report summarizes the runs of a batch of seeds.
type Report struct {
	Scenario   string
	Seeds      int           // number of seeds that were run
	Wall       time.Duration // elapsed real time
	Virtual    time.Duration // simulated time, summed over the seeds
	Faults     faultCounts
	Counts     []invariant.Result
	Completed  uint64      // answers that reached a caller with the result of its call
	Refused    uint64      // answers that said "did not run"
	Unknown    uint64      // answers that said "may have run"
	Changes    uint64      // accepted table changes
	Samples    uint64      // samples that trainers received
	Violations []Violation // in order of seed
}

// Violation is a seed and the first invariant violation of its run.
type Violation struct {
	Seed    int64
	Problem string
}

// RunBatch runs seeds in parallel. The report depends only on the options, except for Wall and for the set of seeds
// that it covers when ctx ends early or StopAtViolation is set.
func RunBatch(ctx context.Context, options Options) *Report {
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make([]*Result, options.Seeds)
	next := make(chan int)
	var workers sync.WaitGroup
	for range max(options.Parallel, 1) {
		workers.Go(func() {
			for i := range next {
				result := Run(options.Scenario, options.SeedBase+int64(i), options.Mutation, false)
				results[i] = &result
				if result.Violation != "" && options.StopAtViolation {
					cancel()
				}
			}
		})
	}
feeding:
	for i := range options.Seeds {
		select {
		case next <- i:
		case <-ctx.Done():
			break feeding
		}
	}
	close(next)
	workers.Wait()
	report := &Report{Scenario: options.Scenario.Name}
	for _, result := range results {
		if result != nil {
			report.add(result)
		}
	}
	report.Wall = time.Since(began)
	return report
}

func (r *Report) add(result *Result) {
	r.Seeds++
	r.Virtual += result.Virtual
	r.Completed += result.Completed
	r.Refused += result.Refused
	r.Unknown += result.Unknown
	r.Changes += result.Changes
	r.Samples += result.Samples
	r.addCounts(&result.Faults, result.Counts)
	if result.Violation != "" {
		r.Violations = append(r.Violations, Violation{Seed: result.Seed, Problem: result.Violation})
	}
}

// merge adds another report's seeds, violations, faults and invariant counts.
func (r *Report) merge(other *Report) {
	r.Seeds += other.Seeds
	r.Violations = append(r.Violations, other.Violations...)
	r.addCounts(&other.Faults, other.Counts)
}

func (r *Report) addCounts(faults *faultCounts, counts []invariant.Result) {
	for kind := range faults {
		r.Faults[kind] += faults[kind]
	}
	for _, count := range counts {
		i := slices.IndexFunc(r.Counts, func(known invariant.Result) bool { return known.Name == count.Name })
		if i < 0 {
			r.Counts = append(r.Counts, invariant.Result{Name: count.Name})
			i = len(r.Counts) - 1
		}
		r.Counts[i].Examined += count.Examined
		r.Counts[i].Violated += count.Violated
	}
}

// Unexamined returns the invariants that examined no event.
func (r *Report) Unexamined() []invariant.Name {
	var names []invariant.Name
	for _, count := range r.Counts {
		if count.Examined == 0 {
			names = append(names, count.Name)
		}
	}
	return names
}

// Passed reports whether no invariant was violated and every invariant examined some event.
func (r *Report) Passed() bool { return len(r.Violations) == 0 && len(r.Unexamined()) == 0 }

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "scenario %s: %d seeds, %.0f s of virtual time in %.1f s, %.2f seeds/s\n",
		r.Scenario, r.Seeds, r.Virtual.Seconds(), r.Wall.Seconds(), float64(r.Seeds)/r.Wall.Seconds())
	fmt.Fprintf(out, "calls: %d answered, %d did not run, %d may have run; table changes accepted: %d; samples received: %d\n",
		r.Completed, r.Refused, r.Unknown, r.Changes, r.Samples)
	fmt.Fprintln(out, "faults injected:")
	for kind, count := range r.Faults {
		fmt.Fprintf(out, "  %-18s %8d\n", FaultKind(kind), count)
	}
	fmt.Fprintln(out, "events examined:")
	for _, count := range r.Counts {
		fmt.Fprintf(out, "  %-18s %8d examined %4d violated\n", count.Name, count.Examined, count.Violated)
	}
	for _, name := range r.Unexamined() {
		fmt.Fprintf(out, "NOT SHOWN: %s examined nothing\n", name)
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(out, "VIOLATION seed %d: %s\n", violation.Seed, violation.Problem)
	}
}
