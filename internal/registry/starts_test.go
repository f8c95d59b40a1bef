package registry

import (
	"testing"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/incarnation"
)

// TestStartsAreRecordedOnceAllReadThem guards against recording starts before every process understands them: a build
// that does not would reject the whole change.
func TestStartsAreRecordedOnceAllReadThem(t *testing.T) {
	var recorded bool
	var unknown error
	service := &Service{config: Config{Starts: func() (bool, error) { return recorded, unknown }}}
	heartbeat := &Registration{Instance: "i", Start: 7}
	if taken, err := service.stripUnrecordableStart(heartbeat); err != nil || taken.Start != 0 || heartbeat.Start != 7 {
		t.Errorf("got %+v (%v), want a copy without the start", taken, err)
	}
	recorded = true
	if taken, err := service.stripUnrecordableStart(heartbeat); err != nil || taken.Start != 7 {
		t.Errorf("got %+v (%v), want start 7", taken, err)
	}
	unknown = trace.ConnectionProblem(nil, "not known")
	if _, err := service.stripUnrecordableStart(heartbeat); err == nil {
		t.Error("a heartbeat was accepted before it is known whether starts may be recorded")
	}
	if service.Deregister(t.Context(), incarnation.Incarnation{ID: "i", Start: 7}) == nil {
		t.Error("a replica was deregistered before it is known whether starts may be recorded")
	}
}
