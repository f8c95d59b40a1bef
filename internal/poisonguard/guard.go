package poisonguard

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/batching"
	"github.com/tamarindring/tamarindring/internal/configure"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/recovery"
	"github.com/tamarindring/tamarindring/internal/table"
)

// Config holds the dependencies and settings of a Guard.
type Config struct {
	// Control reaches the leader of the control group. Required.
	Control configure.Control
	// Leading reports whether this process leads the control group. The leader removes outdated suspects. Nil means
	// that this process never leads.
	Leading  func() bool
	Settings poison.Settings
	// Recorded reports whether every process understands rows of suspects, so that they may be written into a table
	// that has none. Nil means that they may.
	Recorded func() bool
	// Operator is the author of changes in the table's history. Default "suspects".
	Operator string
	Clock    monotonic.Clock // default monotonic.Now
	Log      *logrus.Entry   // default: discarded
}

// Guard decides on the runs of one process. It is safe for concurrent use.
type Guard struct {
	config Config
	counts *counts
	queue  batching.Queue[*pendingStep]

	mutex       sync.Mutex // guards the fields below
	book        *poison.Book
	view        *table.View          // followed view; nil before the first
	suspectRuns map[string]int       // number of running suspects by the instance of their back end
	brokenRuns  []brokenRun          // oldest first
	postponed   []poison.StepRequest // steps to send again
	changed     chan struct{}        // closed and replaced whenever the book changes
}

// New returns a guard without suspects. Call Run to have it send postponed steps again.
func New(config Config) (*Guard, error) {
	if config.Control == nil {
		return nil, trace.BadParameter("a guard needs Config.Control")
	}
	if config.Operator == "" {
		config.Operator = "suspects"
	}
	if config.Clock == nil {
		config.Clock = monotonic.Now
	}
	if config.Log == nil {
		config.Log = logging.Discard()
	}
	guard := &Guard{config: config, counts: newCounts(), book: poison.NewBook(config.Settings), suspectRuns: map[string]int{},
		changed: make(chan struct{})}
	guard.queue.Take, guard.queue.Run = takeDistinct, guard.commit
	return guard, nil
}

// Collector returns the guard's metrics.
func (g *Guard) Collector() prometheus.Collector { return g.counts }

// Follow takes over a view of the table; an older or equal version has no effect. It is called by the control session.
func (g *Guard) Follow(view *table.View) {
	g.mutex.Lock()
	if g.view != nil && g.view.Version() >= view.Version() {
		g.mutex.Unlock()
		return
	}
	g.view = view
	now := g.config.Clock()
	g.book.Follow(now, poison.Records(view))
	g.counts.suspects.Set(float64(g.book.Len()))
	crashed := g.takeCrashed(now)
	g.notifyChanged()
	g.mutex.Unlock()
	for _, run := range crashed {
		go func() {
			_ = recovery.Do(g.config.Log, "", "record of a crash", func() { run.recordEnding(context.Background(), Crashed) })
		}()
	}
}

const (
	// retryInterval is the interval at which postponed steps are sent again.
	retryInterval = 500 * time.Millisecond
	// maximumPostponed bounds the postponed steps.
	maximumPostponed = 256
)

// Run sends postponed steps again until ctx ends. On the leader of the control group it also removes outdated suspects.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.sendPostponed(ctx)
			g.forgetOutdated(ctx)
		}
	}
}

func (g *Guard) sendPostponed(ctx context.Context) {
	g.mutex.Lock()
	postponed := g.postponed
	g.postponed = nil
	g.mutex.Unlock()
	for _, request := range postponed {
		g.deliver(ctx, request)
	}
}

func (g *Guard) forgetOutdated(ctx context.Context) {
	if g.config.Leading == nil || !g.config.Leading() {
		return
	}
	g.mutex.Lock()
	outdated := g.book.Outdated(g.config.Clock())
	g.mutex.Unlock()
	for _, record := range outdated {
		g.deliver(ctx, poison.StepRequest{Step: poison.Forget, Digest: record.Digest, Crashes: record.Crashes})
	}
}

// deliver sends a step to the record. A step that fails is postponed, and a report that the full record cannot hold is
// dropped.
func (g *Guard) deliver(ctx context.Context, request poison.StepRequest) {
	outcome, err := g.send(ctx, request)
	switch {
	case err != nil && request.Step != poison.Forget: // outdated suspects are determined again at each interval
		g.postpone(request)
	case err == nil && request.Step == poison.Report && !outcome.Done:
		g.drop(request)
	case err == nil && request.Step == poison.Report:
		g.noteRecorded(request)
	}
}

// noteRecorded notes that the control group has accepted the report of a crash.
func (g *Guard) noteRecorded(request poison.StepRequest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.book.Recorded(g.config.Clock(), request.Digest, request.Instance)
	g.notifyChanged()
}

// noteClaimSent notes that this process asks for a claim.
func (g *Guard) noteClaimSent(digest poison.Digest, name string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.book.ClaimSent(g.config.Clock(), digest, name)
}

// noteClaimEnded notes that no run of this process stands behind a claim any more.
func (g *Guard) noteClaimEnded(digest poison.Digest, name string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.book.ClaimEnded(digest, name)
	g.notifyChanged()
}

// postpone queues a step to be sent again by Run, or drops it if too many are queued.
func (g *Guard) postpone(request poison.StepRequest) {
	g.mutex.Lock()
	fits := len(g.postponed) < maximumPostponed
	if fits {
		g.postponed = append(g.postponed, request)
	}
	g.mutex.Unlock()
	if !fits {
		g.drop(request)
	}
}

// drop abandons a step that neither the record nor the queue can hold. A crash that is never recorded must not count in
// this process for ever.
func (g *Guard) drop(request poison.StepRequest) {
	g.counts.dropped.WithLabelValues(request.Step.String()).Inc()
	if request.Step != poison.Report {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.book.Lost(request.Digest, request.Instance)
	g.notifyChanged()
}
