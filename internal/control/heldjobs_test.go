package control

import (
	"runtime"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// endJobs submits and ends a number of jobs, each with jobResultsBytes of results.
func (m *jobSubmitter) endJobs(number int) {
	m.cluster.t.Helper()
	for range number {
		job, outcome := m.submit()
		if outcome != wire.JobOutcome_JOB_OUTCOME_ACCEPTED {
			m.cluster.t.Fatalf("%s: got %s, want ACCEPTED", job.Id, outcome)
		}
		m.end(job)
	}
}

// liveHeapBytes returns the size of the heap that is in use, without garbage.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC() // the first one leaves what finalizers and pools still refer to
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestHeapGrowsWithEndedJobs guards against control nodes that collect garbage without end. With the texts of ended jobs
// on the heap, a leader's live heap met the collector's limit after some 65 s of full load. From then on learners were
// not brought up to date, and after a loss of all machines nothing acknowledged was read back in time. What nodes hold
// in memory must not grow with the jobs of a retention: a quarter of the texts is left for those in no snapshot yet.
func TestHeapGrowsWithEndedJobs(t *testing.T) {
	const (
		first = 16 // fill the entries that are retained for followers
		more  = 40
	)
	m := newJobSubmitter(t)
	m.endJobs(first)
	before := liveHeapBytes()
	m.endJobs(more)
	grown := int64(liveHeapBytes()) - int64(before)
	if most := int64(clusterNodes * more * jobResultsBytes / 4); grown > most {
		t.Errorf("the live heap of %d nodes grew by %d MB with %d MB of ended jobs, want at most %d MB", clusterNodes, grown>>20, more*jobResultsBytes>>20, most>>20)
	}
}
