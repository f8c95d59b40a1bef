package batchrun

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/batchrun/reward"
	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Reasons why an item is given up or a run is not permitted, as logs name them.
const (
	whyImpossible   = "impossible"
	whyFailedOften  = "failed_too_often"
	whyTooOld       = "too_old"
	whyNoRoute      = "no_route"
	whyNotPermitted = "not_admitted"
	whyScoreFailed  = "score_failed"
	whySuspected    = "suspected"
)

// giveUpReason returns why an item is given up after a run.
func giveUpReason(ending schedule.Ending) string {
	if ending == schedule.Impossible {
		return whyImpossible
	}
	return whyFailedOften
}

// runCounts counts the runs of a job's items under this leader, by how they ended.
type runCounts struct {
	firstRunAt time.Duration
	// failed counts all ends except completed runs, moves and rejections by a full replica.
	started, moved, full, failed int
}

// countStart counts the start of a run, and reports whether it is the job's first.
func (j *job) countStart(now time.Duration) (first bool) {
	j.runs.started++
	if j.runs.started > 1 {
		return false
	}
	j.runs.firstRunAt = now
	return true
}

// countEnd counts the end of a run.
func (j *job) countEnd(ending schedule.Ending) {
	switch ending {
	case schedule.Completed:
	case schedule.Moved:
		j.runs.moved++
	case schedule.Full:
		j.runs.full++
	default:
		j.runs.failed++
	}
}

// countGroups returns the number of a job's groups, and of those whose items all have a result.
func (j *job) countGroups() (all, whole int) {
	open := map[string]bool{}
	for _, entry := range j.items {
		name := entry.groupName()
		open[name] = open[name] || entry.open
	}
	for _, unfinished := range open {
		if !unfinished {
			whole++
		}
	}
	return len(open), whole
}

func (t *termRunner) logOpened(taken *wire.JobWork, opened *job) {
	submit := opened.submit
	logging.Emit(t.config.Log, &events.JobOpened{
		Job: submit.GetId(), Route: submit.GetRoute(), Model: submit.GetModel(), Step: submit.GetStep(), MinVersion: submit.GetMinVersion(),
		Desired: submit.GetDesired(), Items: len(submit.GetItems()), Finished: len(taken.GetFinished()),
		DueMs: events.Millis(opened.deadline - opened.openedAt), AgeMs: events.Millis(jobAge(submit)), TableNeeded: submit.GetTableVersion(),
	})
}

// reportTurns updates the metric of owners that take turns, and logs when they start or stop taking turns.
func (t *termRunner) reportTurns() {
	turns := t.scheduler.Turns()
	t.runner.metrics.ownersInTurns.Set(float64(turns.Owners))
	if turns.Taken == t.ownersTakeTurns {
		return
	}
	t.ownersTakeTurns = turns.Taken
	logging.Emit(t.config.Log, &events.BatchTurns{Taken: turns.Taken, Owners: turns.Owners, Waiting: turns.Waiting, Largest: turns.Largest,
		Most: turns.Most, Least: turns.Least})
}

func (t *termRunner) logClosed(closed *job, running int) {
	submit, now := closed.submit, t.config.Clock()
	event := &events.JobClosed{
		Job: submit.GetId(), Step: submit.GetStep(), Items: len(submit.GetItems()), Desired: submit.GetDesired(), Running: running,
		OverdueMs: events.Millis(now - closed.deadline), Runs: closed.runs.started, RunsMoved: closed.runs.moved, RunsFull: closed.runs.full,
		RunsFailed: closed.runs.failed, Listings: closed.listing.count, Carried: closed.listing.carried,
	}
	event.Groups, event.Whole = closed.countGroups()
	for _, entry := range closed.items {
		if !entry.open {
			event.Finished++
		}
	}
	if closed.runs.started > 0 {
		event.FirstRunMs = events.Millis(closed.runs.firstRunAt - closed.openedAt)
	}
	if path, found := closed.criticalPath(now); found {
		t.runner.metrics.observeCriticalPath(path)
		event.Critical, event.CriticalRuns, event.CriticalEvents = path.item, path.runs, path.events
		event.WaitMs, event.RunningMs = events.Millis(path.wait), events.Millis(path.running)
		event.BetweenMs, event.AfterMs = events.Millis(path.between), events.Millis(path.after)
	}
	t.runner.metrics.jobOverdue.WithLabelValues().Observe(max(now-closed.deadline, 0).Seconds())
	logging.Emit(t.config.Log, event)
}

func (t *termRunner) logStart(c *call) {
	event := &events.RunStarted{
		Job: c.Job, Item: c.Item, Replica: c.Instance, Pool: c.Pool, TableVersion: t.view.Version(), Urgency: c.Urgency, Running: c.Running,
		Slots: c.Slots, KnownVersion: c.KnownVersion, ExpectedVersion: c.ExpectedVersion, ResumeAfter: max(c.text.lastID, 0),
	}
	if c.KnownVersion > 0 {
		event.KnownAgeMs = events.Millis(c.KnownAge)
	}
	logging.Emit(t.config.Log, event)
}

