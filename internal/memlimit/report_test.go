package memlimit

import (
	"runtime"
	"testing"
)

// TestReportContainsMemory checks the fields of a report on the test's own process. It needs a system that provides the
// resident memory.
func TestReportContainsMemory(t *testing.T) {
	if ResidentBytes() == 0 {
		t.Error("the process has no resident memory")
	}
	runtime.GC()
	event := read(280 << 20)
	if event.LiveMB <= 0 || event.GoalMB < event.LiveMB || event.CollectMs <= 0 {
		t.Errorf("got report %+v, want a live heap, a goal above it, and the time of collections", event)
	}
	if event.HeapMB <= 0 || event.RuntimeMB < event.HeapMB || event.ResidentMB <= 0 || event.LimitMB != 280 {
		t.Errorf("got report %+v, want positive sizes, a runtime size of at least the heap's, and a limit of 280 MB", event)
	}
}
