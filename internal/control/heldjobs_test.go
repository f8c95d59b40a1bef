package control

import (
	"runtime"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// endJobs submits and ends a number of jobs.
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

// restart kills all nodes, starts them from their folders, and waits until a job of before can be read.
func (m *jobSubmitter) restart() {
	m.cluster.t.Helper()
	for position := range m.cluster.servers {
		m.cluster.kill(position)
	}
	for position := range m.cluster.servers {
		m.cluster.start(position, nil)
	}
	query := &wire.JobResultsQuery{Job: "job-1"}
	result, err := m.client.Query(testContext(m.cluster.t), ledger, &wire.Query{Kind: &wire.Query_JobResults{JobResults: query}})
	if view := result.GetJobResults(); err != nil || !view.GetEnded() || len(view.GetResults()) == 0 {
		m.cluster.t.Fatalf("read %v (%v) after the restart, want results", view, err)
	}
}

// TestHeapGrowsWithEndedJobs guards against control nodes that collect garbage without end. With the texts of ended jobs
// on the heap, a leader's live heap met the collector's limit after some 65 s of full load. From then on learners were
// not brought up to date, and after a loss of all machines nothing acknowledged was read back in time. What nodes hold
// in memory must not grow with the jobs of a retention, whether they are few and large or many and small, and whether a
// node was started before or after them: a quarter of the texts is left for those in no snapshot yet.
func TestHeapGrowsWithEndedJobs(t *testing.T) {
	const (
		firstBytes = 16 << 20 // fill the entries that are retained for followers
		moreBytes  = 40 << 20
		most       = clusterNodes * moreBytes / 4
	)
	for name, jobBytes := range map[string]int{"large jobs": jobResultsBytes, "small jobs": 8 * resultBytes} {
		t.Run(name, func(t *testing.T) {
			m := newJobSubmitter(t)
			m.items = jobBytes / resultBytes
			m.endJobs(firstBytes / jobBytes)
			before := int64(liveHeapBytes())
			m.endJobs(moreBytes / jobBytes)
			if grown := int64(liveHeapBytes()) - before; grown > most {
				t.Errorf("the live heap of %d nodes grew by %d MB with %d MB of ended jobs, want at most %d MB", clusterNodes, grown>>20, moreBytes>>20, most>>20)
			}
			m.restart()
			if grown := int64(liveHeapBytes()) - before; grown > most {
				t.Errorf("the live heap of %d nodes is %d MB larger after a restart with %d MB of ended jobs, want at most %d MB", clusterNodes, grown>>20, moreBytes>>20, most>>20)
			}
		})
	}
}
