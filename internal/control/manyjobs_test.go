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
	// smallDisk is the disk of a control node in these tests, in bytes.
	smallDisk = 128 << 20
	// ledger is the only ledger group.
	ledger = 1
	// jobTextBytes is the text of one ended job, in results of resultBytes.
	jobTextBytes = 1 << 20
	resultBytes  = 8 << 10
	// keptJobs is how many such jobs end within the time for which they are kept: 0.75 MB/s for 100 s.
	keptJobs = 75
)

// jobMaker submits jobs one after the other and ends each with its results, as a leader's runner does.
type jobMaker struct {
	cluster *cluster
	client  *controlclient.Client
	random  *rand.Rand
	next    int
}

func newJobMaker(t *testing.T) *jobMaker {
	c := startTunedCluster(t, func(config *Config) { config.DiskBytes, config.LedgerGroups = smallDisk, 1 })
	return &jobMaker{cluster: c, client: c.client(controlclient.Config{LedgerGroups: 1}), random: rand.New(rand.NewSource(1))}
}

func (m *jobMaker) execute(command *wire.Command) *wire.JobReply {
	m.cluster.t.Helper()
	result, err := m.client.Execute(testContext(m.cluster.t), ledger, command)
	if err != nil {
		m.cluster.t.Fatal(err)
	}
	return result.GetJob()
}

// submit submits the next job.
func (m *jobMaker) submit() (*wire.JobSubmit, wire.JobOutcome) {
	m.cluster.t.Helper()
	m.next++
	job := &wire.JobSubmit{Id: fmt.Sprint("job-", m.next), Digest: []byte{1}}
	for number := range jobTextBytes / resultBytes {
		job.Items = append(job.Items, &wire.JobItem{Id: fmt.Sprint("item-", number), Body: []byte("prompt")})
	}
	return job, m.execute(&wire.Command{Kind: &wire.Command_JobSubmit{JobSubmit: job}}).GetOutcome()
}

// end lists a text for each item of a job, ends it, and counts some time.
func (m *jobMaker) end(job *wire.JobSubmit) {
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

// onDisk is what the fullest node has on its disk, in bytes.
func (m *jobMaker) onDisk() int64 {
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

// TestJobsOfTheirRetentionAreTaken: after 57 s of steps each further job was answered as full until the first ones were
// forgotten, 135 s after they were taken, since all jobs together were bounded by 48 MB. A control node with a disk of 128 MB
// must keep 75 MB of ended jobs, with a snapshot of them, and have its headroom left.
func TestJobsOfTheirRetentionAreTaken(t *testing.T) {
	m := newJobMaker(t)
	for range keptJobs {
		job, outcome := m.submit()
		if outcome != wire.JobOutcome_JOB_OUTCOME_ACCEPTED {
			t.Fatalf("%s: %s", job.Id, outcome)
		}
		m.end(job)
		if size, most := m.onDisk(), int64(smallDisk-smallDisk/diskShare); size > most {
			t.Fatalf("%d MB on a disk of %d MB after %s: the headroom is gone", size>>20, smallDisk>>20, job.Id)
		}
	}
}

// TestJobsOfTheirRetentionAtFullSizeAreTaken: jobs are kept for 135 s, and a deployment of 128 replicas brings 0.8 MB of texts a
// second. They outgrow the disk of a control node.
func TestJobsOfTheirRetentionAtFullSizeAreTaken(t *testing.T) {
	m := newJobMaker(t)
	for range 135 * 8 / 10 {
		job, outcome := m.submit()
		if outcome != wire.JobOutcome_JOB_OUTCOME_ACCEPTED {
			t.Fatalf("%s: %s", job.Id, outcome)
		}
		m.end(job)
	}
}

// TestRefusedJobsAreNotLogged: jobs that found no room went through the log all the same, 1.1 MB a second, until the disks were
// full and no snapshot fitted beside the log. A job that is known to find no room must leave nothing behind.
func TestRefusedJobsAreNotLogged(t *testing.T) {
	m := newJobMaker(t)
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
		t.Fatalf("a job that is held comes again: %s", reply.GetOutcome())
	}
	applied++
	for range 20 {
		if _, outcome := m.submit(); outcome != wire.JobOutcome_JOB_OUTCOME_FULL {
			t.Fatalf("a job without room: %s", outcome)
		}
	}
	if now := leader.states[ledger].applied.Load(); now != applied {
		t.Fatalf("20 refused jobs took %d entries of the log; term %d, and %d before", now-applied, leader.states[ledger].leader().Term, term)
	}
}
