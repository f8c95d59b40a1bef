// Package growth checks how the cost of a mechanism grows with the size of the fleet. Tests measure the cost at several
// sizes as a count that does not depend on the machine, such as messages, rows or allocated bytes, and state the largest
// exponent with which it may grow.
package growth

import (
	"fmt"
	"math"
	"runtime"
	"testing"
)

// tolerance is the factor by which a cost may exceed its stated growth, for terms of a lower order such as the depth of a
// tree.
const tolerance = 1.5

// Check fails the test if the cost at any of the sizes, in ascending order, exceeds the cost at the first one by more than
// (size/first)^exponent, beyond a small tolerance. Costs must be above 0.
func Check(t *testing.T, what string, exponent float64, sizes []int, cost func(size int) float64) {
	t.Helper()
	costs := make([]float64, 0, len(sizes))
	for _, size := range sizes {
		costs = append(costs, cost(size))
	}
	t.Logf("%s: %.0f at sizes %v", what, costs, sizes)
	if reason := excess(exponent, sizes, costs); reason != "" {
		t.Errorf("%s %s", what, reason)
	}
}

// excess returns how the costs exceed their stated growth, or "" if they do not.
func excess(exponent float64, sizes []int, costs []float64) string {
	if costs[0] <= 0 {
		return fmt.Sprintf("costs nothing at size %d: the test measures nothing", sizes[0])
	}
	for position, size := range sizes {
		limit := costs[0] * math.Pow(float64(size)/float64(sizes[0]), exponent) * tolerance
		if costs[position] > limit {
			return fmt.Sprintf("costs %.0f at size %d and %.0f at size %d, want at most %.0f (exponent %.1f)",
				costs[0], sizes[0], costs[position], size, limit, exponent)
		}
	}
	return ""
}

// allocationRuns is the number of runs over which AllocatedBytes takes the mean.
const allocationRuns = 300

// AllocatedBytes returns the mean number of bytes that a run of step allocates. Nothing else may run meanwhile.
func AllocatedBytes(step func()) float64 {
	var before, after runtime.MemStats
	step() // what is only allocated once does not count
	runtime.ReadMemStats(&before)
	for range allocationRuns {
		step()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / allocationRuns
}
