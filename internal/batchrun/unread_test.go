package batchrun

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/events"
)

// A job was never opened whose submission was the last change of the group, because the leader could not read the open
// jobs then and did not read them again.
func TestJobsThatCouldNotBeReadAreReadAgain(t *testing.T) {
	r := newRig(t)
	r.run(t)
	r.until(t, "the node leads", func() bool { return len(eventsOf[*events.RunnerBegan](r)) > 0 })
	r.group.mutex.Lock()
	r.group.failedReads = 3
	r.group.mutex.Unlock()
	r.submit(t, "a", 4, nil)
	r.await(t, "a", 4)
	if unread := eventsOf[*events.JobsUnread](r); len(unread) != 3 {
		t.Errorf("%d lines about jobs that could not be read, want 3", len(unread))
	}
}
