package state

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// fillWithEndedJobs adds ended batch jobs to a machine whose texts take the given number of megabytes.
func fillWithEndedJobs(t *testing.T, machine *Machine, megabytes int) {
	t.Helper()
	random, index := rand.New(rand.NewSource(1)), machine.AppliedIndex()
	apply := func(command *wire.Command) {
		index++
		if result := machine.Apply(index, command); result.GetInvalid() != "" || result.GetJob().GetOutcome() == wire.JobOutcome_JOB_OUTCOME_FULL {
			t.Fatal(result)
		}
	}
	for number := range megabytes {
		id := fmt.Sprint("job-", number)
		job, results := &wire.JobSubmit{Id: id, Digest: []byte{1}}, &wire.JobResults{Job: id}
		for item := range 128 {
			text := make([]byte, 8<<10)
			random.Read(text)
			job.Items = append(job.Items, &wire.JobItem{Id: fmt.Sprint("item-", item)})
			results.Results = append(results.Results, &wire.JobResult{Item: fmt.Sprint("item-", item), State: wire.JobItemState_JOB_ITEM_STATE_COMPLETED, Text: text})
		}
		apply(&wire.Command{Kind: &wire.Command_JobSubmit{JobSubmit: job}})
		apply(&wire.Command{Kind: &wire.Command_JobStore{JobStore: &wire.JobStore{Jobs: []*wire.JobResults{results}}}})
		apply(&wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: id}}})
		apply(&wire.Command{Kind: &wire.Command_JobExpire{JobExpire: &wire.JobExpire{RetentionMillis: 1 << 30, ElapsedMillis: 1000}}})
	}
}

// TestSnapshotHoldsNoSecondCopyOfEndedJobs guards against control nodes that run out of memory. A snapshot of 52 MB
// that did not fit on the disk stayed in memory beside the state that it was encoded from, and control nodes with 280
// MB were killed. Batch jobs that no command changes any more must therefore be encoded only once.
func TestSnapshotHoldsNoSecondCopyOfEndedJobs(t *testing.T) {
	const megabytes = 32
	machine := New()
	fillWithEndedJobs(t, machine, megabytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	encoded, err := machine.Capture()()
	runtime.ReadMemStats(&after)
	if err != nil {
		t.Fatal(err)
	}
	if taken, most := after.TotalAlloc-before.TotalAlloc, uint64(megabytes<<20/4); taken > most {
		t.Errorf("a snapshot of %d MB of ended jobs allocated %d MB, want at most a quarter", megabytes, taken>>20)
	}
	runtime.KeepAlive(encoded)
}
