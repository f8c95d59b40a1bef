package weights

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wave"
)

// Defaults of Config.
const (
	DefaultMaxConcurrentLoads  = 2
	DefaultConcurrentLoadShare = 0.2
	DefaultPollInterval        = 100 * time.Millisecond
	DefaultLoadTimeout         = 10 * time.Second
)

// controlTimeout bounds a single request to the control group.
const controlTimeout = 400 * time.Millisecond

const (
	// maxLeadershipAge is the maximum age of a confirmed leadership, which is the duration of a control group lease.
	maxLeadershipAge = 1200 * time.Millisecond
	// orderTransitTime is the time allowed for an order to reach its replica.
	orderTransitTime = 300 * time.Millisecond
)

// TakeoverAfter returns the Config.Takeover for deployments in which two machines must not alternate in sending
// orders to a replica within orderLease.
func TakeoverAfter(orderLease time.Duration) time.Duration {
	return orderLease + maxLeadershipAge + orderTransitTime
}

// Config holds the dependencies and parameters of a Driver.
type Config struct {
	Control Control
	Sender  Sender
	// View returns the current view of the table. It may lag behind the table, and may be nil.
	View func() *table.View
	// IsLeader reports whether this process leads the control group. Its answer may be out of date by up to
	// maxLeadershipAge.
	IsLeader func() bool
	// Owner is the name of this machine as the owner of the fenced resource.
	Owner string
	// Takeover is the time that a new leader waits before its first order if another machine sent the last ones. It
	// covers the period within which two machines must not alternate, plus the time for which IsLeader may be out of
	// date. See TakeoverAfter.
	Takeover time.Duration
	// ReplicasCheckFences states that replicas reject orders whose fencing token is lower than the highest they have
	// seen. A new leader then need not wait out the Takeover of an owner that has become silent.
	ReplicasCheckFences bool
	// HandOver asks the machine that owns the orders to take the leadership from this process, since that machine
	// need not wait. It returns ErrOwnerSilent if that machine can't be reached. Optional.
	HandOver func(ctx context.Context, owner string) error
	// MaxConcurrentLoads and ConcurrentLoadShare bound the replicas that load at the same time over all models: as a
	// count and as a share of the replicas that hold a model. The greater of the two applies. Too many concurrent
	// loads slow each other down, and a loading replica starts no requests, but with too few of them a large fleet
	// falls behind its trainers. Defaults: DefaultMaxConcurrentLoads, DefaultConcurrentLoadShare.
	MaxConcurrentLoads  int
	ConcurrentLoadShare float64
	// PollInterval is the time between two reads of the newest registered versions. Default: DefaultPollInterval.
	PollInterval time.Duration
	// Demand returns the expected total length of the open batch jobs by model, in tokens. Load slots are divided
	// among the models in proportion to it. A model without an entry counts like the one with the lowest demand. If
	// Demand is nil or returns no entries, all models count alike.
	Demand func() map[string]uint64
	// LoadTimeout bounds a single order. Default: DefaultLoadTimeout.
	LoadTimeout time.Duration
	Clock       monotonic.Clock
	Log         *logrus.Entry
}

// Driver runs the rollout waves of all models while its process leads the control group.
type Driver struct {
	config       Config
	metrics      *driverMetrics
	pollNow      chan struct{} // capacity 1; requests a read of the registered versions
	results      chan loadResult
	slotReleases chan *load // loads whose expected load time is over
	versionReads chan newestVersions
	background   sync.WaitGroup

	// publishedToken is the fencing token under which this process may send orders, 0 if it may not.
	publishedToken atomic.Uint64

	published atomic.Pointer[Serving] // nil while this process does not lead or replicas are yet to be surveyed
	// surveyedTenure is the number of the last leadership in which a survey of the replicas was completed.
	surveyedTenure atomic.Uint64
	// surveyRunning is set while a survey is in progress.
	surveyRunning atomic.Bool

	mutex sync.Mutex
	// The following maps are keyed by instance, the text form of an incarnation, so that nothing known of a replica
	// carries over to its next start.
	reportedVersions map[string][]registry.ModelVersion
	reported         map[string]bool          // instances that have reported during this leadership
	surveyedAt       map[string]time.Duration // time at which an instance was last surveyed during this leadership
	toReview         map[string]bool          // instances to review in the next cycle

	// The following fields are accessed by Run only.

	// tenure is the number of the current leadership or, if this process does not lead, of its next one. The first
	// is 1.
	tenure         uint64
	token          uint64 // 0 while no orders may be sent
	takeover       takeover
	unconfirmed    acquisition
	planners       map[string]*wave.Planner
	queue          []queuedOrder
	loadSlots      int                     // maximum number of replicas that load at the same time
	loadingModels  map[string]string       // model of the order being executed, by replica
	slotHolders    map[string]*load        // orders that occupy a load slot, by replica
	activeLoads    map[string]*load        // orders that have not ended, by replica
	recentLoads    loadTimes               // times of the most recent loads
	loadedVersions map[replicaModel]uint64 // versions loaded by orders of this leadership
	served         *servingState           // what the replicas serve, as far as it is known
	placed         map[string][]string     // models for which a replica gets orders, by instance of each active replica
	seenRows       map[string][]*table.Row // back ends at the last review, by pool
	modelPools     map[string]bool         // pools of replicas that serve a model

	surveyStarted      bool          // a survey was started during this leadership
	versionReadRunning bool          // a read of the registered versions is in progress
	readVersionsAgain  bool          // another read is to follow the current one
	nextCycleAt        time.Duration // earliest time of the next planning cycle
}