// logEnd logs the end of a run that received a number of events, and the replicas that the scheduler suspended for it.
func (t *termRunner) logEnd(c *call, eventCount int, next schedule.Next) {
	event := &events.RunEnded{
		Job: c.Job, Item: c.Item, Replica: c.Instance, Ending: c.ending.String(), Why: string(c.stopReason), Next: next.String(),
		Executor: c.executorName(), Status: c.outcome.Status, Events: eventCount, Version: c.version, Cause: events.ErrorText(c.outcome.Err),
		TookMs: events.Millis(t.config.Clock() - c.startedAt),
	}
	if c.stream.fault != nil {
		event.Cause = events.ErrorText(c.stream.fault)
	}
	if c.ending == schedule.Broken {
		event.Digest, event.Peer = c.digest().String(), c.outcome.Peer.String()
	}
	if c.stopReason == stopMoved {
		event.PaceMs, event.UsualMs = events.Millis(c.move.Pace), events.Millis(c.move.Fastest)
		event.LeftMs, event.Leaving = events.Millis(c.move.Remaining), c.move.Leaving
		event.PassingPace, event.SavedMs = c.move.RelativePace, events.Millis(c.move.Saved)
	}
	switch {
	case errors.Is(c.outcome.Err, errNotAdmitted):
		event.Why = whyNotPermitted
	case c.judgment.Permission == poison.Blocked:
		event.Why, event.Digest = whySuspected, c.digest().String()
		event.Crashes, event.RestMs = int(c.judgment.Crashes), events.Millis(c.judgment.Remaining)
	}
	logging.Emit(t.config.Log, event)
	for _, suspended := range t.scheduler.Suspended() {
		logging.Emit(t.config.Log, &events.ReplicaSuspended{Replica: suspended.Instance, Ending: suspended.Ending.String(),
			Job: suspended.Job, Item: suspended.Item, InRow: suspended.InRow, PauseMs: events.Millis(suspended.Pause)})
	}
}

func (t *termRunner) logCompleted(key schedule.Key, versions []uint64) {
	logging.Emit(t.config.Log, &events.ItemFinished{Job: key.Job, Item: key.Item, State: stateCompleted, Versions: versions})
}

func (t *termRunner) logTerminated(key schedule.Key, why string) {
	logging.Emit(t.config.Log, &events.ItemFinished{Job: key.Job, Item: key.Item, State: stateTerminated, Why: why})
}

func (c *committer) logCommitted(command *wire.JobStore, tries int, result *wire.Result, took time.Duration) {
	c.metrics.commitDuration.WithLabelValues().Observe(took.Seconds())
	event := &events.ResultsCommitted{
		Tries: tries, Refused: result.GetInvalid(), Unmatched: len(result.GetJob().GetUnmatched()), TookMs: events.Millis(took),
	}
	for _, results := range command.GetJobs() {
		event.Jobs = append(event.Jobs, results.GetJob())
		event.Results += len(results.GetResults())
		event.Partials += len(results.GetPartials())
		event.Unscored += len(results.GetUnscored())
		event.Scores += len(results.GetScores())
	}
	logging.Emit(c.config.Log, event)
}

// Endings of reward calls, as logs and metrics name them.
const (
	rewardScored  = "scored"
	rewardGivenUp = "given_up"
	rewardStopped = "stopped"
)

func (c *rewardCall) endingName() string {
	switch {
	case c.score != "":
		return rewardScored
	case c.givenUp:
		return rewardGivenUp
	}
	return rewardStopped
}

func (c *rewardCall) logBegan(log *logrus.Entry) {
	logging.Emit(log, &events.RewardBegan{Job: c.Job, Item: c.Item, Call: c.request.GetId(), Versions: c.versions})
}

// logTry logs an attempt that got no score.
func (c *rewardCall) logTry(log *logrus.Entry, tried *rewardTry, next reward.Next) {
	logging.Emit(log, &events.RewardTried{
		Job: c.Job, Item: c.Item, Call: c.request.GetId(), Ending: tried.ending.String(), Failures: c.attempts.Failures(), Most: tried.maximumFailures,
		Tries: c.attempts.Tries(), PauseMs: events.Millis(next.Pause), GivenUp: next.GiveUp, Cause: events.ErrorText(tried.cause),
	})
}

func (c *rewardCall) logEnded(log *logrus.Entry, took time.Duration) {
	logging.Emit(log, &events.RewardEnded{
		Job: c.Job, Item: c.Item, Call: c.request.GetId(), Ending: c.endingName(), Why: string(c.stopReason), Tries: c.attempts.Tries(),
		Failures: c.attempts.Failures(), TookMs: events.Millis(took),
	})
}
