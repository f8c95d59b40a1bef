package batchrun

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
)

// identity returns the request properties that stay the same when the item runs again, in this job or a later one.
func (c *call) identity() poison.Identity {
	identity := poison.Identity{Tenant: c.tenant, Method: c.item.GetMethod(), Host: c.item.GetHost(), Path: c.item.GetPath(), Body: c.item.GetBody(), Owed: true}
	for _, field := range c.item.GetHeaders() {
		identity.Header = append(identity.Header, poison.Field{Name: field.GetName(), Value: field.GetValue()})
	}
	return identity
}

// digest returns the digest of the item's identity, under which crashes are recorded.
func (c *call) digest() poison.Digest {
	identity := c.identity()
	return identity.Digest()
}

// suspicion is a judgment of the guard that did not permit a run, and the digest of the item.
type suspicion struct {
	digest   poison.Digest
	judgment poison.Judgment
}

// permit asks the guard whether the item may run now. If not, the call ends without being sent.
func (t *termRunner) permit(ctx context.Context, c *call) bool {
	if t.config.Guard == nil {
		return true
	}
	c.guardRun, c.judgment = t.config.Guard.BeginInPool(ctx, c.Pool, c.identity)
	if c.guardRun == nil {
		return false
	}
	c.guardRun.SetBackEnd(c.Instance, c.Address)
	return true
}

const (
	// maximumHoldPause bounds the pause before an item that must not run yet is checked again, because it may be cleared
	// of suspicion at any time. shortHoldPause bounds it during a rest, which may end early with another process's run.
	maximumHoldPause = 5 * time.Second
	shortHoldPause   = time.Second
)

// holdPause returns the pause before an item is checked again whose rest has some time left.
func holdPause(remaining time.Duration) time.Duration {
	if remaining > maximumHoldPause {
		return maximumHoldPause
	}
	return min(remaining, shortHoldPause)
}

// The pause after a trial that brought no answer and harmed nobody. Each trial changes the table twice, so that the
// trials of an item that all replicas reject must not follow each other at once.
const (
	trialPause        = 50 * time.Millisecond // doubles with each further one in a row
	maximumTrialPause = 250 * time.Millisecond
)

// pauseAfterTrial delays an item whose trial brought no answer. After a crash the guard does that.
func (t *termRunner) pauseAfterTrial(c *call, ending poisonguard.Ending) {
	openJob := t.jobs[c.Job]
	if openJob == nil || !c.guardRun.Claimed() {
		return
	}
	entry := openJob.items[c.Item]
	if ending == poisonguard.Answered || ending == poisonguard.Crashed {
		entry.trialPause = 0
		return
	}
	entry.trialPause = min(max(2*entry.trialPause, trialPause), maximumTrialPause)
	t.scheduler.Hold(c.Key, t.config.Clock()+entry.trialPause, schedule.HeldRetry)
}

// reportToGuard reports the end of a run to the guard. It marks an item that is suspected of crashing replicas in the
// scheduler, and delays one that the guard did not permit.
func (t *termRunner) reportToGuard(ctx context.Context, c *call) {
	if c.judgment.Permission == poison.Blocked {
		if openJob := t.jobs[c.Job]; openJob != nil {
			openJob.items[c.Item].suspicion = suspicion{digest: c.digest(), judgment: c.judgment}
		}
		t.scheduler.Suspect(c.Key)
		t.scheduler.Hold(c.Key, t.config.Clock()+holdPause(c.judgment.Remaining), schedule.HeldSuspect)
		if c.judgment.Condemned() {
			t.scheduler.Condemn(c.Key)
		}
		return
	}
	if c.guardRun == nil {
		return
	}
	ending := c.guardEnding()
	if ending == poisonguard.Crashed {
		t.scheduler.Suspect(c.Key)
	}
	t.pauseAfterTrial(c, ending)
	settle := c.guardRun.NoteEnding(ending)
	go settle(ctx) // the guard bounds its duration; the term's end doesn't wait for it
}

// guardEnding returns how the run ended in the guard's terms.
func (c *call) guardEnding() poisonguard.Ending {
	switch ending := poisonguard.EndingOf(c.outcome); {
	case c.ending == schedule.Completed:
		return poisonguard.Answered
	case c.ending == schedule.Lost:
		return poisonguard.Stopped // the executor was lost, which does not mean that the replica crashed
	case c.stopReason == stopRestarted:
		return poisonguard.Crashed
	case c.stopReason != "" && c.stopReason != stopStalled && ending == poisonguard.Interrupted:
		return poisonguard.Stopped
	default:
		return ending
	}
}
