// Package forward answers callers' requests by sending them to back ends. The route determines the pools that a request
// may use and how often it may be sent. Package routing selects the back end, and package admission bounds the requests
// in flight. The lease of the control group is checked immediately before each send.
//
// A caller receives one back end's answer whole and unchanged. Until its first byte has been forwarded, an answer can
// be replaced by the answer of another attempt. An answer that ends early after that is visibly cut off.
package forward

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/bytebudget"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/retrybudget"
	"github.com/tamarindring/tamarindring/internal/route"
	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/share"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/tenant"
)

// Control checks the lease under which the process uses its table view.
type Control interface {
	// Admit reports whether the lease holds now, and the table version that it covers.
	Admit() (version uint64, ok bool)
}

// Defaults of Config.
const (
	DefaultMaxBufferedAnswer = 256 << 10
	DefaultConnectionDivisor = 16
	DefaultSlotShare         = 1
)

// Config configures a Forwarder. Zero fields take their defaults.
type Config struct {
	Control Control        // required
	Caller  replica.Caller // sends the requests; required
	Zone    string         // zone of this process
	Log     *logrus.Entry  // nil: no logging
	// MaxBufferedAnswer is the size in bytes up to which an answer is buffered until it is whole, so that another
	// attempt can replace an answer that ends early. Event streams are never buffered.
	MaxBufferedAnswer int
	// Budget bounds the memory of all buffered answers. An answer that does not fit is forwarded as it arrives. nil:
	// the forwarder creates its own budget.
	Budget bytebudget.Reserver
	// ConnectionDivisor divides a pool's max_connections: this process opens at most max_connections/ConnectionDivisor
	// connections.
	ConnectionDivisor int
	// SlotShare is the fraction of a pool's slots that this process may fill, above 0 and at most 1. The rest is left
	// to the pool's other callers.
	SlotShare float64
	Routing   routing.Settings
	// FirstLeaseWait is how long after the process start requests may wait for the first lease, see AwaitStart. 0:
	// requests are rejected at once.
	FirstLeaseWait time.Duration
	// OnRunStarted is called for each send that ran or may have run at a back end, with the name of the tenant and the
	// time at which the run began: the first event of a stream, or the send for all other answers. May be nil.
	OnRunStarted func(tenant string, at time.Time)
	// Guard permits the runs of requests and receives their results. nil: all runs are permitted.
	Guard *poisonguard.Guard
	// Now is the wall clock. nil: time.Now.
	Now func() time.Time
	// Clock is a monotonic clock that includes the time during which the machine is suspended, because a request's
	// caller waits during that time too. With a clock that stops meanwhile, a suspension of 5 s makes replicas receive
	// deadlines that are 5 s later than their callers'. nil: monotonic.Now.
	Clock monotonic.Clock
	// Shares tells this process its share of the resources that the fleet divides: the slots of pools with shared_slots
	// set, the quotas of tenants, and the limits and turns of large bodies. nil: this process uses pools as if it were
	// alone.
	Shares share.Source
	// Retries bounds the retries and hedges of each pool. nil: only the routes bound them.
	Retries *retrybudget.Limits
	// SpreadBytes makes each pool bound the bytes of large bodies in flight at its back ends and spread them by size,
	// see package replicabytes. false: large bodies are routed like small ones.
	SpreadBytes bool
	// Seed seeds the random choices. 0: a random seed.
	Seed uint64
}

// Forwarder forwards requests to back ends. It is safe for concurrent use.
type Forwarder struct {
	config   Config
	start    time.Time
	hadLease atomic.Bool // the process has held a lease on a configuration
	nextID   atomic.Uint64
	plan     atomic.Pointer[plan]
	metrics  *forwarderMetrics
	quotas   *quotas
	// shareWakeup has capacity 1. An entry wakes FollowShares because a shared resource is in use.
	shareWakeup chan struct{}

	mu     sync.Mutex
	pools  map[string]*pool // guarded by mu
	random *rand.Rand       // guarded by mu
}

// plan is the configuration derived from one table version. It is immutable except for the state of its pools.
type plan struct {
	version    uint64
	configured bool // the table holds a configuration
	routes     *route.Table
	tenants    *tenant.Index
	pools      map[string]*pool
}

