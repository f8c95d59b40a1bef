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

// rewardCall is the reward call of one whole text. Its routine owns it until the call is on the tenure's scores; the
// tenure owns stopped.
type rewardCall struct {
	schedule.Key
	job      *wire.JobSubmit
	request  *wire.JobReward
	versions []uint64 // that made the text
	whole    time.Duration
	cancel   context.CancelFunc
	course   reward.Call
	score    string // empty: none came
	givenUp  bool   // the call fails wherever it is made
	stopped  stopReason
}

// scoreText commits an item's whole text and asks for its score meanwhile: a leader that comes next finds the text
// and asks for the score only.
func (t *tenure) scoreText(ctx context.Context, c *call) {
	t.commits.add(pendingEntry{job: c.Job, unscored: c.result, whole: c.whole})
	t.rate(ctx, c.Key, c.result.GetVersions())
}

// rescore asks for the scores of texts that an earlier leader has committed.
func (t *tenure) rescore(ctx context.Context, id string, texts []*wire.JobResult) {
	for _, committed := range texts {
		held, err := restoredWhole(committed)
		if err != nil {
			t.config.Log.WithError(err).Error("a committed text can't be read; it is made anew only for a later job")
		}
		t.jobs[id].items[committed.GetItem()].text = held
		t.rate(ctx, schedule.Key{Job: id, Item: committed.GetItem()}, committed.GetVersions())
	}
}

// restoredWhole is a whole text that an earlier leader committed.
func restoredWhole(committed *wire.JobResult) (*text, error) {
	data, err := batch.Text(committed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	held := newText()
	held.data, held.versions, held.whole = data, committed.GetVersions(), true
	held.events = 1 + bytes.Count(data, []byte{'\n'}) // events are separated by line feeds
	return held, nil
}

// rate makes the reward call of an item. Nothing starts any more once ctx has ended.
func (t *tenure) rate(ctx context.Context, key schedule.Key, versions []uint64) {
	if ctx.Err() != nil {
		return
	}
	held := t.jobs[key.Job]
	callContext, cancel := context.WithCancel(ctx)
	started := &rewardCall{
		Key: key, job: held.submit, request: held.items[key.Item].wire.GetReward(), versions: versions,
		whole: t.config.Clock(), cancel: cancel,
	}
	t.rewardCalls[key] = started
	t.runner.counts.unscored.Inc()
	started.logBegan(t.config.Log)
	t.routines.Go(func() {
		defer t.runner.counts.unscored.Dec()
		defer cancel()
		t.runner.rewards.rate(callContext, started, func() { t.noteCondemned(key) })
		t.scores <- started
	})
}

// noteCondemned tells the loop of an item whose reward call is condemned, unless it is told of many already: it is told again at the
// call's next look.
func (t *tenure) noteCondemned(key schedule.Key) {
	select {
	case t.condemned <- key:
	default:
	}
}

// stopRating ends an item's reward call; it is reported through scores.
func (t *tenure) stopRating(key schedule.Key, why stopReason) {
	if rating := t.rewardCalls[key]; rating != nil {
		rating.stopped = why
		rating.cancel()
	}
}

// rated takes a reward call that is over.
func (t *tenure) rated(c *rewardCall) {
	delete(t.rewardCalls, c.Key)
	took := t.config.Clock() - c.whole
	t.runner.counts.rated(c, took)
	c.logEnded(t.config.Log, took)
	switch {
	case c.score != "" && t.scheduler.Scored(c.Key):
		t.finishScored(c)
	case c.givenUp && t.scheduler.Terminate(c.Key):
		t.terminate(c.Key, whyScoreFailed)
	}
}

// finishScored lists an item's text with its score.
func (t *tenure) finishScored(c *rewardCall) {
	held := t.jobs[c.Job]
	if held == nil || !held.items[c.Item].open {
		return
	}
	held.items[c.Item].open = false
	t.runner.counts.result(wire.JobItemState_JOB_ITEM_STATE_COMPLETED, t.config.Clock()-held.opened)
	t.logCompleted(c.Key, c.versions)
	t.list(held, pendingEntry{job: c.Job, score: &wire.JobScore{Item: c.Item, Score: c.score}})
}
