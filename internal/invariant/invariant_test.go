package invariant

import "testing"

func TestAnUnexaminedInvariantDoesNotPass(t *testing.T) {
	registry := NewRegistry(WholeAnswer, RunAtMostOnce)
	registry.Examine(WholeAnswer, true, "")
	summary := registry.Summary()
	if summary.Passed() || len(summary.Unexamined) != 1 || summary.Unexamined[0] != RunAtMostOnce {
		t.Fatalf("summary %+v: want run-at-most-once unexamined", summary)
	}
}

func TestViolationsAreCountedAndDescribed(t *testing.T) {
	registry := NewRegistry(WholeAnswer)
	for request := range maxDetails + 5 {
		registry.Examine(WholeAnswer, false, "request %d was cut", request)
	}
	result := registry.Results()[0]
	if result.Violated != maxDetails+5 || len(result.Details) != maxDetails || result.Details[0] != "request 0 was cut" {
		t.Fatalf("result %+v", result)
	}
	if registry.Summary().Passed() {
		t.Fatal("a violated registry passed")
	}
}
