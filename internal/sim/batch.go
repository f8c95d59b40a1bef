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

// Options say which seeds a batch runs.
type Options struct {
	Scenario *Scenario
	Seeds    int
	SeedBase int64
	Parallel int // seeds at a time
	Mutation Mutation
	// StopAtViolation ends the batch at the first violation.
	StopAtViolation bool
}

// Report is what a batch of seeds has shown.
type Report struct {
	Scenario   string
	Seeds      int
	Wall       time.Duration
	Virtual    time.Duration
	Faults     faultCounts
	Counts     []invariant.Result
	Completed  uint64
	Refused    uint64
	Unknown    uint64
	Changes    uint64
	Samples    uint64
	Violations []Violation // by seed
}

// Violation is a seed with what it violated.
type Violation struct {
	Seed    int64
	Problem string
}

// RunBatch runs seeds in parallel. The report depends on the options only, except for Wall and, when ctx
// ends early or StopAtViolation is set, for which seeds it covers.
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

// merge adds another report's counts.
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

// Unexamined lists the invariants that examined nothing.
func (r *Report) Unexamined() []invariant.Name {
	var names []invariant.Name
	for _, count := range r.Counts {
		if count.Examined == 0 {
			names = append(names, count.Name)
		}
	}
	return names
}

// Passed reports whether nothing was violated and every invariant examined something.
func (r *Report) Passed() bool { return len(r.Violations) == 0 && len(r.Unexamined()) == 0 }

// Print writes the report for people.
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
