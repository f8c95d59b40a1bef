package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// JobSubmitted reports that a gateway submitted a batch job, or failed to.
type JobSubmitted struct {
	Job          string  `json:"job" doc:"id of the batch job"`
	Route        string  `json:"route" doc:"route that matched"`
	Model        string  `json:"model,omitempty" doc:"model whose weights generate the tokens"`
	Step         uint64  `json:"step" doc:"number of the trainer's step"`
	MinVersion   uint64  `json:"min_version,omitempty" doc:"oldest weight version that may generate tokens"`
	Items        int     `json:"items" doc:"number of items in the job"`
	Status       int     `json:"status" doc:"status returned to the caller"`
	Verdict      string  `json:"verdict,omitempty" doc:"whether a job that was not accepted may run"`
	Cause        string  `json:"cause,omitempty" doc:"why the job was not accepted"`
	TableVersion uint64  `json:"table_version" doc:"version of the configuration table in use"`
	TookMs       float64 `json:"took_ms" doc:"time since the job arrived"`
}

var jobSubmittedKind = newKind("job_submitted", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*JobSubmitted) Kind() *logging.Kind { return &jobSubmittedKind }

// BatchTurns reports that the owners of batch items start or stop taking turns. They take turns while capacity does
// not suffice to finish all items in time and either the owners' weights differ or one owner requests many times the
// work of another.
type BatchTurns struct {
	Taken   bool    `json:"taken" doc:"whether owners take turns now; if not, items start in the order of the latest times at which they have to start"`
	Owners  int     `json:"owners,omitempty" doc:"number of owners with open jobs"`
	Waiting int     `json:"waiting,omitempty" doc:"number of waiting items"`
	Largest string  `json:"largest,omitempty" doc:"owner that requests the most work: a tenant, or a model or job if no tenant is known"`
	Most    float64 `json:"most,omitempty" doc:"work that this owner requests, in events"`
	Least   float64 `json:"least,omitempty" doc:"work that the owner with the smallest request asks for, in events"`
}

var batchTurnsKind = newKind("batch_turns", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*BatchTurns) Kind() *logging.Kind { return &batchTurnsKind }

// JobCallFailed reports that a gateway could not answer a call on a batch job: a read of results or of an item's
// body, or the end of a job.
type JobCallFailed struct {
	Job    string `json:"job" doc:"id of the batch job"`
	Item   string `json:"item,omitempty" doc:"id of the item"`
	Method string `json:"method" doc:"method of the call"`
	From   string `json:"from,omitempty" doc:"position from which results were requested"`
	Status int    `json:"status" doc:"status returned to the caller"`
	Cause  string `json:"cause,omitempty" doc:"why the call failed"`
}

var jobCallFailedKind = newKind("job_call_failed", logrus.WarnLevel, failureRate)

// Kind implements logging.Event.
func (*JobCallFailed) Kind() *logging.Kind { return &jobCallFailedKind }

// JobEnded reports that a caller ended a batch job through a gateway.
type JobEnded struct {
	Job string `json:"job" doc:"id of the batch job"`
}

var jobEndedKind = newKind("job_ended", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*JobEnded) Kind() *logging.Kind { return &jobEndedKind }

// RunnerBegan reports that this node leads the group of the batch jobs and starts to run their items.
type RunnerBegan struct {
	Term     uint64 `json:"term" doc:"term in which the node leads"`
	Open     int    `json:"open" doc:"number of open jobs that it found"`
	Revision uint64 `json:"revision" doc:"revision of the group's state at which the open jobs were read"`
}

var runnerBeganKind = newKind("runner_began", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*RunnerBegan) Kind() *logging.Kind { return &runnerBeganKind }

// RunnerEnded reports that this node no longer leads the group of the batch jobs.
type RunnerEnded struct {
	Term    uint64 `json:"term" doc:"term in which the node led"`
	Open    int    `json:"open" doc:"number of open jobs left to the next leader"`
	Running int    `json:"running" doc:"runs that were stopped as a result"`
}