// New returns a forwarder that rejects all requests until Update is called. It fails if Control or Caller is missing.
func New(config Config) (*Forwarder, error) {
	if config.Control == nil || config.Caller == nil {
		return nil, trace.BadParameter("forward: Control and Caller are required")
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Clock == nil {
		config.Clock = monotonic.Now
	}
	if config.MaxBufferedAnswer <= 0 {
		config.MaxBufferedAnswer = DefaultMaxBufferedAnswer
	}
	if config.Budget == nil {
		config.Budget = bytebudget.New(bytebudget.LimitFor(0))
	}
	if config.ConnectionDivisor <= 0 {
		config.ConnectionDivisor = DefaultConnectionDivisor
	}
	if config.SlotShare <= 0 || config.SlotShare > 1 {
		config.SlotShare = DefaultSlotShare
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	if config.Log == nil {
		config.Log = logging.Discard()
	}
	return &Forwarder{config: config, metrics: newForwarderMetrics(), quotas: newQuotas(config.Shares, config.Seed),
		shareWakeup: make(chan struct{}, 1), start: config.Now(), pools: map[string]*pool{},
		random: rand.New(rand.NewPCG(config.Seed, config.Seed))}, nil
}

// Update applies a table view; older views than the current one are ignored. It is a listener of the control session:
// once it returns, all decisions use the new view.
func (f *Forwarder) Update(view *table.View) {
	next := &plan{version: view.Version(), routes: route.NewTable(view), pools: map[string]*pool{}}
	next.configured = len(next.routes.Routes())+len(view.OfKind(table.Document)) > 0
	f.mu.Lock()
	defer f.mu.Unlock()
	var previousTenants *tenant.Index
	if previous := f.plan.Load(); previous != nil {
		if previous.version > next.version {
			return
		}
		previousTenants = previous.tenants
	}
	next.tenants = tenant.NewIndex(view, previousTenants)
	for _, row := range view.Pools() {
		existing := f.pools[row.Name]
		if existing == nil {
			existing = newPool(row.Name, &f.config, f.random.Uint64(), f.metrics)
		}
		existing.onShareUse = f.wakeShareFollower
		existing.ensureRetryBudget(f.now(), f.config.Retries)
		existing.update(f.now(), view, row, &f.config)
		next.pools[row.Name] = existing
	}
	f.logTable(view, next)
	for name, removed := range f.pools {
		if next.pools[name] == nil {
			removed.withdraw(f.now())
		}
	}
	f.pools = next.pools
	f.quotas.update(f.now(), next.tenants)
	f.plan.Store(next)
	f.wakeShareFollower() // polls at least once, so that demands for resources that are no longer shared are withdrawn
}

// Ready reports whether requests can be served: a configuration is known and the lease on it holds.
func (f *Forwarder) Ready() bool {
	plan := f.plan.Load()
	if plan == nil || !plan.configured {
		return false
	}
	_, ok := f.config.Control.Admit()
	if ok && !f.hadLease.Load() {
		f.hadLease.Store(true)
	}
	return ok
}

// TableVersion returns the version of the table in use, or 0 before the first one.
func (f *Forwarder) TableVersion() uint64 {
	if plan := f.plan.Load(); plan != nil {
		return plan.version
	}
	return 0
}

// currentPlan returns the plan whose table version the lease covers. It returns nil without a configuration or a lease,
// or if the plan has not caught up with the lease after maxTableRetries checks.
func (f *Forwarder) currentPlan() *plan {
	for range maxTableRetries {
		plan := f.plan.Load()
		if plan == nil || !plan.configured {
			return nil
		}
		version, ok := f.config.Control.Admit()
		if !ok {
			return nil
		}
		if version == plan.version {
			return plan
		}
		time.Sleep(tableRetryDelay)
	}
	return nil
}

const (
	// maxTableRetries bounds how often a decision is repeated because the table changed in the meantime.
	maxTableRetries = 50
	// tableRetryDelay is the pause before a decision is repeated.
	tableRetryDelay = time.Millisecond
)

// now returns the time since the process start, the time base of routing and admission.
func (f *Forwarder) now() time.Duration { return f.config.Now().Sub(f.start) }

// randomBelow returns a random number in [0, n).
func (f *Forwarder) randomBelow(n uint32) uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Uint32N(n)
}
