package batchrun

import (
	"context"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// terminate gives an item up and lists its terminated result.
func (t *termRunner) terminate(key schedule.Key, why string) {
	t.stopRewardCall(key, stopGivenUp)
	t.logTerminated(key, why)
	t.finish(key, &wire.JobResult{Item: key.Item, State: wire.JobItemState_JOB_ITEM_STATE_TERMINATED}, nil)
}

// finish records and lists an item's result. whole returns the result with its complete text, for the case that result
// refers to a committed checkpoint that the group does not hold; nil: result refers to none.
func (t *termRunner) finish(key schedule.Key, result *wire.JobResult, whole func() *wire.JobResult) {
	openJob := t.jobs[key.Job]
	if openJob == nil || !openJob.items[key.Item].open {
		return
	}
	openJob.items[key.Item].open, openJob.items[key.Item].timing.finishedAt = false, t.config.Clock()
	t.runner.metrics.observeResult(result.GetState(), t.config.Clock()-openJob.openedAt)
	if result.GetState() == wire.JobItemState_JOB_ITEM_STATE_COMPLETED {
		t.logCompleted(key, result.GetVersions())
	}
	t.list(openJob, pendingEntry{job: key.Job, result: result, wholeResult: whole})
}

// expireEndedJobs regularly reports the elapsed time to the group, which drops ended jobs past their retention. The
// time of a report that is lost is not reported again, so jobs are retained longer then.
func (t *termRunner) expireEndedJobs(ctx context.Context, now time.Duration) {
	if !t.hasStoredJobs || now-t.lastExpiryAt < expiryInterval(t.config.Retention) || !t.expiring.CompareAndSwap(false, true) {
		return
	}
	command := &wire.JobExpire{RetentionMillis: uint64(t.config.Retention.Milliseconds()),
		ElapsedMillis: uint64((now - t.lastExpiryAt).Milliseconds())}
	t.lastExpiryAt = now
	t.routines.Go(func() {
		defer t.expiring.Store(false)
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		if _, err := t.config.Group.Propose(ctx, &wire.Command{Kind: &wire.Command_JobExpire{JobExpire: command}}); err != nil {
			t.config.Log.WithError(err).Debug("failed to expire ended batch jobs")
		}
	})
	t.refresh(ctx)
}

// expiriesPerRetention is how many expiry commands are sent per retention time. An ended job may stay in memory for two
// expiry intervals beyond its retention.
const expiriesPerRetention = 32

// expiryInterval returns the time between two expiry commands.
func expiryInterval(retention time.Duration) time.Duration {
	return max(retention/expiriesPerRetention, time.Millisecond)
}
