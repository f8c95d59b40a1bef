package batchrun

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/metrics"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// States of item results, as logs and metrics name them.
const (
	stateCompleted  = "completed"
	stateTerminated = "terminated"
)

// runnerMetrics are the metrics of a runner. Counters and histograms cover this process since its start, in all terms
// that it led.
type runnerMetrics struct {
	metrics.Set
	results         *prometheus.CounterVec
	itemsRunning    prometheus.Gauge
	jobsOpen        prometheus.Gauge
	ownersInTurns   prometheus.Gauge
	fastestPause    prometheus.Gauge
	slowestPause    prometheus.Gauge
	passingSlowness prometheus.Gauge
	memoryTaken     prometheus.Gauge
	runs            *prometheus.CounterVec
	runDuration     *prometheus.HistogramVec
	firstRunWait    *prometheus.HistogramVec
	itemDuration    *prometheus.HistogramVec
	commitDuration  *prometheus.HistogramVec
	listingWait     *prometheus.HistogramVec
	jobOverdue      *prometheus.HistogramVec
	criticalPath    *prometheus.HistogramVec
	idleWaits       *prometheus.CounterVec
	longestIdleWait prometheus.Gauge
	// Executors.
	executors      prometheus.Gauge
	ignoredReports prometheus.Counter
	// Reward calls.
	textsUnscored  prometheus.Gauge
	rewardDuration *prometheus.HistogramVec
}

func newRunnerMetrics() *runnerMetrics {
	part := metrics.Part("batch")
	ignored := part.Counter("executor_reports_ignored_total", "Reports of executors on runs that this leader follows no more there: late ones after an end or a stop.")
	c := &runnerMetrics{
		executors:       part.Gauge("executors", "Executors that take runs of this leader now; 0 on other nodes and where the leader drives all runs itself."),
		ignoredReports:  ignored.WithLabelValues(),
		results:         part.Counter("results_total", "Results of items that this node made while it led, by state: completed or terminated.", "state"),
		itemsRunning:    part.Gauge("items_running", "Items that run at a back end now."),
		jobsOpen:        part.Gauge("jobs_open", "Batch jobs that have not ended, as the leader knows them; 0 on other nodes."),
		ownersInTurns:   part.Gauge("owners_take_turns", "Owners that take turns for want of room, as the leader knows them; 0: items begin in the order of their latest starts."),
		fastestPause:    part.Gauge("replica_pause_fastest_seconds", "Usual time between two events at the fastest replica, as the leader knows it; 0: not known."),
		slowestPause:    part.Gauge("replica_pause_slowest_seconds", "The same at the slowest replica."),
		passingSlowness: part.Gauge("passing_slowness_seconds", "How long a passing slowness that replicas report is expected to go on; 0: none reports any."),
		memoryTaken:     part.Gauge("replica_memory_taken_ratio", "Part of its memory that running items are expected to take at the fullest replica; 0: not known."),
		runs:            part.Counter("runs_total", "Runs of items at back ends that are over, by how they ended.", "ending"),
		runDuration:     part.Latency("run_duration_seconds", "Time from a run's start to its end, by how it ended.", "ending"),
		firstRunWait:    part.Latency("first_run_wait_seconds", "Time from a job's opening by this leader to its first run."),
		itemDuration:    part.Latency("item_duration_seconds", "Time from a job's opening by this leader to an item's result, by state.", "state"),
		commitDuration:  part.Latency("commit_duration_seconds", "Time until a command of results and texts was applied."),
		listingWait:     part.Latency("listing_wait_seconds", "Time for which the first of the results that are listed together waited for it."),
		jobOverdue:      part.Latency("job_overdue_seconds", "Time by which jobs ended after their results were due; 0 for those in time."),
		criticalPath:    part.Latency("critical_path_seconds", "Time of the item with which a job's desired groups were whole, by part: wait, running, between or after.", "part"),
		idleWaits:       part.Counter("idle_waits_total", "Lines about items that wait at no back end while less than half of their pool is in use, by reason.", "reason"),
		longestIdleWait: part.Gauge("longest_idle_wait_seconds", "Longest such wait of an item now, as the leader knows it; 0: none is over 2 s."),
		textsUnscored:   part.Gauge("texts_unscored", "Whole texts that wait for the answer to their reward call."),
		rewardDuration:  part.Latency("reward_duration_seconds", "Time from a whole text to the end of its reward call: scored, given_up or stopped.", "ending"),
	}
	c.Set = metrics.Set{c.results, c.itemsRunning, c.jobsOpen, c.ownersInTurns, c.runs, c.runDuration, c.firstRunWait,
		c.itemDuration, c.commitDuration, c.listingWait, c.jobOverdue, c.criticalPath, c.textsUnscored, c.rewardDuration,
		c.fastestPause, c.slowestPause, c.passingSlowness, c.memoryTaken, c.executors, ignored, c.idleWaits, c.longestIdleWait}
	return c
}

// observeResult records an item's result and the time since its job was opened.
func (c *runnerMetrics) observeResult(ended wire.JobItemState, after time.Duration) {
	state := stateTerminated
	if ended == wire.JobItemState_JOB_ITEM_STATE_COMPLETED {
		state = stateCompleted
	}
	c.results.WithLabelValues(state).Inc()
	c.itemDuration.WithLabelValues(state).Observe(after.Seconds())
}

// fleetMetricsInterval is the interval at which the replica metrics are updated. Metrics are scraped less often, and an
// update visits all replicas.
const fleetMetricsInterval = time.Second

// updateFleetMetrics updates the metrics of replicas and executors, at most once per fleetMetricsInterval.
func (t *termRunner) updateFleetMetrics(now time.Duration) {
	if now < t.fleetMetricsAt+fleetMetricsInterval {
		return
	}
	t.fleetMetricsAt = now
	fleet, metrics := t.scheduler.Fleet(), t.runner.metrics
	metrics.fastestPause.Set(fleet.Fastest.Seconds())
	metrics.slowestPause.Set(fleet.Slowest.Seconds())
	metrics.passingSlowness.Set(fleet.SlowdownRemaining.Seconds())
	metrics.memoryTaken.Set(fleet.Memory)
	if t.fleet != nil {
		metrics.executors.Set(float64(t.fleet.CountUsable()))
	}
}

// observeCriticalPath records the critical path of a job that has ended.
func (c *runnerMetrics) observeCriticalPath(path criticalPath) {
	c.criticalPath.WithLabelValues("wait").Observe(path.wait.Seconds())
	c.criticalPath.WithLabelValues("running").Observe(path.running.Seconds())
	c.criticalPath.WithLabelValues("between").Observe(path.between.Seconds())
	c.criticalPath.WithLabelValues("after").Observe(path.after.Seconds())
}

// observeRun records the end of a run.
func (c *runnerMetrics) observeRun(ending schedule.Ending, took time.Duration) {
	c.runs.WithLabelValues(ending.String()).Inc()
	c.runDuration.WithLabelValues(ending.String()).Observe(took.Seconds())
}

// observeRewardCall records the end of a reward call.
func (c *runnerMetrics) observeRewardCall(call *rewardCall, took time.Duration) {
	c.rewardDuration.WithLabelValues(call.endingName()).Observe(took.Seconds())
}

// Collector returns the metrics of the runner and of the forwarder that sends its reward calls.
func (r *Runner) Collector() prometheus.Collector {
	return metrics.Set{r.metrics, r.rewardCaller.forwarder.Process().Collector()}
}
