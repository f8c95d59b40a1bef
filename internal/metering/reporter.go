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
	// pollInterval is the interval at which the reporter checks whether a window is due.
	pollInterval = 200 * time.Millisecond
	// controlTimeout limits a command or query to the control group, reportTimeout one report.
	controlTimeout = time.Second
	reportTimeout  = 2 * time.Second
	// initialBackoff and maximumBackoff bound the pause after a failed report, which doubles between them. Reports
	// have a price and share a rate limit.
	initialBackoff = 300 * time.Millisecond
	maximumBackoff = 2 * time.Second
	// settleShare is the share of the time until a report is due for which late counts are awaited. The rest is for
	// the report itself: a change of the reporting node takes up to 4.5 s, so that 6 s of 10 s leave time for
	// retries.
	settleShare = 0.4
)

// SettleTime returns how long after its end a window is sealed, if its report is due the given time after that end.
func SettleTime(due time.Duration) time.Duration {
	return time.Duration(float64(due) * settleShare)
}

// ErrSuperseded is returned by a Sender if another node has reported with a higher token.
var ErrSuperseded = errors.New("metering: another node reports")

// Sender hands the figures of a sealed window to their receiver. A nil error means that the receiver has the figures.
// After any error other than ErrSuperseded the receiver may have them.
type Sender interface {
	Report(ctx context.Context, token uint64, window *wire.UsageWindow) error
}

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	Control Control
	Sender  Sender
	// Right reports whether this node may act for the deployment at this instant, and under which fencing token.
	Right  func() (token uint64, held bool)
	Length time.Duration // length of a window
	Settle time.Duration // time from a window's end until it is sealed
	// Clock must include the time for which the machine is suspended, see FlusherConfig. Default monotonic.Now.
	Clock monotonic.Clock
	Log   *logrus.Entry
}

// Reporter seals windows and reports them while its node holds the right to.
type Reporter struct {
	config  ReporterConfig
	metrics *reporterMetrics

	// The fields below are used by Run only.
	clock        usage.SteadyClock
	firstWindow  uint64 // window of the first poll with the right to report; 0 before it
	token        uint64 // fencing token under which view was read
	refusedToken uint64 // highest token that the receiver rejected as superseded
	view         *wire.UsageView
	backoff      time.Duration // pause after the last report; 0 if that was successful
	nextReportAt time.Duration // when the next report may be sent, on Clock
}

// NewReporter returns a reporter. It seals and reports windows only while Run is running. It returns an error if a
// required field of the configuration is missing.
func NewReporter(config ReporterConfig) (*Reporter, error) {
	if config.Control == nil || config.Sender == nil || config.Right == nil || config.Length <= 0 {
		return nil, trace.BadParameter("reporter configuration: Control, Sender, Right and a Length above 0 are required")
	}
	if config.Log == nil {
		config.Log = logging.Discard()
	}
	if config.Clock == nil {
		config.Clock = monotonic.Now
	}
	return &Reporter{config: config, metrics: newReporterMetrics()}, nil
}

// Run seals and reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	pause.Every(ctx, pollInterval, r.poll)
}

// poll seals the windows that are due and reports the sealed ones.
func (r *Reporter) poll(ctx context.Context) {
	steady := r.clock.At(time.Now(), r.config.Clock())
	if !r.mayReport() {
		r.view = nil
		return
	}
	if r.view == nil && !r.readView(ctx) {
		return
	}
	if r.firstWindow == 0 {
		r.firstWindow = usage.WindowOf(steady, r.config.Length)
	}
	r.sealDue(ctx, steady)
	r.metrics.pending.Set(float64(len(r.view.GetPending())))
	for len(r.view.GetPending()) > 0 && r.config.Clock() >= r.nextReportAt && r.mayReport() {
		if !r.sendReport(ctx, r.view.GetPending()[0]) {
			return
		}
	}
}

