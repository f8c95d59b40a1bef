package batchrun

import (
	"bytes"
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/batchrun/reward"
	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// rewardCall is the reward call of one complete text. Its goroutine owns it until it sends the call to
// termRunner.endedRewardCalls, except for stopReason, which the loop owns.
type rewardCall struct {
	schedule.Key
	job        *wire.JobSubmit
	request    *wire.JobReward
	versions   []uint64 // weight versions that generated the text
	startedAt  time.Duration
	cancel     context.CancelFunc
	attempts   reward.Call
	score      string // empty: none received
	givenUp    bool   // too many back ends answered that the call failed
	stopReason stopReason
}

// scoreText starts the reward call of an item and commits the item's complete text at the same time. With the committed
// text, the next leader only needs to request the score.
func (t *termRunner) scoreText(ctx context.Context, c *call) {
	t.committer.add(pendingEntry{job: c.Job, unscored: c.result, wholeResult: c.wholeResult})
	t.startRewardCall(ctx, c.Key, c.result.GetVersions())
}

// resumeRewardCalls starts reward calls for the complete texts that an earlier leader committed without a score.
func (t *termRunner) resumeRewardCalls(ctx context.Context, id string, texts []*wire.JobResult) {
	for _, committed := range texts {
		restored, err := restoreWholeText(committed)
		if err != nil {
			t.config.Log.WithError(err).Error("failed to decode a committed unscored text; a later job with the item can't reuse it")
		}
		t.jobs[id].items[committed.GetItem()].text = restored
		t.startRewardCall(ctx, schedule.Key{Job: id, Item: committed.GetItem()}, committed.GetVersions())
	}
}

// restoreWholeText returns the complete text that an earlier leader committed.
func restoreWholeText(committed *wire.JobResult) (*text, error) {
	data, err := batch.Text(committed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	restored := newText()
	restored.data, restored.versions, restored.whole = data, committed.GetVersions(), true
	restored.events = 1 + bytes.Count(data, []byte{'\n'}) // events are separated by line feeds
	return restored, nil
}

// startRewardCall starts the goroutine of an item's reward call. It does nothing once ctx has ended.
func (t *termRunner) startRewardCall(ctx context.Context, key schedule.Key, versions []uint64) {
	if ctx.Err() != nil {
		return
	}
	openJob := t.jobs[key.Job]
	callContext, cancel := context.WithCancel(ctx)
	started := &rewardCall{
		Key: key, job: openJob.submit, request: openJob.items[key.Item].wire.GetReward(), versions: versions,
		startedAt: t.config.Clock(), cancel: cancel,
	}
	t.rewardCalls[key] = started
	t.runner.metrics.textsUnscored.Inc()
	started.logBegan(t.config.Log)
	t.routines.Go(func() {
		defer t.runner.metrics.textsUnscored.Dec()
		defer cancel()
		t.runner.rewardCaller.requestScore(callContext, started, func() { t.noteCondemned(key) })
		t.endedRewardCalls <- started
	})
}

// noteCondemned notifies the loop that an item's reward call is condemned. It drops the notification if the channel is
// full, because the next attempt of the call repeats it.
func (t *termRunner) noteCondemned(key schedule.Key) {
	select {
	case t.condemnedItems <- key:
	default:
	}
}

// stopRewardCall cancels an item's reward call, which then reports through endedRewardCalls.
func (t *termRunner) stopRewardCall(key schedule.Key, why stopReason) {
	if running := t.rewardCalls[key]; running != nil {
		running.stopReason = why
		running.cancel()
	}
}

// handleRewardCallEnd lists the item with the score, or terminates the item if its call was given up.
func (t *termRunner) handleRewardCallEnd(c *rewardCall) {
	delete(t.rewardCalls, c.Key)
	took := t.config.Clock() - c.startedAt
	t.runner.metrics.observeRewardCall(c, took)
	c.logEnded(t.config.Log, took)
	switch {
	case c.score != "" && t.scheduler.Scored(c.Key):
		t.finishScored(c)
	case c.givenUp && t.scheduler.Terminate(c.Key):
		t.terminate(c.Key, whyScoreFailed)
	}
}

// finishScored records and lists the result of an item that got its score.
func (t *termRunner) finishScored(c *rewardCall) {
	openJob := t.jobs[c.Job]
	if openJob == nil || !openJob.items[c.Item].open {
		return
	}
	openJob.items[c.Item].open = false
	t.runner.metrics.observeResult(wire.JobItemState_JOB_ITEM_STATE_COMPLETED, t.config.Clock()-openJob.openedAt)
	t.logCompleted(c.Key, c.versions)
	t.list(openJob, pendingEntry{job: c.Job, score: &wire.JobScore{Item: c.Item, Score: c.score}})
}
