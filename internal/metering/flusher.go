// Package metering runs the usage accounting of package usage. Gateways hand their counts to the control group
// (Flusher). The node that holds the right to report seals windows and reports them (Reporter). If another node takes
// over, it reports the same figures.
package metering

import (
	"context"
	"sync"
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
	// flushInterval is the interval at which new counts are handed over. It bounds the loss when a process is killed:
	// a fifth of a 5 s window at one of many gateways.
	flushInterval = time.Second
	// flushTimeout limits one hand-over.
	flushTimeout = 900 * time.Millisecond
)

// controlGroup is the consensus group whose ledger keeps the usage. It repeats the value in package state, which cannot
// be imported here because it imports this package.
const controlGroup uint32 = 0

// Control is the part of a control nodes' client that this package uses.
type Control interface {
	Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error)
	Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
}

// FlusherConfig configures a Flusher.
type FlusherConfig struct {
	Control Control
	// Reporter is a name for this run of this process, which no other run may share.
	Reporter string
	Length   time.Duration // length of a window
	// Clock must include the time for which the machine is suspended, as the time of day does. With a clock that does
	// not, windows would lag by the length of a suspension for a minute, until the time of day is adopted. Default
	// monotonic.Now.
	Clock monotonic.Clock
	// Now returns the time of day. Default time.Now.
	Now func() time.Time
	Log *logrus.Entry
}

// Flusher counts the requests that begin to run in a process, and hands the counts to the control group. It is safe
// for concurrent use.
type Flusher struct {
	config FlusherConfig

	mutex sync.Mutex // guards the fields below
	meter *usage.Meter
	clock usage.SteadyClock
}

// NewFlusher returns a flusher. It hands counts over only while Run is running or when Flush is called. It returns an
// error if a required field of the configuration is missing.
func NewFlusher(config FlusherConfig) (*Flusher, error) {
	if config.Control == nil || config.Reporter == "" || config.Length <= 0 {
		return nil, trace.BadParameter("flusher configuration: Control, Reporter and a Length above 0 are required")
	}
	if config.Log == nil {
		config.Log = logging.Discard()
	}
	if config.Clock == nil {
		config.Clock = monotonic.Now
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Flusher{config: config, meter: usage.NewMeter(config.Length)}, nil
}

// Count records that a request of a tenant began to run. at is the time on this process's clock.
func (f *Flusher) Count(tenant string, at time.Time) {
	if tenant == "" {
		return // anonymous requests are not reported to anybody
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.meter.Count(tenant, f.clock.At(at, f.config.Clock()-f.config.Now().Sub(at)))
}

// Run hands counts over periodically until ctx ends.
func (f *Flusher) Run(ctx context.Context) {
	pause.Every(ctx, flushInterval, f.Flush)
}

// Flush hands over the new counts. Counts that may not have arrived are sent again by the next Flush.
func (f *Flusher) Flush(ctx context.Context) {
	f.mutex.Lock()
	windows := f.meter.Unsent()
	f.mutex.Unlock()
	if len(windows) == 0 {
		return
	}
	next, err := f.sendCounts(ctx, windows)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err != nil {
		f.meter.Lost(windows)
		f.config.Log.WithError(err).Warn("failed to hand usage counts over to the control group, retrying")
		return
	}
	late := uint64(0)
	for _, window := range windows {
		if window.GetWindow() < next {
			late++
		}
	}
	if dropped := f.meter.Sealed(next); late > 0 || dropped > 0 {
		logging.Emit(f.config.Log, &events.UsageLate{Windows: late, Requests: dropped, Next: next})
	}
}

// sendCounts hands the counts over and returns the first window that is not sealed.
func (f *Flusher) sendCounts(ctx context.Context, windows []*wire.UsageWindow) (next uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	result, err := f.config.Control.Execute(ctx, controlGroup, &wire.Command{Kind: &wire.Command_UsageAdd{
		UsageAdd: &wire.UsageAdd{Reporter: f.config.Reporter, Windows: windows}}})
	switch {
	case err != nil:
		return 0, trace.Wrap(err)
	case result.GetUsage() == nil:
		return 0, trace.BadParameter("control group rejected the usage counts: %s", result.GetInvalid())
	}
	return result.GetUsage().GetNext(), nil
}