// mayReport reports whether this node may report now, with a token that was not refused. It discards the state that
// belongs to an earlier token.
func (r *Reporter) mayReport() bool {
	token, held := r.config.Right()
	if !held || token <= r.refusedToken {
		return false
	}
	if token != r.token {
		r.token, r.view, r.backoff, r.nextReportAt = token, nil, 0, 0
	}
	return true
}

func (r *Reporter) readView(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	view, err := r.config.Control.Query(ctx, controlGroup, &wire.Query{Kind: &wire.Query_Usage{Usage: &wire.UsageQuery{}}})
	if err != nil || view.GetUsage() == nil {
		r.config.Log.WithError(err).Warn("failed to read the usage ledger from the control group")
		return false
	}
	r.view = view.GetUsage()
	return true
}

// sealDue seals the windows that ended at least Settle ago.
func (r *Reporter) sealDue(ctx context.Context, now time.Time) {
	open := usage.WindowOf(now.Add(-r.config.Settle), r.config.Length)
	first := r.firstUnsealed()
	if open == 0 || first >= open {
		return
	}
	result, err := r.execute(ctx, &wire.Command{Kind: &wire.Command_UsageSeal{UsageSeal: &wire.UsageSeal{First: first, Through: open - 1}}})
	if err != nil {
		r.config.Log.WithError(err).Warn("failed to seal usage windows")
		return
	}
	r.view = result
	for _, window := range result.GetPending() {
		if window.GetWindow() < first {
			continue
		}
		r.metrics.sealed.WithLabelValues().Inc()
		logging.Emit(r.config.Log, &events.UsageSealed{Window: window.GetWindow(), Tenants: len(window.GetCounts()), Requests: countRequests(window),
			AfterMs: events.Millis(now.Sub(usage.EndOf(window.GetWindow(), r.config.Length)))})
	}
}

// firstUnsealed returns the first window to be sealed. If none was sealed yet, this is the window of this node's
// first poll or an earlier one in which something was counted.
func (r *Reporter) firstUnsealed() uint64 {
	if next := r.view.GetNext(); next > 0 {
		return next
	}
	if oldest := r.view.GetOldest(); oldest > 0 {
		return min(oldest, r.firstWindow)
	}
	return r.firstWindow
}

// sendReport hands one window's figures over and reports whether they were accepted and the delivery was recorded.
func (r *Reporter) sendReport(ctx context.Context, window *wire.UsageWindow) bool {
	reportContext, cancel := context.WithTimeout(ctx, reportTimeout)
	began := time.Now()
	err := r.config.Sender.Report(reportContext, r.token, window)
	cancel()
	r.metrics.countReport(err)
	logging.Emit(r.config.Log, &events.UsageReported{Window: window.GetWindow(), Token: r.token, Requests: countRequests(window),
		Cause: events.ErrorText(err), TookMs: events.Millis(time.Since(began))})
	switch {
	case errors.Is(err, ErrSuperseded):
		r.refusedToken = r.token
		return false
	case err != nil:
		r.backoff = min(max(2*r.backoff, initialBackoff), maximumBackoff)
		r.nextReportAt = r.config.Clock() + r.backoff
		return false
	}
	r.backoff = 0
	result, err := r.execute(ctx, &wire.Command{Kind: &wire.Command_UsageDeliver{UsageDeliver: &wire.UsageDeliver{Window: window.GetWindow()}}})
	if err != nil {
		r.view = nil // forces another read; the window may be reported again, with the same figures
		return false
	}
	r.view = result
	return true
}

func (r *Reporter) execute(ctx context.Context, command *wire.Command) (*wire.UsageView, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	result, err := r.config.Control.Execute(ctx, controlGroup, command)
	switch {
	case err != nil:
		return nil, trace.Wrap(err)
	case result.GetUsage() == nil:
		return nil, trace.BadParameter("control group rejected the command: %s", result.GetInvalid())
	}
	return result.GetUsage(), nil
}

func countRequests(window *wire.UsageWindow) (requests uint64) {
	for _, count := range window.GetCounts() {
		requests += count.GetRequests()
	}
	return requests
}