var runnerEndedKind = newKind("runner_ended", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*RunnerEnded) Kind() *logging.Kind { return &runnerEndedKind }

// NearNodeRests reports that this process pauses reading results from a control node in its own zone.
type NearNodeRests struct {
	Address string  `json:"address" doc:"address of the control node"`
	Job     string  `json:"job" doc:"id of the batch job whose results were requested"`
	From    uint64  `json:"from" doc:"position from which results were requested"`
	Cause   string  `json:"cause,omitempty" doc:"error of the request; absent if the node answered but has not applied that position yet"`
	PauseMs float64 `json:"pause_ms" doc:"how long the leader is asked instead"`
}

var nearNodeRestsKind = newKind("near_node_rests", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*NearNodeRests) Kind() *logging.Kind { return &nearNodeRestsKind }

// JobOpened reports that a leader starts to run the items of a batch job.
type JobOpened struct {
	Job         string  `json:"job" doc:"id of the batch job"`
	Route       string  `json:"route" doc:"route by which the job arrived"`
	Model       string  `json:"model,omitempty" doc:"model whose weights generate the tokens"`
	Step        uint64  `json:"step" doc:"number of the trainer's step"`
	MinVersion  uint64  `json:"min_version,omitempty" doc:"oldest weight version that may generate tokens"`
	Desired     uint32  `json:"desired" doc:"number of complete groups that the trainer waits for"`
	Items       int     `json:"items" doc:"number of items in the job"`
	Finished    int     `json:"finished,omitempty" doc:"number of items that already had a result"`
	DueMs       float64 `json:"due_ms" doc:"time left until the results are due"`
	AgeMs       float64 `json:"age_ms" doc:"time since the job was sent, as the difference between two machines' clocks"`
	TableNeeded uint64  `json:"table_needed" doc:"version of the configuration table under which the job was accepted"`
}

var jobOpenedKind = newKind("job_opened", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*JobOpened) Kind() *logging.Kind { return &jobOpenedKind }

// JobClosed reports that the leader learned of the end of a batch job.
type JobClosed struct {
	Job        string  `json:"job" doc:"id of the batch job"`
	Step       uint64  `json:"step" doc:"number of the trainer's step"`
	Items      int     `json:"items" doc:"number of items in the job"`
	Finished   int     `json:"finished" doc:"number of items with a result"`
	Groups     int     `json:"groups" doc:"number of groups in the job"`
	Whole      int     `json:"whole" doc:"number of groups in which each item has a result"`
	Desired    uint32  `json:"desired" doc:"number of complete groups that the trainer waits for"`
	Running    int     `json:"running" doc:"runs that were stopped as a result"`
	OverdueMs  float64 `json:"overdue_ms" doc:"time since the results were due; negative if the job ended earlier"`
	Runs       int     `json:"runs" doc:"runs of the job's items under this leader"`
	RunsMoved  int     `json:"runs_moved,omitempty" doc:"of these, stopped to move the item to a faster back end"`
	RunsFull   int     `json:"runs_full,omitempty" doc:"of these, rejected by a back end without free capacity"`
	RunsFailed int     `json:"runs_failed,omitempty" doc:"of these, ended without a complete answer for another reason"`
	FirstRunMs float64 `json:"first_run_ms,omitempty" doc:"time from the opening of the job to its first run"`
	Listings   int     `json:"listings" doc:"times that results were listed under this leader"`
	Carried    int     `json:"carried,omitempty" doc:"groups known, when the job was opened, to come from an earlier job; these have to be complete as well"`
	// The critical item is the one whose result completed the last of the groups that the trainer waits for.
	Critical       string  `json:"critical,omitempty" doc:"critical item: the one whose result completed the desired number of groups; absent if that number was not reached under this leader"`
	WaitMs         float64 `json:"wait_ms,omitempty" doc:"time from the opening of the job to the critical item's first run"`
	RunningMs      float64 `json:"running_ms,omitempty" doc:"time that the critical item spent in its runs"`
	BetweenMs      float64 `json:"between_ms,omitempty" doc:"time that the critical item spent between its runs and waiting for its score"`
	AfterMs        float64 `json:"after_ms,omitempty" doc:"time from the critical item's result to the end of the job"`
	CriticalRuns   int     `json:"critical_runs,omitempty" doc:"number of runs of the critical item"`
	CriticalEvents int     `json:"critical_events,omitempty" doc:"number of events that these runs delivered"`
}

