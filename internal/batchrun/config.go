// Package batchrun runs the items of batch jobs. On the node that leads the jobs' ledger group, it streams each item's
// answer from a replica in one of the route's pools and commits finished results to the group. Package schedule makes
// the scheduling decisions, and this package carries them out.
//
// The state in this package need not survive a change of leader. The new leader reads the items without a result from
// the group's state, together with the last committed checkpoint of each partial text, and continues from there.
//
// An item may run more than once, but under one leader never at two replicas at the same time: a run starts only after
// the previous one has ended. It resumes after the last complete event that was received.
package batchrun

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/batchrun/listing"
	"github.com/tamarindring/tamarindring/internal/batchrun/reward"
	"github.com/tamarindring/tamarindring/internal/batchrun/schedule"
	"github.com/tamarindring/tamarindring/internal/defaults"
	"github.com/tamarindring/tamarindring/internal/executorclient"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/weights"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Defaults of Config.
const (
	DefaultRetention = 10 * time.Minute
	// DefaultCheckpoint bounds how much generation time a run loses when its leader is lost. The loss is half of the
	// interval on average. It matters because the long answers that steps wait for are in progress at any time.
	DefaultCheckpoint = 500 * time.Millisecond
)

// Group is the ledger group that a Runner reads jobs from and commits results to. *control.LedgerGroup implements it.
type Group interface {
	// Leads returns the current term and whether this node leads the group in it.
	Leads() (term uint64, leading bool)
	// Changed receives a value after jobs were submitted or ended. It has one receiver.
	Changed() <-chan struct{}
	// Query is linearizable.
	Query(ctx context.Context, query *wire.Query) (*wire.View, error)
	// LocalQuery answers from the state that this node has applied.
	LocalQuery(ctx context.Context, query *wire.Query) (*wire.View, error)
	Propose(ctx context.Context, command *wire.Command) (*wire.Result, error)
}

// Session holds this node's lease on the table. *controlclient.Session implements it.
type Session interface {
	// AdmitView returns the table to act on. ok is false without a valid lease.
	AdmitView() (view *table.View, ok bool)
}

// Route lists the pools that the table sends a request to, with their weights.
type Route struct {
	Pools []schedule.Share
}

// RouteFunc returns the route of a request in a table. It returns false if the table has no matching route.
type RouteFunc func(view *table.View, host, path string) (Route, bool)

// Config configures a Runner. Group, Session and Caller are required.
type Config struct {
	Group   Group
	Session Session
	Caller  replica.Caller
	// Route finds the route of a request. Default TableRoutes().
	Route RouteFunc
	// ScoreHeader names the header that holds the score in the answer to a reward call.
	ScoreHeader string
	// Zone is the zone of this process, from which reward calls are sent. It may be empty.
	Zone string
	// Reward configures the retries of reward calls.
	Reward reward.Settings
	// Serving returns the weight versions that the replicas serve, according to the component that orders their weight
	// loads. It returns nil while they are unknown. Optional.
	Serving func() *weights.Serving
	// ServingWait is how long a new leader delays the first runs while Serving has no data. With 0 it starts items at
	// once, and learns from rejected runs which replicas have too old weights. It is ignored without Serving.
	ServingWait time.Duration
	// VersionField is the lower-case name of the event field that holds a weight version.
	VersionField string
	// LengthHeader names the item header that holds the estimated answer length in tokens. It may be empty.
	LengthHeader string
	// UsageHeader names the item header whose first comma-separated number is the prompt length in tokens. It may be
	// empty.
	UsageHeader string
	// Retention is the minimum time that a job is retained, from when it was accepted. Jobs that are open are retained
	// in any case. Default DefaultRetention.
	Retention time.Duration
	// Checkpoint is the interval between commits of a running item's partial text. Default DefaultCheckpoint.
	Checkpoint time.Duration
	// ListInterval is the interval between listings of a job's results while the job's end is not near; see package
	// listing. Default listing.DefaultInterval.
	ListInterval time.Duration
	Schedule     schedule.Settings
	// Executors returns the processes near the replicas that may drive runs. If nil, this node drives all runs itself.
	Executors func() []executorclient.Peer
	// Node is the name of this node in the executors' logs.
	Node string
	// Guard decides whether items and reward calls that are suspected of crashing replicas may run, and is notified how
	// runs ended. If nil, all are permitted.
	Guard *poisonguard.Guard
	// Clock is the time source of deadlines, pauses and measured durations. Default monotonic.Now.
	Clock monotonic.Clock
	// Log receives events and messages. Default: discards them.
	Log *logrus.Entry
}

func (c *Config) setDefaults() error {
	if c.Group == nil || c.Session == nil || c.Caller == nil {
		return trace.BadParameter("a batch runner needs a group, a session and a caller")
	}
	if c.Route == nil {
		c.Route = TableRoutes()
	}
	defaults.Set(&c.Retention, DefaultRetention)
	defaults.Set(&c.Checkpoint, DefaultCheckpoint)
	defaults.Set(&c.ListInterval, listing.DefaultInterval)
	c.Reward = c.Reward.WithDefaults()
	if c.Serving == nil {
		c.Serving = func() *weights.Serving { return nil }
		c.ServingWait = 0
	}
	if c.Clock == nil {
		c.Clock = monotonic.Now
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	return nil
}
