package memlimit

import "testing"

// TestReportTellsTheMemory reads what this process holds; the system of the tests tells of resident memory.
func TestReportTellsTheMemory(t *testing.T) {
	if ResidentBytes() == 0 {
		t.Error("the process has no resident memory")
	}
	event := read(280 << 20)
	if event.HeapMB <= 0 || event.RuntimeMB < event.HeapMB || event.ResidentMB <= 0 || event.LimitMB != 280 {
		t.Errorf("%+v", event)
	}
}
