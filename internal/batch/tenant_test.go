package batch

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestJobIsKnownToItsTenantOnly: other tenants must be able neither to read nor to end a job, while it is open, after
// its end and after a restore.
func TestJobIsKnownToItsTenantOnly(t *testing.T) {
	held := New()
	job := exampleJob("j", 2)
	job.Tenant = "One"
	job.Digest = Digest(job)
	reply, err := held.Submit(job)
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	other := exampleJob("j", 2)
	other.Tenant = "Two"
	other.Digest = Digest(other)
	reply, err = held.Submit(other)
	wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_OTHER_CONTENT)
	for _, ended := range []bool{false, true} {
		for tenant, known := range map[string]bool{"One": true, "Two": false, "": false} {
			results := readNow(t, held.Results(&wire.JobResultsQuery{Job: "j", Tenant: tenant}))
			item := readNow(t, held.Item(&wire.JobItemQuery{Job: "j", Item: "i0", Tenant: tenant}))
			if results.GetKnown() != known || item.GetKnown() != known || (results.GetTotal() == 2) != known {
				t.Errorf("ended %v, tenant %q: results %v, item %v", ended, tenant, results, item)
			}
		}
		for _, tenant := range []string{"Two", ""} {
			reply, err = held.End(&wire.JobEnd{Job: "j", Tenant: tenant})
			wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_UNKNOWN_JOB)
		}
		if open := len(held.Work(&wire.JobWorkQuery{}).GetOpen()) == 1; open == ended {
			t.Errorf("open %v after another tenant tried to end the job", open)
		}
		reply, err = held.End(&wire.JobEnd{Job: "j", Tenant: "One"})
		wantOutcome(t, reply, err, wire.JobOutcome_JOB_OUTCOME_ACCEPTED)
	}
	restored := New()
	if err = restored.Restore(mustSnapshot(t, held)); err != nil || readNow(t, restored.Results(&wire.JobResultsQuery{Job: "j", Tenant: "Two"})).GetKnown() ||
		!readNow(t, restored.Results(&wire.JobResultsQuery{Job: "j", Tenant: "One"})).GetKnown() {
		t.Errorf("the restore failed (%v), or the job is known to the wrong tenant after it", err)
	}
}