// replicaModel identifies a model on a replica.
type replicaModel struct{ replica, model string }

// queuedOrder is an order that waits for a load slot.
type queuedOrder struct {
	model string
	order wave.Order
}

// loadResult is the outcome of an order.
type loadResult struct {
	queuedOrder
	token   uint64
	serving uint64
	err     error
	elapsed time.Duration
	// loadTime is the time from the acceptance of the order until the replica reported the version as served; 0 if it
	// was not observed.
	loadTime time.Duration
}

// recordResult counts the outcome of an order and logs it.
func (d *Driver) recordResult(ended *loadResult) {
	d.metrics.recordResult(ended.err, ended.elapsed)
	logging.Emit(d.config.Log, &events.OrderEnded{Replica: ended.order.Replica, Model: ended.model, Version: ended.order.Version.Number,
		Token: ended.token, Serving: ended.serving, Cause: events.ErrorText(ended.err), TookMs: events.Millis(ended.elapsed)})
}

// NewDriver returns a driver with defaults applied to the config. It does nothing until Run is called. It returns
// trace.BadParameter if a required field is missing.
func NewDriver(config Config) (*Driver, error) {
	if config.Control == nil || config.Sender == nil || config.View == nil || config.IsLeader == nil || config.Owner == "" {
		return nil, trace.BadParameter("weights driver config lacks a required field: Control, Sender, View, IsLeader or Owner")
	}
	if config.MaxConcurrentLoads <= 0 {
		config.MaxConcurrentLoads = DefaultMaxConcurrentLoads
	}
	if config.ConcurrentLoadShare <= 0 {
		config.ConcurrentLoadShare = DefaultConcurrentLoadShare
	}
	if config.PollInterval <= 0 {
		config.PollInterval = DefaultPollInterval
	}
	if config.LoadTimeout <= 0 {
		config.LoadTimeout = DefaultLoadTimeout
	}
	if config.Demand == nil {
		config.Demand = func() map[string]uint64 { return nil }
	}
	if config.Clock == nil {
		config.Clock = monotonic.Now
	}
	if config.Log == nil {
		config.Log = logging.Discard()
	}
	return &Driver{config: config, metrics: newDriverMetrics(), tenure: 1, pollNow: make(chan struct{}, 1), results: make(chan loadResult, maxLoadSlots),
		slotReleases: make(chan *load, maxLoadSlots), versionReads: make(chan newestVersions, 1), loadSlots: config.MaxConcurrentLoads,
		reportedVersions: map[string][]registry.ModelVersion{}, reported: map[string]bool{}, surveyedAt: map[string]time.Duration{}, toReview: map[string]bool{}, loadingModels: map[string]string{}, slotHolders: map[string]*load{}, activeLoads: map[string]*load{}, loadedVersions: map[replicaModel]uint64{},
		served: newServingState(), placed: map[string][]string{}, modelPools: map[string]bool{}}, nil
}

// OrderToken reports whether this process may send orders at this instant, and under which fencing token. Other work
// that only one process of the deployment may do depends on the same right, so that a single takeover settles all of
// it.
func (d *Driver) OrderToken() (token uint64, held bool) {
	token = d.publishedToken.Load()
	return token, token != 0 && d.config.IsLeader()
}

// dropToken gives up the right to send orders.
func (d *Driver) dropToken() {
	d.publishedToken.Store(0)
	d.token, d.planners, d.queue, d.takeover = 0, nil, nil, takeover{}
}

// ObserveHeartbeat records the versions that a heartbeat reports. It is registered as a listener of the replica
// registry.
func (d *Driver) ObserveHeartbeat(heartbeat *registry.Registration) {
	if len(heartbeat.Models) == 0 {
		return
	}
	d.recordReport(heartbeat.Incarnation().String(), heartbeat.Models)
}

// RequestVersionRead requests an immediate read of the registered versions. It does not block.
func (d *Driver) RequestVersionRead() {
	select {
	case d.pollNow <- struct{}{}:
	default:
	}
}

