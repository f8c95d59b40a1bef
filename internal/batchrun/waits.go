package batchrun

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
)

const (
	// reportedWait is how long an item waits at no replica, beside idle replicas, before that is logged. Rejections,
	// pauses of replicas and loads of weights end within it.
	reportedWait = 2 * time.Second
	// maximumReportedWaits bounds the items that are logged at a time.
	maximumReportedWaits = 3
	// reportWaitsInterval is the interval between two reports.
	reportWaitsInterval = time.Second
)

// reportWaits logs why the items that have waited longest beside idle replicas do not start, and updates the metrics.
func (t *termRunner) reportWaits(now time.Duration) {
	if now < t.waitsReportedAt+reportWaitsInterval {
		return
	}
	t.waitsReportedAt = now
	waits := t.scheduler.IdleWaits(now, reportedWait, maximumReportedWaits)
	longest := time.Duration(0)
	for _, wait := range waits {
		longest = max(longest, wait.Duration)
		t.runner.metrics.idleWaits.WithLabelValues(wait.Reason.String()).Inc()
		t.logWait(wait)
	}
	t.runner.metrics.longestIdleWait.Set(longest.Seconds())
}

// logWait logs why an item does not start.
func (t *termRunner) logWait(wait schedule.Wait) {
	event := &events.ItemWaits{
		Job: wait.Job, Item: wait.Item, WaitedMs: events.Millis(wait.Duration), Why: wait.Reason.String(), HeldMs: events.Millis(wait.HeldFor),
		Replicas: wait.Replicas, Full: wait.Full, Paused: wait.Paused, OldWeights: wait.OldWeights, Probing: wait.Probing, NoMemory: wait.NoMemory,
		Running: wait.Running, Slots: wait.Slots,
	}
	if entry := t.jobs[wait.Job].items[wait.Item]; wait.Reason == schedule.WaitSuspect {
		event.Digest, event.Crashes, event.Recorded = entry.suspicion.digest.String(), int(entry.suspicion.judgment.Crashes), int(entry.suspicion.judgment.Recorded)
	}
	logging.Emit(t.config.Log, event)
}
