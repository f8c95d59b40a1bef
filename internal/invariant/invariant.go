// Package invariant counts, for each promised invariant, how many events were examined and how many violated it. The
// simulator, the fleet runner and the black-box tests share it, so that their reports agree. A run that examined no event
// for an invariant has not shown that the invariant holds, and Summary reports that.
package invariant

import (
	"fmt"
	"sort"
	"sync"
)

// Name identifies an invariant in reports.
type Name string

// The invariants that are checked, in the order of shared/PROMISES.md. P1 to P9 are the promises there.
const (
	SampleVersions  Name = "sample-versions"   // P1: a sample names the weight versions that produced it
	StalenessBound  Name = "staleness-bound"   // P2: no handed-over sample is older than the bound
	SampleOnce      Name = "sample-once"       // P3: every sample delivered exactly once
	WholeAnswer     Name = "whole-answer"      // P4: the whole answer to the caller's own request
	NotRunIsFinal   Name = "not-run-is-final"  // P5: "did not run" never runs
	RunAtMostOnce   Name = "run-at-most-once"  // P6: a non-repeatable request runs at most once
	LeavingBackend  Name = "leaving-backend"   // P7: no new work for a leaving back end after the bound
	PlannedStop     Name = "planned-stop"      // P8: a planned stop cuts off no request
	TableInForce    Name = "table-in-force"    // P9: no dispatch on an older table after the bound
	TableNoReversal Name = "table-no-reversal" // P9: an accepted change never reverts
)

// maxDetails bounds the number of violations that are described per invariant.
const maxDetails = 20

// Result holds the counts of one invariant.
type Result struct {
	Name     Name     `json:"name"`
	Examined uint64   `json:"examined"`
	Violated uint64   `json:"violated"`
	Details  []string `json:"details,omitempty"` // descriptions of the first maxDetails violations
}

// Registry collects the counts of invariants. It is safe for concurrent use.
type Registry struct {
	mutex   sync.Mutex
	results map[Name]*Result
}

// NewRegistry returns a registry that expects the given invariants to be examined.
func NewRegistry(expected ...Name) *Registry {
	registry := &Registry{results: make(map[Name]*Result, len(expected))}
	for _, name := range expected {
		registry.results[name] = &Result{Name: name}
	}
	return registry
}

// Examine counts one examined event of an invariant. If holds is false, the event also counts as a violation, which format
// and arguments describe. Examine returns holds.
func (r *Registry) Examine(name Name, holds bool, format string, arguments ...any) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result := r.results[name]
	if result == nil {
		result = &Result{Name: name}
		r.results[name] = result
	}
	result.Examined++
	if holds {
		return true
	}
	result.Violated++
	if len(result.Details) < maxDetails {
		result.Details = append(result.Details, fmt.Sprintf(format, arguments...))
	}
	return false
}

// Results returns a copy of all counts, sorted by name.
func (r *Registry) Results() []Result {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := make([]Result, 0, len(r.results))
	for _, result := range r.results {
		copied := *result
		copied.Details = append([]string(nil), result.Details...)
		all = append(all, copied)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Summary sums up a run over all invariants.
type Summary struct {
	Violations uint64 `json:"violations"`
	Unexamined []Name `json:"unexamined,omitempty"` // expected invariants for which no event was examined
}

// Passed reports whether no invariant was violated and each expected invariant was examined at least once.
func (s Summary) Passed() bool { return s.Violations == 0 && len(s.Unexamined) == 0 }

// Summary returns the total number of violations and the invariants for which no event was examined.
func (r *Registry) Summary() Summary {
	var summary Summary
	for _, result := range r.Results() {
		summary.Violations += result.Violated
		if result.Examined == 0 {
			summary.Unexamined = append(summary.Unexamined, result.Name)
		}
	}
	return summary
}
