package batchrun

import (
	"context"
	"maps"
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// refresh reads which jobs were submitted and which have ended since the last time.
func (t *termRunner) refresh(ctx context.Context) {
	work, err := t.runner.queryOpenJobs(ctx, t.revision, t.config.Group.LocalQuery)
	t.unread = err != nil
	if err != nil {
		logging.Emit(t.config.Log, &events.JobsUnread{Term: t.term, Revision: t.revision, Cause: events.ErrorText(err)})
		return
	}
	t.applyOpenJobs(ctx, work)
}

// applyOpenJobs closes the jobs that have ended and opens the new ones.
func (t *termRunner) applyOpenJobs(ctx context.Context, work *wire.JobWorkView) {
	open := make(map[string]bool, len(work.GetOpen()))
	for _, id := range work.GetOpen() {
		open[id] = true
	}
	for id := range t.jobs {
		if !open[id] {
			t.closeJob(id)
		}
	}
	for _, taken := range work.GetJobs() {
		if t.jobs[taken.GetJob().GetId()] == nil {
			t.openJob(ctx, taken)
		}
	}
	t.revision, t.hasStoredJobs = work.GetRevision(), work.GetKept()
	t.runner.hasOpenJobs.Store(len(t.jobs) > 0)
}

// openJob adds a job to the scheduler. The queue TTL counts from now and not from the submitter's send time, so that a
// clock difference between machines never terminates items too early.
func (t *termRunner) openJob(ctx context.Context, taken *wire.JobWork) {
	submit, now := taken.GetJob(), t.config.Clock()
	added := &job{submit: submit, items: make(map[string]*item, len(submit.GetItems())), openedAt: now}
	described := schedule.Job{
		ID: submit.GetId(), Model: submit.GetModel(), MinVersion: submit.GetMinVersion(), Desired: int(submit.GetDesired()),
		MaxAttempts: int(submit.GetMaxAttempts()), OpenedAt: now, Deadline: now + millis(submit.GetDeadlineMillis()) - jobAge(submit),
		Tenant: submit.GetTenant(),
	}
	if submit.GetQueueTtlMillis() > 0 {
		described.GiveUp = now + millis(submit.GetQueueTtlMillis())
	}
	for _, entry := range submit.GetItems() {
		added.items[entry.GetId()] = &item{wire: entry, open: true}
		length, estimated := t.expectedLength(entry)
		described.Items = append(described.Items, schedule.Item{
			ID: entry.GetId(), Group: entry.GetGroup(), Length: length, Estimated: estimated, Prompt: t.promptTokens(entry),
			MaxTokens: entry.GetTokens() - t.promptTokens(entry),
			Scored:    needsScore(entry),
		})
	}
	for _, finished := range taken.GetFinished() {
		added.items[finished].open = false
	}
	for _, partial := range taken.GetPartials() {
		restored, err := restoreText(partial)
		if err != nil {
			t.config.Log.WithError(err).Error("failed to decode a committed partial text; its item restarts from the beginning")
			continue
		}
		added.items[partial.GetItem()].text = restored
	}
	added.deadline = described.Deadline
	t.jobs[submit.GetId()] = added
	t.logOpened(taken, added)
	unscored := make([]string, 0, len(taken.GetUnscored()))
	for _, committed := range taken.GetUnscored() {
		unscored = append(unscored, committed.GetItem())
	}
	t.scheduler.Open(described, taken.GetFinished(), unscored)
	t.beginListing(added)
	t.publishDemand(&described)
	t.resumeRewardCalls(ctx, submit.GetId(), taken.GetUnscored())
	t.view = nil // makes startRuns call applyTable, which routes the new items
}

// publishDemand publishes the expected tokens of a model's newest job. They stay published when the job ends, because
// the model's next job usually follows soon.
func (t *termRunner) publishDemand(opened *schedule.Job) {
	tokens := uint64(0)
	for _, entry := range opened.Items {
		tokens += entry.Length
	}
	demand := maps.Clone(t.runner.Demand())
	if demand == nil {
		demand = map[string]uint64{}
	}
	demand[opened.Model] = tokens
	t.runner.demand.Store(&demand)
}

func millis(value uint32) time.Duration { return time.Duration(value) * time.Millisecond }

// jobAge returns how long ago a job was sent, by the wall clocks of two machines. It is clamped to between 0 and the
// job's deadline.
func jobAge(submit *wire.JobSubmit) time.Duration {
	sent := time.UnixMilli(submit.GetSentUnixMillis())
	return min(max(0, time.Since(sent)), millis(submit.GetDeadlineMillis()))
}

// closeJob stops the running items of a job that has ended. Their texts are cached for a later job with the same items.
func (t *termRunner) closeJob(id string) {
	owner := t.jobs[id].submit.GetTenant()
	running := t.scheduler.End(id)
	for _, key := range running {
		t.stopEndedJobsCall(key)
	}
	t.logClosed(t.jobs[id], len(running))
	for _, entry := range t.jobs[id].items {
		t.stopRewardCall(schedule.Key{Job: id, Item: entry.wire.GetId()}, stopJobEnded)
		if t.calls[schedule.Key{Job: id, Item: entry.wire.GetId()}] == nil {
			t.runner.textCache.store(owner, entry.wire, entry.text)
		}
	}
	delete(t.jobs, id)
}

// stopEndedJobsCall stops a call whose job has ended, and counts it in stoppingCalls.
func (t *termRunner) stopEndedJobsCall(key schedule.Key) {
	if running := t.calls[key]; running != nil && !running.isStopping {
		running.isStopping = true
		t.stoppingCalls[key.Item]++
	}
	t.stopCall(key)
}

// uncountStopping removes a call that has ended from stoppingCalls, if stopEndedJobsCall counted it there.
func (t *termRunner) uncountStopping(c *call) {
	if !c.isStopping {
		return
	}
	if t.stoppingCalls[c.Item]--; t.stoppingCalls[c.Item] == 0 {
		delete(t.stoppingCalls, c.Item)
	}
}

// stopCall cancels a call, which then reports through endedCalls.
func (t *termRunner) stopCall(key schedule.Key) {
	if running := t.calls[key]; running != nil {
		running.stopReason = stopJobEnded
		running.cancel()
	}
}
