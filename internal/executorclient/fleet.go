// Package executorclient is the leader's side of package executor: it has the items of batch jobs run by executors near
// the replicas. A Fleet keeps a stream to each executor for one term. Executor.Do has one run carried out by an
// executor and delivers the answer as if it came directly from the replica.
//
// A run survives the loss of its leader: the Fleet of the next leader finds it as Held. A run is stopped only if its
// context ends with the cause ErrStop.
package executorclient

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

var (
	// ErrStop, as the cause with which the context of a run ends, has the executor stop the run. With any other cause
	// the run continues without this leader.
	ErrStop = errors.New("executorclient: the run is to end")
	// ErrLost: the executor is no longer reachable.
	ErrLost = errors.New("executorclient: the executor is lost")
)

// Peer is an executor as listed in the membership of the deployment.
type Peer struct {
	Name    string
	Address string // IP:port of its listener
	Zone    string
}

// Config configures a Fleet. Peers is required; other zero fields take their defaults.
type Config struct {
	Term   uint64 // term of the leader, sent with each stream
	Leader string // name of this node in the membership
	// Peers returns the current executors.
	Peers func() []Peer
	// LastNumber holds the number that was last assigned to a stream or an order. All Fleets of one process share it,
	// because a node may lead twice in the same term and executors reject numbers that don't increase. Default: a new
	// counter.
	LastNumber *atomic.Uint64
	// OnIgnoredReport is called for each report about a run that is not followed. It must not block. Default: no call.
	OnIgnoredReport func()
	// Dial opens a connection to an executor. Default: plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock is the time source. Default: monotonic.Now.
	Clock monotonic.Clock
	// Log receives the events. Default: they are discarded.
	Log *logrus.Entry
}

// membersInterval is the interval at which the membership is checked for new and removed executors.
const membersInterval = 100 * time.Millisecond

// Fleet manages the streams of one leader to all executors. It is safe for concurrent use.
type Fleet struct {
	config   Config
	routines sync.WaitGroup

	mutex sync.Mutex // guards the fields below
	links map[Peer]*link
	held  []Held // runs found at executors on their first stream, until TakeHeld
}

// New returns a Fleet without streams; Run opens them. It returns trace.BadParameter if Peers is missing.
func New(config Config) (*Fleet, error) {
	if config.Peers == nil {
		return nil, trace.BadParameter("executorclient: Config.Peers is required")
	}
	if config.Dial == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if config.LastNumber == nil {
		config.LastNumber = &atomic.Uint64{}
	}
	if config.OnIgnoredReport == nil {
		config.OnIgnoredReport = func() {}
	}
	if config.Clock == nil {
		config.Clock = monotonic.Now
	}
	if config.Log == nil {
		config.Log = logging.Discard()
	}
	return &Fleet{config: config, links: map[Peer]*link{}}, nil
}

// Run keeps a stream open to each executor until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	f.updateLinks(ctx)
	pause.Every(ctx, membersInterval, f.updateLinks)
	f.routines.Wait()
}

// updateLinks opens links to new executors and closes those to executors that have left the membership.
func (f *Fleet) updateLinks(ctx context.Context) {
	peers := f.config.Peers()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for peer, open := range f.links {
		if !slices.Contains(peers, peer) {
			open.cancel()
			delete(f.links, peer)
		}
	}
	for _, peer := range peers {
		if f.links[peer] != nil {
			continue
		}
		linked, cancel := context.WithCancel(ctx)
		opened := newLink(f, peer, cancel)
		f.links[peer] = opened
		f.routines.Go(func() { opened.run(linked) })
	}
}

// IsSurveyed reports whether each current executor has either listed the runs that it holds or could not be reached.
func (f *Fleet) IsSurveyed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, peer := range f.config.Peers() {
		if open := f.links[peer]; open == nil || !open.surveyed.Load() {
			return false
		}
	}
	return true
}

// CountUsable returns the number of executors that accept new runs now.
func (f *Fleet) CountUsable() (count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, open := range f.links {
		if open.isUsable() {
			count++
		}
	}
	return count
}

// Held is a run that an executor holds and that an earlier leader ordered.
type Held struct {
	*wire.HeldRun
	link *link
}

// Executor returns the executor that holds the run.
func (h Held) Executor() *Executor { return &Executor{link: h.link} }

// Stop has the executor stop the run. It does not wait for it.
func (h Held) Stop() {
	h.link.order(stopOrder(h.GetKey(), orderOf(h.HeldRun)))
}

// TakeHeld returns the runs found at executors since the last call. Of several runs of one item, those in progress or
// complete come before those that broke off, and newer orders before older ones.
func (f *Fleet) TakeHeld() []Held {
	f.mutex.Lock()
	held := f.held
	f.held = nil
	f.mutex.Unlock()
	slices.SortStableFunc(held, func(a, b Held) int { return b.compare(a) })
	return held
}

// compare returns a positive number if h is to be preferred to other, another run of the same item: a run in progress
// or complete is preferred to one that broke off, and then the newer order.
func (h Held) compare(other Held) int {
	rank := func(held Held) int {
		if held.GetEnded() && !held.GetWhole() {
			return 0
		}
		return 1
	}
	switch {
	case rank(h) != rank(other):
		return rank(h) - rank(other)
	case h.GetTerm() != other.GetTerm():
		return compareUnequal(h.GetTerm(), other.GetTerm())
	}
	return compareUnequal(h.GetNumber(), other.GetNumber())
}

// compareUnequal compares two different numbers: -1 if a is less than b, else 1.
func compareUnequal(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

// addHeld adds runs for TakeHeld.
func (f *Fleet) addHeld(held []Held) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.held = append(f.held, held...)
}

// hello returns the first order of a new stream. Each call assigns a new number.
func (f *Fleet) hello() *wire.RunHello {
	return &wire.RunHello{Term: f.config.Term, Leader: f.config.Leader, Number: f.config.LastNumber.Add(1), Protocol: executor.Protocol}
}

// Executor is a handle to an executor to which runs can be ordered.
type Executor struct{ link *link }

// Name returns the name of the executor in the membership.
func (e *Executor) Name() string { return e.link.peer.Name }

// LastReportAt returns the time of the executor's last report, by the fleet's clock; 0 if there was none. The state of
// a run is known only up to that time: a run without progress by then had made none, and what it did since is unknown.
func (e *Executor) LastReportAt() time.Duration {
	e.link.mutex.Lock()
	defer e.link.mutex.Unlock()
	return e.link.lastReportAt
}

// ChooseExecutor returns the executor that is to drive a run at the given replica; see choose. It returns nil if there
// is none, and the caller then drives the run itself.
func (f *Fleet) ChooseExecutor(zone, instance string) *Executor {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	usable := make([]Peer, 0, len(f.links))
	for peer, open := range f.links {
		if open.isUsable() {
			usable = append(usable, peer)
		}
	}
	chosen, found := choose(usable, f.config.Leader, zone, instance)
	if !found {
		return nil
	}
	return &Executor{link: f.links[chosen]}
}