var jobClosedKind = newKind("job_closed", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*JobClosed) Kind() *logging.Kind { return &jobClosedKind }

// RunStarted reports that a run of an item starts at a back end.
type RunStarted struct {
	Job             string  `json:"job" doc:"id of the batch job"`
	Item            string  `json:"item" doc:"id of the item"`
	Replica         string  `json:"replica" doc:"back end that the item is sent to"`
	Pool            string  `json:"pool" doc:"pool of the back end"`
	TableVersion    uint64  `json:"table_version" doc:"version of the configuration table that the back end was chosen from"`
	Urgency         int     `json:"urgency" doc:"urgency of the item, from 0 (first) to 9"`
	Running         int     `json:"running" doc:"number of items running at the back end, including this one"`
	Slots           int     `json:"slots" doc:"number of items that may run at the back end"`
	KnownVersion    uint64  `json:"known_version,omitempty" doc:"weight version last learned from the back end"`
	KnownAgeMs      float64 `json:"known_age_ms,omitempty" doc:"time since that version was learned"`
	ExpectedVersion uint64  `json:"expected_version,omitempty" doc:"weight version that the run asks for"`
	ResumeAfter     int64   `json:"resume_after,omitempty" doc:"last event that is already stored; the run continues after it"`
}

var runStartedKind = newKind("run_started", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*RunStarted) Kind() *logging.Kind { return &runStartedKind }

// RunEnded reports that an item's run at a back end ended.
type RunEnded struct {
	Job      string  `json:"job" doc:"id of the batch job"`
	Item     string  `json:"item" doc:"id of the item"`
	Replica  string  `json:"replica" doc:"back end that the run was sent to"`
	Executor string  `json:"executor,omitempty" doc:"process that drove the run; absent if the leader drove it itself"`
	Ending   string  `json:"ending" doc:"how the run ended: completed, failed, full, moved, ..."`
	Why      string  `json:"why,omitempty" doc:"why the leader stopped the run: stalled, moved, restarted, job_ended, not_admitted, or suspected (back ends crashed under the item, and it must not run yet)"`
	Next     string  `json:"next" doc:"what happens to the item next: again, done, to_score, given_up or forgotten"`
	Status   int     `json:"status,omitempty" doc:"status that the back end returned; absent if no answer came"`
	Events   int     `json:"events" doc:"number of events that the run delivered"`
	Version  uint64  `json:"version,omitempty" doc:"weight version at the end of the run"`
	Cause    string  `json:"cause,omitempty" doc:"error of the call or of the answer"`
	Digest   string  `json:"digest,omitempty" doc:"digest of the item that is the same when it runs again; present if the connection broke off or the item is suspected"`
	Peer     string  `json:"peer,omitempty" doc:"whether the back end still listens: listening or gone (it crashed); present in the same cases as digest"`
	Crashes  int     `json:"crashes,omitempty" doc:"for a suspected item: crashes under it that this node knows of"`
	RestMs   float64 `json:"rest_ms,omitempty" doc:"for a suspected item: time until it is asked for again"`
	TookMs   float64 `json:"took_ms" doc:"time since the run started"`
	// The figures behind the decision to move a run.
	PaceMs  float64 `json:"pace_ms,omitempty" doc:"for a moved run: time between two events at its back end"`
	UsualMs float64 `json:"usual_ms,omitempty" doc:"for a moved run: time between two events at the fastest back end"`
	LeftMs  float64 `json:"left_ms,omitempty" doc:"for a moved run: expected remaining time; absent if not known"`
	Leaving bool    `json:"leaving,omitempty" doc:"for a moved run: whether its back end accepts no new work"`
	// Further figures behind a move, known if back ends report how long work currently takes there.
	PassingPace float64 `json:"passing_pace,omitempty" doc:"for a moved run: factor by which work at its back end currently takes longer than it does in the long run, from the back end's latest report; absent if it reports none"`
	SavedMs     float64 `json:"saved_ms,omitempty" doc:"for a moved run: time that the move was expected to save beyond its own cost; absent if not known"`
}

