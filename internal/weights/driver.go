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
	DefaultLoadsTogether = 2
	DefaultLoadsShare    = 0.2
	DefaultPoll          = 100 * time.Millisecond
	DefaultLoadTimeout   = 10 * time.Second
)

// controlTimeout bounds one question to the control group.
const controlTimeout = 400 * time.Millisecond

const (
	// confirmedWithin is how old the knowledge of leading may be: a lease of the control group.
	confirmedWithin = 1200 * time.Millisecond
	// orderTime is added for the time that an order is on its way.
	orderTime = 300 * time.Millisecond
)

// TakeoverAfter is the Takeover where two holders may not take turns at a replica within orderLease.
func TakeoverAfter(orderLease time.Duration) time.Duration {
	return orderLease + confirmedWithin + orderTime
}

// Config says what a Driver works with.
type Config struct {
	Control Control
	Sender  Sender
	// View is a view that follows the table and may lag; it may return nil.
	View func() *table.View
	// Leading says whether this process leads the control group, confirmed within Confirmed.
	Leading func() bool
	// Owner names this process's machine, as owner of the orders.
	Owner string
	// Takeover is how long a new leader waits before its first order if another machine sent the last ones: the
	// time within which two holders may not take turns, and the time for which Leading may be out of date.
	Takeover time.Duration
	// FencesChecked says that the replicas refuse orders with a lower fencing token than they have seen. Then a new leader
	// need not wait for an owner that has fallen silent.
	FencesChecked bool
	// HandOver asks the machine that owns the orders to lead in this one's place, if it is back: it need not
	// wait. It returns ErrOwnerSilent when that machine is not heard. Optional.
	HandOver func(ctx context.Context, owner string) error
	// LoadsTogether and LoadsShare bound the replicas that load at once, over all models: a count, and a part of the
	// replicas that hold a model, whichever is more. A load takes longer when too many run, and a replica that loads
	// begins nothing; but with few places a fleet of many replicas stays behind its trainers. Defaults
	// DefaultLoadsTogether, DefaultLoadsShare.
	LoadsTogether int
	LoadsShare    float64
	// Poll is how often newly named versions are looked for. Default DefaultPoll.
	Poll time.Duration
	// Demand tells the work of the open batch jobs by model, as their expected length in tokens: models share the places in
	// its proportion. A model that it lacks counts like the least of them. nil, or nothing told: all models count alike.
	Demand func() map[string]uint64
	// LoadTimeout bounds one order. Default DefaultLoadTimeout.
	LoadTimeout time.Duration
	Clock       monotonic.Clock
	Log         *logrus.Entry
}

// Driver drives the waves of all models while its process leads.
type Driver struct {
	config Config
	counts *counts
	kick   chan struct{} // capacity 1: look at once
	done   chan loaded
	freed  chan *load // those that are over by the time that loads take
	looked chan namedVersions
	orders sync.WaitGroup

	right atomic.Uint64 // the fencing token under which this process may order; 0: none

	known atomic.Pointer[Serving] // nil while this process does not lead, or has not asked the replicas yet
	// surveyed is the leadership, by its number, in which the replicas were asked first.
	surveyed atomic.Uint64
	asking   atomic.Bool // a survey is under way

	mutex sync.Mutex
	// What follows is kept by instance, the text form of an incarnation: a replica that starts again begins with nothing.
	heard map[string][]registry.ModelVersion
	told  map[string]bool          // instances that spoke of themselves under this leadership
	asked map[string]time.Duration // when an instance was surveyed under it

	// What follows belongs to Run.
	tenure     uint64 // number of this leadership or, while there is none, of the next one; from 1
	token      uint64 // 0 while no orders may be sent
	takeover   takeover
	unanswered acquisition
	planners   map[string]*wave.Planner
	queue      []queued
	places     int                          // replicas that may load at once
	busy       map[string]string            // the model of the order on its way, by replica
	holding    map[string]*load             // the orders that take a place, by replica
	underWay   map[string]*load             // the orders that have not ended, by replica
	loads      loadTimes                    // of the last loads
	loaded     map[served]uint64            // versions that orders of this leader brought
	serving    map[string]map[string]uint64 // by model and replica, as far as is known

	surveying bool          // the replicas were asked under this leadership
	looking   bool          // for named versions
	lookNext  bool          // once more after that
	restUntil time.Duration // when the next turn may plan again
}

// served names a model at a replica.
type served struct{ replica, model string }

// queued is an order that waits for a place.
type queued struct {
	model string
	order wave.Order
}

// loaded is the end of an order.
type loaded struct {
	queued
	token   uint64
	serving uint64
	err     error
	took    time.Duration
	// loading is the time from the acceptance until the replica told that it serves the version; 0 where it wasn't watched.
	loading time.Duration
}

func (d *Driver) logEnded(ended *loaded) {
	d.counts.ended(ended.err, ended.took)
	logging.Emit(d.config.Log, &events.OrderEnded{Replica: ended.order.Replica, Model: ended.model, Version: ended.order.Version.Number,
		Token: ended.token, Serving: ended.serving, Cause: events.ErrorText(ended.err), TookMs: events.Millis(ended.took)})
}

