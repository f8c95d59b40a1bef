// Package metering is the runtime of usage: gateways hand their counts to the control group (Flusher), and the node that holds the
// right to seals windows and reports them (Reporter). Whoever reports later reports the same figures.
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
	// flushInterval is how often counts are handed over where there are new ones, and so the most that a killed process
	// loses: a fifth of a window of 5 s at one of many gateways.
	flushInterval = time.Second
	// flushTime bounds one hand-over.
	flushTime = 900 * time.Millisecond
)

// controlGroup is the consensus group whose ledger keeps the usage, as package state has it, which imports this one.
const controlGroup uint32 = 0

// Control is what this package needs of a client of the control nodes.
type Control interface {
	Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error)
	Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
}

// FlusherConfig says what a Flusher works with.
type FlusherConfig struct {
	Control Control
	// Reporter names this life of this process; no other one has its name.
	Reporter string
	Length   time.Duration // of a window
	// Clock counts the time that the machine is suspended, as the time of day does: on one that does not, windows fell behind by a
	// suspension for a minute, until the time of day was believed. Default monotonic.Now.
	Clock monotonic.Clock
	// Now is the time of day. Default time.Now.
	Now func() time.Time
	Log *logrus.Entry
}

// Flusher counts what a process sees begin to run, and hands the counts to the control group. It is safe for concurrent use.
type Flusher struct {
	config FlusherConfig

	mutex sync.Mutex // guards what follows
	meter *usage.Meter
	clock usage.Steady
}

// NewFlusher returns a flusher; Run makes it hand counts over.
func NewFlusher(config FlusherConfig) (*Flusher, error) {
	if config.Control == nil || config.Reporter == "" || config.Length <= 0 {
		return nil, trace.BadParameter("a flusher needs control, a reporter's name and the windows' length")
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

// Count notes that a request of a tenant began to run; at is this process's clock.
func (f *Flusher) Count(tenant string, at time.Time) {
	if tenant == "" {
		return // nobody is told of anonymous use
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.meter.Count(tenant, f.clock.At(at, f.config.Clock()-f.config.Now().Sub(at)))
}

// Run hands counts over until ctx ends.
func (f *Flusher) Run(ctx context.Context) {
	pause.Every(ctx, flushInterval, f.Flush)
}

// Flush hands over what is new. What may not have arrived goes again with the next one.
func (f *Flusher) Flush(ctx context.Context) {
	f.mutex.Lock()
	windows := f.meter.Unsent()
	f.mutex.Unlock()
	if len(windows) == 0 {
		return
	}
	next, err := f.add(ctx, windows)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err != nil {
		f.meter.Lost(windows)
		f.config.Log.WithError(err).Warn("usage counts could not be handed over")
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

// add returns the first window that was not sealed.
func (f *Flusher) add(ctx context.Context, windows []*wire.UsageWindow) (next uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	result, err := f.config.Control.Execute(ctx, controlGroup, &wire.Command{Kind: &wire.Command_UsageAdd{
		UsageAdd: &wire.UsageAdd{Reporter: f.config.Reporter, Windows: windows}}})
	switch {
	case err != nil:
		return 0, trace.Wrap(err)
	case result.GetUsage() == nil:
		return 0, trace.BadParameter("the counts can't be taken: %s", result.GetInvalid())
	}
	return result.GetUsage().GetNext(), nil
}