var runEndedKind = newKind("run_ended", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*RunEnded) Kind() *logging.Kind { return &runEndedKind }

// ItemWaits reports that an item waits at no back end although less than half of its pool is in use, and why. Only the
// longest waits are reported.
type ItemWaits struct {
	Job        string  `json:"job" doc:"id of the batch job"`
	Item       string  `json:"item" doc:"id of the item"`
	WaitedMs   float64 `json:"waited_ms" doc:"time since the item was last at a back end, or since the job was opened by this leader"`
	Why        string  `json:"why" doc:"suspected (back ends crashed under it), former_run (its run for an ended job has not ended yet), oversized (a replica rejected it that it is larger than), failing (several runs in a row were rejected or broke off without an event), retry, no_route, no_replica (none can start it; see the counts), no_memory or order"`
	HeldMs     float64 `json:"held_ms,omitempty" doc:"time until it may start, if it is held"`
	Digest     string  `json:"digest,omitempty" doc:"for a suspected item: its digest"`
	Crashes    int     `json:"crashes,omitempty" doc:"for a suspected item: crashes under it that this node knows of"`
	Recorded   int     `json:"recorded,omitempty" doc:"for a suspected item: number of these that are on record"`
	Replicas   int     `json:"replicas" doc:"back ends of its pool that accept new work"`
	Full       int     `json:"full,omitempty" doc:"of these, without a free slot"`
	Paused     int     `json:"paused,omitempty" doc:"of these, paused after failures or rejections"`
	OldWeights int     `json:"old_weights,omitempty" doc:"of these, with weights that are too old or loading"`
	Probing    int     `json:"probing,omitempty" doc:"of these, trying another item first"`
	NoMemory   int     `json:"no_memory,omitempty" doc:"of these, without memory for the item"`
	Running    int     `json:"running" doc:"runs at these back ends"`
	Slots      int     `json:"slots" doc:"slots of these back ends"`
}

var itemWaitsKind = newKind("item_waits", logrus.WarnLevel, failureRate)

// Kind implements logging.Event.
func (*ItemWaits) Kind() *logging.Kind { return &itemWaitsKind }

// JobsUnread reports that the leader could not read the open batch jobs. It reads them again.
type JobsUnread struct {
	Term     uint64 `json:"term" doc:"term in which the node leads"`
	Revision uint64 `json:"revision,omitempty" doc:"revision of the group's state at which they were last read; absent if they were not read yet in this term"`
	Cause    string `json:"cause" doc:"why they could not be read"`
}

var jobsUnreadKind = newKind("jobs_unread", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*JobsUnread) Kind() *logging.Kind { return &jobsUnreadKind }

// ItemFinished reports that an item has a result, which is about to be committed.
type ItemFinished struct {
	Job      string   `json:"job" doc:"id of the batch job"`
	Item     string   `json:"item" doc:"id of the item"`
	State    string   `json:"state" doc:"completed or terminated"`
	Why      string   `json:"why,omitempty" doc:"why the item was terminated: impossible, failed_too_often, score_failed, too_old or no_route"`
	Versions []uint64 `json:"versions,omitempty" doc:"weight versions that generated the text"`
}

var itemFinishedKind = newKind("item_finished", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*ItemFinished) Kind() *logging.Kind { return &itemFinishedKind }

