package control

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// smallDisk is the size in bytes of a control node's disk in these tests.
	smallDisk = 128 << 20
	// ledger is the only ledger group.
	ledger = 1
	// jobResultsBytes is the total size of the results of one job, each of resultBytes.
	jobResultsBytes = 1 << 20
	resultBytes     = 8 << 10
	// retainedJobs is the number of such jobs that end within their retention, at 0.75 MB/s for 100 s.
	retainedJobs = 75
)

// jobSubmitter submits jobs one after the other and ends each with its results, as the runner of a leader does.
type jobSubmitter struct {
	cluster *cluster
	client  *controlclient.Client
	random  *rand.Rand
	next    int
	items   int // of each job
}

func newJobSubmitter(t *testing.T) *jobSubmitter {
	c := startConfiguredCluster(t, func(config *Config) { config.DiskBytes, config.LedgerGroups = smallDisk, 1 })
	return &jobSubmitter{cluster: c, client: c.client(controlclient.Config{LedgerGroups: 1}), random: rand.New(rand.NewSource(1)), items: jobResultsBytes / resultBytes}
}

func (m *jobSubmitter) execute(command *wire.Command) *wire.JobReply {
	m.cluster.t.Helper()
	result, err := m.client.Execute(testContext(m.cluster.t), ledger, command)
	if err != nil {
		m.cluster.t.Fatal(err)
	}
	return result.GetJob()
}

// submit submits the next job.
func (m *jobSubmitter) submit() (*wire.JobSubmit, wire.JobOutcome) {
	m.cluster.t.Helper()
	m.next++
	job := &wire.JobSubmit{Id: fmt.Sprint("job-", m.next), Digest: []byte{1}}
	for number := range m.items {
		job.Items = append(job.Items, &wire.JobItem{Id: fmt.Sprint("item-", number), Body: []byte("prompt")})
	}
	return job, m.execute(&wire.Command{Kind: &wire.Command_JobSubmit{JobSubmit: job}}).GetOutcome()
}

// end stores a result for each item of a job, ends the job, and advances its retention by 1 s.
func (m *jobSubmitter) end(job *wire.JobSubmit) {
	m.cluster.t.Helper()
	results := &wire.JobResults{Job: job.Id}
	for _, item := range job.Items {
		text := make([]byte, resultBytes)
		m.random.Read(text)
		results.Results = append(results.Results, &wire.JobResult{Item: item.Id, State: wire.JobItemState_JOB_ITEM_STATE_COMPLETED, Text: text})
	}
	m.execute(&wire.Command{Kind: &wire.Command_JobStore{JobStore: &wire.JobStore{Jobs: []*wire.JobResults{results}}}})
	m.execute(&wire.Command{Kind: &wire.Command_JobEnd{JobEnd: &wire.JobEnd{Job: job.Id}}})
	m.execute(&wire.Command{Kind: &wire.Command_JobExpire{JobExpire: &wire.JobExpire{RetentionMillis: 1 << 30, ElapsedMillis: 1000}}})
}

// largestFolderBytes returns the size of the largest data folder of a node in bytes.
func (m *jobSubmitter) largestFolderBytes() int64 {
	m.cluster.t.Helper()
	fullest := int64(0)
	for _, peer := range m.cluster.peers {
		size := int64(0)
		entries, err := os.ReadDir(filepath.Join(m.cluster.folder, peer.Name))
		if err != nil {
			m.cluster.t.Fatal(err)
		}
		for _, entry := range entries {
			if info, err := entry.Info(); err == nil {
				size += info.Size()
			}
		}
		fullest = max(fullest, size)
	}
	return fullest
}

// TestJobsWithinRetentionAreAccepted guards against rejecting jobs long before the disks are full. When all jobs
// together were limited to 48 MB, each job after 57 s of steps was rejected until the first jobs expired, 135 s after
// they were accepted. A control node with a disk of 128 MB must hold 75 MB of ended jobs and a snapshot of them, and
// keep its headroom free.
func TestJobsWithinRetentionAreAccepted(t *testing.T) {
	m := newJobSubmitter(t)
	for range retainedJobs {
		job, outcome := m.submit()
		if outcome != wire.JobOutcome_JOB_OUTCOME_ACCEPTED {
			t.Fatalf("%s: got %s, want ACCEPTED", job.Id, outcome)
		}
		m.end(job)
		if size, most := m.largestFolderBytes(), int64(smallDisk-smallDisk/diskShare); size > most {
			t.Fatalf("the data folder has %d MB on a disk of %d MB after %s, which leaves too little headroom", size>>20, smallDisk>>20, job.Id)
		}
	}
}

// TestJobsOfTheirRetentionAtFullSizeAreTaken submits what a deployment of 128 replicas produces within the retention of
// 135 s, at 0.8 MB of results per second. These jobs exceed the disk of a control node.
func TestJobsOfTheirRetentionAtFullSizeAreTaken(t *testing.T) {
	m := newJobSubmitter(t)
	for range 135 * 8 / 10 {
		job, outcome := m.submit()
		if outcome != wire.JobOutcome_JOB_OUTCOME_ACCEPTED {
			t.Fatalf("%s: got %s, want ACCEPTED", job.Id, outcome)
		}
		m.end(job)
	}
}

// TestRefusedJobsAreNotLogged guards against rejected jobs taking up space in the log. Jobs without capacity used to
// pass through the log at 1.1 MB/s, until the disks were full and no snapshot fitted next to the log.
func TestRefusedJobsAreNotLogged(t *testing.T) {
	m := newJobSubmitter(t)
	for {
		job, outcome := m.submit()
		if outcome != wire.JobOutcome_JOB_OUTCOME_ACCEPTED {
			break
		}
		m.end(job)
	}
	leader := m.cluster.servers[m.cluster.ledgerLeader()]
	term := leader.states[ledger].leader().Term
	applied := leader.states[ledger].applied.Load()
	if reply := m.execute(&wire.Command{Kind: &wire.Command_JobSubmit{JobSubmit: &wire.JobSubmit{Id: "job-1", Digest: []byte{1}, Items: []*wire.JobItem{{Id: "item"}}}}}); reply.GetOutcome() != wire.JobOutcome_JOB_OUTCOME_ACCEPTED {
		t.Fatalf("resubmitting a held job: got %s, want ACCEPTED", reply.GetOutcome())
	}
	applied++
	for range 20 {
		if _, outcome := m.submit(); outcome != wire.JobOutcome_JOB_OUTCOME_FULL {
			t.Fatalf("a job without capacity: got %s, want FULL", outcome)
		}
	}
	if now := leader.states[ledger].applied.Load(); now != applied {
		t.Fatalf("20 rejected jobs added %d log entries, want 0; term %d, %d before", now-applied, leader.states[ledger].leader().Term, term)
	}
}
