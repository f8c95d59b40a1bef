package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// ExecutorGreeted reports that a leader opened a new stream to this executor.
type ExecutorGreeted struct {
	Leader  string `json:"leader" doc:"node that leads the group of the batch jobs"`
	Term    uint64 `json:"term" doc:"term in which the node leads"`
	Refused bool   `json:"refused,omitempty" doc:"whether the stream was rejected: the executor knows a newer leader or a newer stream of this leader, or the leader speaks another protocol"`
	Held    int    `json:"held" doc:"number of runs that the executor holds, including finished ones"`
}

var executorGreetedKind = newKind("executor_greeted", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*ExecutorGreeted) Kind() *logging.Kind { return &executorGreetedKind }

// RunAbandoned reports that an executor stopped a run because no leader asks for it any more.
type RunAbandoned struct {
	Job     string `json:"job" doc:"id of the batch job"`
	Item    string `json:"item" doc:"id of the item"`
	Replica string `json:"replica" doc:"back end that the run used"`
	Term    uint64 `json:"term" doc:"term of the leader that ordered the run"`
}

var runAbandonedKind = newKind("run_abandoned", logrus.WarnLevel, failureRate)

// Kind implements logging.Event.
func (*RunAbandoned) Kind() *logging.Kind { return &runAbandonedKind }

// ExecutorLost reports that a leader lost its stream to an executor. The executor's runs continue elsewhere.
type ExecutorLost struct {
	Executor string `json:"executor" doc:"process that drove the runs"`
	Runs     int    `json:"runs" doc:"number of its runs that the leader gave up"`
	Cause    string `json:"cause,omitempty" doc:"why the stream ended, or why there was none"`
}

var executorLostKind = newKind("executor_lost", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*ExecutorLost) Kind() *logging.Kind { return &executorLostKind }

// RunTakenOver reports that a new leader found, at an executor, a run that an earlier leader started.
type RunTakenOver struct {
	Job      string `json:"job" doc:"id of the batch job"`
	Item     string `json:"item" doc:"id of the item"`
	Replica  string `json:"replica" doc:"back end that the run uses"`
	Executor string `json:"executor" doc:"process that drives the run"`
	Term     uint64 `json:"term" doc:"term of the leader that ordered the run"`
	Bytes    uint64 `json:"bytes" doc:"bytes of the answer received so far"`
	Why      string `json:"why,omitempty" doc:"why the run was stopped instead; absent if it continues"`
}

var runTakenOverKind = newKind("run_taken_over", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*RunTakenOver) Kind() *logging.Kind { return &runTakenOverKind }