// ResultsCommitted reports that the group applied a command with results and texts.
type ResultsCommitted struct {
	Jobs     []string `json:"jobs" doc:"ids of the batch jobs"`
	Results  int      `json:"results" doc:"number of results in the command"`
	Partials int      `json:"partials,omitempty" doc:"number of partial texts of running items in the command"`
	Unscored int      `json:"unscored,omitempty" doc:"number of complete texts in the command that wait for their score"`
	Scores   int      `json:"scores,omitempty" doc:"number of scores in the command for such texts"`
	Tries    int      `json:"tries" doc:"number of times the command was proposed"`
	Refused  string   `json:"refused,omitempty" doc:"why the group rejected the command"`
	// Unmatched counts results that are committed again, with their complete text.
	Unmatched int     `json:"unmatched,omitempty" doc:"number of results that continue a text which the group does not hold; they are committed again with their complete text"`
	TookMs    float64 `json:"took_ms" doc:"time since the first proposal"`
}

var resultsCommittedKind = newKind("results_committed", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*ResultsCommitted) Kind() *logging.Kind { return &resultsCommittedKind }

// RewardBegan reports that the reward call for a complete text starts. The requests of the call carry its id.
type RewardBegan struct {
	Job      string   `json:"job" doc:"id of the batch job"`
	Item     string   `json:"item" doc:"id of the item"`
	Call     string   `json:"call" doc:"id of the reward call, under which its requests are logged"`
	Versions []uint64 `json:"versions,omitempty" doc:"weight versions that generated the text"`
}

var rewardBeganKind = newKind("reward_began", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*RewardBegan) Kind() *logging.Kind { return &rewardBeganKind }

// RewardTried reports that a try of a reward call returned no score.
type RewardTried struct {
	Job      string  `json:"job" doc:"id of the batch job"`
	Item     string  `json:"item" doc:"id of the item"`
	Call     string  `json:"call" doc:"id of the reward call"`
	Ending   string  `json:"ending" doc:"failed (a back end reported a failure), refused (no back end ran the call) or lost (no usable answer)"`
	Failures int     `json:"failures,omitempty" doc:"number of answers so far that reported a failed call"`
	Most     int     `json:"most,omitempty" doc:"number of such answers after which the item is given up; absent if there is no limit"`
	Tries    int     `json:"tries" doc:"number of tries so far, including this one"`
	PauseMs  float64 `json:"pause_ms,omitempty" doc:"delay before the next try"`
	GivenUp  bool    `json:"given_up,omitempty" doc:"whether the item is given up"`
	Cause    string  `json:"cause,omitempty" doc:"why there is no score"`
}

var rewardTriedKind = newKind("reward_tried", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*RewardTried) Kind() *logging.Kind { return &rewardTriedKind }

// RewardEnded reports that the reward call for a text ended.
type RewardEnded struct {
	Job      string  `json:"job" doc:"id of the batch job"`
	Item     string  `json:"item" doc:"id of the item"`
	Call     string  `json:"call" doc:"id of the reward call"`
	Ending   string  `json:"ending" doc:"scored, given_up or stopped"`
	Why      string  `json:"why,omitempty" doc:"why the call was stopped: job_ended or given_up; absent if this node no longer leads"`
	Tries    int     `json:"tries,omitempty" doc:"number of tries without a score"`
	Failures int     `json:"failures,omitempty" doc:"number of answers that reported a failed call"`
	TookMs   float64 `json:"took_ms" doc:"time since the text was complete"`
}

var rewardEndedKind = newKind("reward_ended", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*RewardEnded) Kind() *logging.Kind { return &rewardEndedKind }

// ReplicaSuspended reports that a back end gets no items for a pause, and then one at a time.
type ReplicaSuspended struct {
	Replica string  `json:"replica" doc:"the back end"`
	Ending  string  `json:"ending" doc:"how the run that caused the pause ended"`
	Job     string  `json:"job" doc:"batch job of that run"`
	Item    string  `json:"item" doc:"item of that run"`
	InRow   int     `json:"in_row" doc:"consecutive pauses of this back end for such a reason"`
	PauseMs float64 `json:"pause_ms" doc:"length of the pause"`
}

var replicaSuspendedKind = newKind("replica_suspended", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*ReplicaSuspended) Kind() *logging.Kind { return &replicaSuspendedKind }