// NewDriver returns a driver; Run makes it work.
func NewDriver(config Config) (*Driver, error) {
	if config.Control == nil || config.Sender == nil || config.View == nil || config.Leading == nil || config.Owner == "" {
		return nil, trace.BadParameter("a weights driver needs control, sender, view, leading and owner")
	}
	if config.LoadsTogether <= 0 {
		config.LoadsTogether = DefaultLoadsTogether
	}
	if config.LoadsShare <= 0 {
		config.LoadsShare = DefaultLoadsShare
	}
	if config.Poll <= 0 {
		config.Poll = DefaultPoll
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
	return &Driver{config: config, counts: newCounts(), tenure: 1, kick: make(chan struct{}, 1), done: make(chan loaded, maximumPlaces),
		freed: make(chan *load, maximumPlaces), looked: make(chan namedVersions, 1), places: config.LoadsTogether,
		heard: map[string][]registry.ModelVersion{}, told: map[string]bool{}, asked: map[string]time.Duration{}, busy: map[string]string{}, holding: map[string]*load{}, underWay: map[string]*load{}, loaded: map[served]uint64{}}, nil
}

// Right tells whether this process holds the right to order at this instant, and under which fencing token. Whatever else only
// one process may do for the deployment goes by the same right, so that one takeover settles all of it.
func (d *Driver) Right() (token uint64, held bool) {
	token = d.right.Load()
	return token, token != 0 && d.config.Leading()
}

// dropToken gives the right to order up.
func (d *Driver) dropToken() {
	d.right.Store(0)
	d.token, d.planners, d.queue, d.takeover = 0, nil, nil, takeover{}
}

// Heard notes what a replica serves. It is the registry's listener.
func (d *Driver) Heard(heartbeat *registry.Registration) {
	if len(heartbeat.Models) == 0 {
		return
	}
	d.learn(heartbeat.Incarnation().String(), heartbeat.Models)
}

// Look makes the driver look for named versions at once.
func (d *Driver) Look() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// Run drives the waves until ctx ends and every order under way has ended.
func (d *Driver) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.orders.Wait()
	defer cancel()
	ticker := time.NewTicker(d.config.Poll)
	defer ticker.Stop()
	rested := time.NewTimer(0)
	defer rested.Stop()
	look := true // for named versions, with the next turn
	for {
		select {
		case <-ctx.Done():
			return
		case ended := <-d.done:
			d.ended(ended)
		case over := <-d.freed:
			d.free(over)
		case named := <-d.looked:
			d.release(named)
			look = look || d.lookNext
		case <-d.kick:
			look = true
		case <-ticker.C:
			look = true
		case <-rested.C:
		}
		d.endedMeanwhile()
		if now := d.config.Clock(); now < d.restUntil {
			d.sendQueued(ctx)
			rested.Reset(d.restUntil - now)
			continue
		}
		d.counts.loading.Set(float64(len(d.holding)))
		d.counts.waiting.Set(float64(len(d.queue)))
		spent := d.turn(ctx, look)
		look = false
		d.restUntil = d.config.Clock() + min(restShare*spent, maximumRest)
	}
}

const (
	// restShare is how many times as long as a turn's own work the driver rests after it, so that planning for many
	// replicas takes a tenth of the processor; the work for a few replicas takes microseconds. Orders that are planned
	// already go out meanwhile: 26 places brought 26 loads a second while they waited for the rest
	// to end, and 28.4 since (counted in the log of one played day each).
	restShare   = 9
	maximumRest = 200 * time.Millisecond
)

// sendQueued starts planned orders where places are free, between two turns.
func (d *Driver) sendQueued(ctx context.Context) {
	if d.token == 0 || len(d.holding) >= d.places || len(d.queue) == 0 || !d.config.Leading() {
		return
	}
	if view := d.config.View(); view != nil && d.send(ctx, view) {
		d.publish()
	}
}

// endedMeanwhile takes the other orders and loads that have ended, so that loads that end together are planned for once.
func (d *Driver) endedMeanwhile() {
	for {
		select {
		case ended := <-d.done:
			d.ended(ended)
		case over := <-d.freed:
			d.free(over)
		default:
			return
		}
	}
}

// send starts queued orders while there are places, and reports whether it started any.
func (d *Driver) send(ctx context.Context, view *table.View) (started bool) {
	supplies := d.supplies()
	for d.sendNext(ctx, view, supplies) {
		started = true
	}
	return started
}

// sendNext starts the first queued order that has a place, and reports whether there was one.
func (d *Driver) sendNext(ctx context.Context, view *table.View, supplies map[string]supply) bool {
	d.arrange(supplies)
	waiting, started := d.queue[:0], false
	for _, next := range d.queue {
		planner := d.planners[next.model]
		row := view.Backend(next.order.Replica)
		switch {
		case row == nil || row.State != table.Active || planner.Target().Number != next.order.Version.Number:
			planner.Answered(d.config.Clock(), next.order.ID, wave.Answer{Outcome: wave.Failed})
		case started || len(d.holding) >= d.places || d.busy[row.Instance] != "":
			waiting = append(waiting, next)
		default:
			d.start(ctx, next, row)
			supplies[next.model] = supplies[next.model].withLoad()
			started = true
		}
	}
	d.queue = waiting
	return started
}

// ended takes the end of an order; of one that was sent under an earlier token only the place counts.
func (d *Driver) ended(ended loaded) {
	delete(d.busy, ended.order.Replica)
	delete(d.holding, ended.order.Replica)
	delete(d.underWay, ended.order.Replica)
	if ended.loading > 0 {
		d.loads.add(ended.loading)
	}
	d.logEnded(&ended)
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
		d.loaded[served{ended.order.Replica, ended.model}] = ended.serving
	} else {
		answer = wave.Answer{Outcome: wave.Failed}
	}
	d.planners[ended.model].Answered(d.config.Clock(), ended.order.ID, answer)
}
