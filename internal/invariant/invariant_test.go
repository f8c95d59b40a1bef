package invariant

import "testing"

// TestAnUnexaminedInvariantDoesNotPass guards against a run that passes although an expected invariant examined nothing.
func TestAnUnexaminedInvariantDoesNotPass(t *testing.T) {
	registry := NewRegistry(WholeAnswer, RunAtMostOnce)
	registry.Examine(WholeAnswer, true, "")
	summary := registry.Summary()
	if summary.Passed() || len(summary.Unexamined) != 1 || summary.Unexamined[0] != RunAtMostOnce {
		t.Fatalf("got summary %+v, want run-at-most-once unexamined", summary)
	}
}

// TestViolationsAreCountedAndDescribed guards against violations that are miscounted beyond the limit of descriptions, or
// that let a run pass.
func TestViolationsAreCountedAndDescribed(t *testing.T) {
	registry := NewRegistry(WholeAnswer)
	for request := range maxDetails + 5 {
		registry.Examine(WholeAnswer, false, "request %d was cut", request)
	}
	result := registry.Results()[0]
	if result.Violated != maxDetails+5 || len(result.Details) != maxDetails || result.Details[0] != "request 0 was cut" {
		t.Fatalf("got result %+v, want each violation counted and the first maxDetails described", result)
	}
	if registry.Summary().Passed() {
		t.Fatal("the summary passed despite violations")
	}
}