// Run runs the waves until ctx ends, and returns once all orders and reads in progress have ended.
func (d *Driver) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.background.Wait()
	defer cancel()
	ticker := time.NewTicker(d.config.PollInterval)
	defer ticker.Stop()
	idle := time.NewTimer(0)
	defer idle.Stop()
	readVersions := true // whether the next cycle reads the registered versions
	for {
		select {
		case <-ctx.Done():
			return
		case ended := <-d.results:
			d.handleResult(ended)
		case holder := <-d.slotReleases:
			d.releaseSlot(holder)
		case versions := <-d.versionReads:
			d.setTargets(versions)
			readVersions = readVersions || d.readVersionsAgain
		case <-d.pollNow:
			readVersions = true
		case <-ticker.C:
			readVersions = true
		case <-idle.C:
		}
		d.drainEnded()
		if now := d.config.Clock(); now < d.nextCycleAt {
			d.sendQueued(ctx)
			idle.Reset(d.nextCycleAt - now)
			continue
		}
		d.metrics.loading.Set(float64(len(d.slotHolders)))
		d.metrics.waiting.Set(float64(len(d.queue)))
		spent := d.runCycle(ctx, readVersions)
		readVersions = false
		d.nextCycleAt = d.config.Clock() + min(idleFactor*spent, maxIdle)
	}
}

const (
	// idleFactor is the length of the pause after a planning cycle as a multiple of the time the cycle took, so that
	// planning for many replicas uses a tenth of one processor. A cycle for a few replicas takes microseconds. Orders
	// that are already planned are still sent during the pause: 26 slots completed 28.4 loads per second, compared to
	// 26 when these orders waited for the end of the pause.
	idleFactor = 9
	maxIdle    = 200 * time.Millisecond
)

// sendQueued starts planned orders in free load slots between two planning cycles.
func (d *Driver) sendQueued(ctx context.Context) {
	if d.token == 0 || len(d.slotHolders) >= d.loadSlots || len(d.queue) == 0 || !d.config.IsLeader() {
		return
	}
	if view := d.config.View(); view != nil && d.sendAll(ctx, view) {
		d.publish()
	}
}

// drainEnded handles all other orders and loads that have ended, so that one cycle plans for all of them.
func (d *Driver) drainEnded() {
	for {
		select {
		case ended := <-d.results:
			d.handleResult(ended)
		case holder := <-d.slotReleases:
			d.releaseSlot(holder)
		default:
			return
		}
	}
}

// sendAll starts queued orders while there are free load slots, and reports whether it started any.
func (d *Driver) sendAll(ctx context.Context, view *table.View) (started bool) {
	supplies := d.countSupplies()
	for d.sendNext(ctx, view, supplies) {
		started = true
	}
	return started
}

// sendNext starts the first queued order that can be sent now and drops orders that are obsolete. It reports whether
// it started one.
func (d *Driver) sendNext(ctx context.Context, view *table.View, supplies map[string]supply) bool {
	d.sortQueue(supplies)
	waiting, started := d.queue[:0], false
	for _, next := range d.queue {
		planner := d.planners[next.model]
		row := view.Backend(next.order.Replica)
		switch {
		case row == nil || row.State != table.Active || planner.Target().Number != next.order.Version.Number:
			planner.Answered(d.config.Clock(), next.order.ID, wave.Answer{Outcome: wave.Failed})
		case started || len(d.slotHolders) >= d.loadSlots || d.loadingModels[row.Instance] != "":
			waiting = append(waiting, next)
		default:
			d.startLoad(ctx, next, row)
			supplies[next.model] = supplies[next.model].withLoad()
			started = true
		}
	}
	d.queue = waiting
	return started
}

// setLoading records the model that a replica is loading, "" if none.
func (d *Driver) setLoading(instance, model string) {
	if before := d.loadingModels[instance]; before != "" {
		d.served.setLoading(before, instance, false)
	}
	if model == "" {
		delete(d.loadingModels, instance)
		return
	}
	d.loadingModels[instance] = model
	d.served.setLoading(model, instance, true)
}

// recordLoaded records the version that a replica serves according to a completed order.
func (d *Driver) recordLoaded(instance, model string, version uint64) {
	d.loadedVersions[replicaModel{instance, model}] = version
	if known := d.served.get(model, instance).Version; known > 0 && known < version {
		d.served.setVersion(model, instance, version)
	}
}

// handleResult processes the outcome of an order. If the order was sent under an earlier token, only its load slot
// and its load time are taken into account.
func (d *Driver) handleResult(ended loadResult) {
	d.setLoading(ended.order.Replica, "")
	delete(d.slotHolders, ended.order.Replica)
	delete(d.activeLoads, ended.order.Replica)
	if ended.loadTime > 0 {
		d.recentLoads.add(ended.loadTime)
	}
	d.recordResult(&ended)
	if ended.token != d.token || d.planners[ended.model] == nil {
		return
	}
	if errors.Is(ended.err, ErrSuperseded) {
		logging.Emit(d.config.Log, &events.OrdersSuperseded{Token: d.token, Replica: ended.order.Replica})
		d.dropToken()
		return
	}
	answer := wave.Answer{Outcome: wave.Done, Serving: ended.serving}
	if ended.err == nil {
		d.recordLoaded(ended.order.Replica, ended.model, ended.serving)
	} else {
		answer = wave.Answer{Outcome: wave.Failed}
	}
	d.planners[ended.model].Answered(d.config.Clock(), ended.order.ID, answer)
}
