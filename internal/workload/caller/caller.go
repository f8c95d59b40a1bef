package caller

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/workload"
)

// Caller generates load for gateways from a workload and records the outcome.
type Caller struct {
	config        Config
	client        *http.Client
	gatewayCursor atomic.Uint64
	inFlight      atomic.Int64
	recorder      *recorder

	randomMutex sync.Mutex
	random      *rand.Rand
}

// New returns a caller that has not started. It returns an error if config is invalid.
func New(config Config) (*Caller, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: config.MaxInFlight, MaxIdleConns: config.MaxInFlight, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true,
	}
	return &Caller{
		config: config, client: &http.Client{Transport: transport}, recorder: newRecorder(config),
		random: rand.New(rand.NewSource(config.Seed)),
	}, nil
}

// Run starts calls until ctx ends and then waits for the calls in flight, up to their deadlines. It always returns nil.
func (c *Caller) Run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	start := time.Now()
	c.recorder.start(start)
	var sources, calls sync.WaitGroup
	for _, generator := range c.config.Workload.Generators(c.config.Seed) {
		sources.Go(func() { c.runSource(ctx, start, generator, &calls) })
	}
	sources.Wait()
	c.recorder.finish(time.Now())
	calls.Wait()
	return nil
}

// Stats returns the statistics so far. It may be called while Run is active.
func (c *Caller) Stats() Stats { return c.recorder.stats() }

// Calls returns the completed non-repeatable calls, up to the first Config.KeepCalls.
func (c *Caller) Calls() []Call { return c.recorder.calls() }

// runSource starts the calls of one source at their intended times until ctx ends.
func (c *Caller) runSource(ctx context.Context, start time.Time, generator *workload.Generator, calls *sync.WaitGroup) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		call := generator.Next()
		intended := start.Add(call.At)
		timer.Reset(time.Until(intended))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		source := &c.config.Workload.Sources[call.Source]
		if c.inFlight.Load() >= int64(c.config.MaxInFlight) {
			c.recorder.recordUnsent(source)
			continue
		}
		c.inFlight.Add(1)
		calls.Go(func() {
			defer c.inFlight.Add(-1)
			c.performCall(ctx, source, call, intended)
		})
	}
}

// performCall sends one call until its outcome is known, its attempts are used up or its deadline has passed. It
// continues after ctx ends, because Run waits for the answers of calls in flight.
func (c *Caller) performCall(ctx context.Context, source *workload.Source, call workload.Call, intended time.Time) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), intended.Add(source.Deadline))
	defer cancel()
	prepared := prepareCall(source, call, c.config.Run)
	if source.Service == workload.ServiceApplication && c.randomFloat() < c.config.DoubleProbability {
		c.performCallTwice(ctx, prepared, intended)
		return
	}
	result := c.sendWithRetries(ctx, prepared)
	c.recorder.recordCall(prepared, result, intended)
}

// performCallTwice sends a call through two gateways concurrently with the same idempotency key and records the
// combined result.
func (c *Caller) performCallTwice(ctx context.Context, prepared *preparedCall, intended time.Time) {
	secondResult := make(chan result, 1)
	go func() { secondResult <- c.sendWithRetries(ctx, prepared) }()
	first := c.sendWithRetries(ctx, prepared)
	other := <-secondResult
	c.recorder.recordDoubled(prepared, first, other)
	c.recorder.recordCall(prepared, combineResults(first, other), intended)
}

// combineResults merges the results of two concurrent sends of one key. A rejection settles the key only for sends that
// had arrived by then, and the other send may still run. Therefore the combined verdict is DidNotRun only if both
// results have it.
func combineResults(first, second result) result {
	combined, other := first, second
	if certaintyRank(second.verdict) > certaintyRank(first.verdict) {
		combined, other = second, first
	}
	combined.attempts += other.attempts
	combined.brokenConnections += other.brokenConnections
	combined.trail = append(append([]Attempt{}, first.trail...), second.trail...)
	return combined
}

// certaintyRank orders verdicts about one key. Of two concurrent sends, the verdict with the higher rank applies to the
// key.
func certaintyRank(known verdict.Verdict) int {
	switch known {
	case verdict.Ran:
		return 2
	case verdict.MayHaveRun:
		return 1
	default:
		return 0
	}
}

// sendWithRetries sends a call, retrying as retryDelay decides, and returns the last result. The result includes the
// number of attempts and broken connections and, for a non-repeatable call, the trail of all attempts.
func (c *Caller) sendWithRetries(ctx context.Context, prepared *preparedCall) result {
	meanPause := c.config.RetryPause
	brokenConnections := 0
	var trail []Attempt
	for attempt := 1; ; attempt++ {
		gateway := c.nextGateway()
		last := c.sendAttempt(ctx, prepared, gateway)
		if prepared.key != "" {
			trail = append(trail, Attempt{Gateway: gateway, Ended: time.Now(), Verdict: last.verdict.String(), Detail: last.detail})
		}
		last.trail = trail
		if last.kind == resultLost && !last.notConnected {
			brokenConnections++
		}
		last.attempts, last.brokenConnections = attempt, brokenConnections
		delay, retry := c.retryDelay(prepared, last, attempt, meanPause)
		if !retry || pause.For(ctx, delay) != nil {
			return last
		}
		meanPause *= 2
	}
}

// retryDelay reports whether an attempt is retried, and the pause before the retry.
func (c *Caller) retryDelay(prepared *preparedCall, last result, attempt int, meanPause time.Duration) (time.Duration, bool) {
	if last.kind == resultAnswered || last.kind == resultWrong || attempt >= c.config.MaxAttempts {
		return 0, false
	}
	delay := time.Duration((0.5 + c.randomFloat()) * float64(meanPause))
	if last.kind == resultLost {
		return delay, true
	}
	if last.verdict == verdict.DidNotRun && asksForAnotherGateway(last.code) {
		return delay, true // Retry-After applies only to the gateway that rejected the call
	}
	if !c.config.RetryRefused || last.verdict != verdict.DidNotRun || prepared.key != "" || last.retryAfter == 0 {
		return 0, false
	}
	return max(delay, last.retryAfter), true
}

// asksForAnotherGateway reports whether the error code of a rejection asks for the same call at another gateway. The
// gateway is shutting down, has lost contact with the control nodes, or rejected the key earlier and that rejection is
// not known everywhere yet.
func asksForAnotherGateway(code string) bool {
	return code == "draining" || code == "lease_lapsed" || code == "refused_earlier"
}

func (c *Caller) nextGateway() string {
	addresses := c.config.Gateways()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[c.gatewayCursor.Add(1)%uint64(len(addresses))]
}

func (c *Caller) randomFloat() float64 {
	c.randomMutex.Lock()
	defer c.randomMutex.Unlock()
	return c.random.Float64()
}
