package metering

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/usage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// lookInterval is how often the reporter looks whether a window is due.
	lookInterval = 200 * time.Millisecond
	// controlTime bounds a command or question to the control group, and reportTime one report.
	controlTime = time.Second
	reportTime  = 2 * time.Second
	// firstRetry and lastRetry bound the pause after a report that was not taken; it doubles between them. Reports have a
	// price and a common rate.
	firstRetry = 300 * time.Millisecond
	lastRetry  = 2 * time.Second
	// settleShare is the part of the time until a report is due that late counts are waited for. What is left is for the
	// report itself: a change of the node that reports takes up to 4.5 s, of which 6 s of 10 s leave room for retries.
	settleShare = 0.4
)

// SettleTime is how long after its end a window is sealed, where its report is due some time after that end.
func SettleTime(due time.Duration) time.Duration {
	return time.Duration(float64(due) * settleShare)
}

// ErrSuperseded is returned by Sender when another node has reported with a higher token.
var ErrSuperseded = errors.New("metering: another node reports")

// Sender hands a sealed window's figures to their receiver. nil: it has them. An error other than ErrSuperseded says that it
// may have them.
type Sender interface {
	Report(ctx context.Context, token uint64, window *wire.UsageWindow) error
}

// ReporterConfig says what a Reporter works with.
type ReporterConfig struct {
	Control Control
	Sender  Sender
	// Right says whether this node may act for the deployment at this instant, and under which fencing token.
	Right  func() (token uint64, held bool)
	Length time.Duration // of a window
	Settle time.Duration // from a window's end until it is sealed
	// Clock counts the time that the machine is suspended, see FlusherConfig. Default monotonic.Now.
	Clock monotonic.Clock
	Log   *logrus.Entry
}

// Reporter seals windows and reports them while its node holds the right to.
type Reporter struct {
	config ReporterConfig
	counts *reporterCounts

	// What follows belongs to Run.
	clock   usage.Steady
	began   uint64 // window of the first look under a right
	token   uint64 // that view was read under
	refused uint64 // highest token that the receiver refused
	view    *wire.UsageView
	pause   time.Duration // after the last report that was not taken; 0: it was
	resume  time.Duration // when the next report may go, on Clock
}

// NewReporter returns a reporter; Run makes it work.
func NewReporter(config ReporterConfig) (*Reporter, error) {
	if config.Control == nil || config.Sender == nil || config.Right == nil || config.Length <= 0 {
		return nil, trace.BadParameter("a reporter needs control, sender, right and the windows' length")
	}
	if config.Log == nil {
		config.Log = logging.Discard()
	}
	if config.Clock == nil {
		config.Clock = monotonic.Now
	}
	return &Reporter{config: config, counts: newReporterCounts()}, nil
}

// Run works until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	pause.Every(ctx, lookInterval, r.turn)
}

// turn seals what is due and reports what is sealed.
func (r *Reporter) turn(ctx context.Context) {
	steady := r.clock.At(time.Now(), r.config.Clock())
	if !r.holds() {
		r.view = nil
		return
	}
	if r.view == nil && !r.read(ctx) {
		return
	}
	if r.began == 0 {
		r.began = usage.WindowOf(steady, r.config.Length)
	}
	r.seal(ctx, steady)
	r.counts.pending.Set(float64(len(r.view.GetPending())))
	for len(r.view.GetPending()) > 0 && r.config.Clock() >= r.resume && r.holds() {
		if !r.report(ctx, r.view.GetPending()[0]) {
			return
		}
	}
}

// holds tells whether this node may report now, with a token that was not refused.
func (r *Reporter) holds() bool {
	token, held := r.config.Right()
	if !held || token <= r.refused {
		return false
	}
	if token != r.token {
		r.token, r.view, r.pause, r.resume = token, nil, 0, 0
	}
	return true
}

func (r *Reporter) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTime)
	defer cancel()
	view, err := r.config.Control.Query(ctx, controlGroup, &wire.Query{Kind: &wire.Query_Usage{Usage: &wire.UsageQuery{}}})
	if err != nil || view.GetUsage() == nil {
		r.config.Log.WithError(err).Warn("the usage could not be read")
		return false
	}
	r.view = view.GetUsage()
	return true
}

// seal seals the windows that ended long enough ago.
func (r *Reporter) seal(ctx context.Context, now time.Time) {
	open := usage.WindowOf(now.Add(-r.config.Settle), r.config.Length)
	first := r.first()
	if open == 0 || first >= open {
		return
	}
	result, err := r.execute(ctx, &wire.Command{Kind: &wire.Command_UsageSeal{UsageSeal: &wire.UsageSeal{First: first, Through: open - 1}}})
	if err != nil {
		r.config.Log.WithError(err).Warn("a usage window could not be sealed")
		return
	}
	r.view = result
	for _, window := range result.GetPending() {
		if window.GetWindow() < first {
			continue
		}
		r.counts.sealed.WithLabelValues().Inc()
		logging.Emit(r.config.Log, &events.UsageSealed{Window: window.GetWindow(), Tenants: len(window.GetCounts()), Requests: requestsOf(window),
			AfterMs: events.Millis(now.Sub(usage.EndOf(window.GetWindow(), r.config.Length)))})
	}
}

// first is the first window to be sealed. Where none is, it is the one of this node's first look, or an earlier one in which
// something was counted.
func (r *Reporter) first() uint64 {
	if next := r.view.GetNext(); next > 0 {
		return next
	}
	if oldest := r.view.GetOldest(); oldest > 0 {
		return min(oldest, r.began)
	}
	return r.began
}

// report hands one window's figures over and reports whether they were taken.
func (r *Reporter) report(ctx context.Context, window *wire.UsageWindow) bool {
	limited, cancel := context.WithTimeout(ctx, reportTime)
	began := time.Now()
	err := r.config.Sender.Report(limited, r.token, window)
	cancel()
	r.counts.reported(err)
	logging.Emit(r.config.Log, &events.UsageReported{Window: window.GetWindow(), Token: r.token, Requests: requestsOf(window),
		Cause: events.ErrorText(err), TookMs: events.Millis(time.Since(began))})
	switch {
	case errors.Is(err, ErrSuperseded):
		r.refused = r.token
		return false
	case err != nil:
		r.pause = min(max(2*r.pause, firstRetry), lastRetry)
		r.resume = r.config.Clock() + r.pause
		return false
	}
	r.pause = 0
	result, err := r.execute(ctx, &wire.Command{Kind: &wire.Command_UsageDeliver{UsageDeliver: &wire.UsageDeliver{Window: window.GetWindow()}}})
	if err != nil {
		r.view = nil // read again: the window may be reported once more, with the same figures
		return false
	}
	r.view = result
	return true
}

func (r *Reporter) execute(ctx context.Context, command *wire.Command) (*wire.UsageView, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTime)
	defer cancel()
	result, err := r.config.Control.Execute(ctx, controlGroup, command)
	switch {
	case err != nil:
		return nil, trace.Wrap(err)
	case result.GetUsage() == nil:
		return nil, trace.BadParameter("not taken: %s", result.GetInvalid())
	}
	return result.GetUsage(), nil
}

func requestsOf(window *wire.UsageWindow) (requests uint64) {
	for _, count := range window.GetCounts() {
		requests += count.GetRequests()
	}
	return requests
}
