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

// Caller drives gateways with a workload.
type Caller struct {
	config   Config
	client   *http.Client
	turn     atomic.Uint64
	inFlight atomic.Int64
	record   *recorder

	randomMutex sync.Mutex
	random      *rand.Rand
}

// New returns a caller that has not started.
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
		config: config, client: &http.Client{Transport: transport}, record: newRecorder(config),
		random: rand.New(rand.NewSource(config.Seed)),
	}, nil
}

// Run starts calls until ctx ends, then waits for those in flight, up to their deadlines.
func (c *Caller) Run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	start := time.Now()
	c.record.begin(start)
	var sources, calls sync.WaitGroup
	for _, generator := range c.config.Workload.Generators(c.config.Seed) {
		sources.Go(func() { c.drive(ctx, start, generator, &calls) })
	}
	sources.Wait()
	c.record.finish(time.Now())
	calls.Wait()
	return nil
}

// Stats returns the account so far.
func (c *Caller) Stats() Stats { return c.record.stats() }

// Calls returns the remembered non-repeatable calls that are over.
func (c *Caller) Calls() []Call { return c.record.calls() }

// drive starts one source's calls at their times.
func (c *Caller) drive(ctx context.Context, start time.Time, generator *workload.Generator, calls *sync.WaitGroup) {
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
			c.record.unsent(source)
			continue
		}
		c.inFlight.Add(1)
		calls.Go(func() {
			defer c.inFlight.Add(-1)
			c.perform(ctx, source, call, intended)
		})
	}
}

// perform sends one call until its fate is known, its attempts are used up or its deadline has passed. It
// outlives ctx: a planned end waits for the answers.
func (c *Caller) perform(ctx context.Context, source *workload.Source, call workload.Call, intended time.Time) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), intended.Add(source.Deadline))
	defer cancel()
	prepared := prepare(source, call, c.config.Run)
	if source.Service == workload.ServiceApplication && c.draw() < c.config.DoubleProbability {
		c.performTwice(ctx, prepared, intended)
		return
	}
	result := c.attempts(ctx, prepared)
	c.record.done(prepared, result, intended)
}

// performTwice sends one key through two gateways at once and records the more certain result.
func (c *Caller) performTwice(ctx context.Context, prepared *preparedCall, intended time.Time) {
	second := make(chan result, 1)
	go func() { second <- c.attempts(ctx, prepared) }()
	first := c.attempts(ctx, prepared)
	other := <-second
	c.record.doubled(prepared, first, other)
	c.record.done(prepared, combine(first, other), intended)
}

// combine is what a caller knows of a key that it sent twice at once. A refusal settles the key only for what
// had arrived by then, so the key did not run only if both were told so.
func combine(first, second result) result {
	kept, dropped := first, second
	if certainty(second.verdict) > certainty(first.verdict) {
		kept, dropped = second, first
	}
	kept.attempts += dropped.attempts
	kept.cuts += dropped.cuts
	kept.trail = append(append([]Attempt{}, first.trail...), second.trail...)
	return kept
}

// certainty orders verdicts by which of two answers about one key is the key's own.
func certainty(known verdict.Verdict) int {
	switch known {
	case verdict.Ran:
		return 2
	case verdict.MayHaveRun:
		return 1
	default:
		return 0
	}
}

// attempts repeats a call while its answer is lost.
func (c *Caller) attempts(ctx context.Context, prepared *preparedCall) result {
	mean := c.config.RetryPause
	cuts := 0
	var trail []Attempt
	for attempt := 1; ; attempt++ {
		gateway := c.gateway()
		last := c.attempt(ctx, prepared, gateway)
		if prepared.key != "" {
			trail = append(trail, Attempt{Gateway: gateway, Ended: time.Now(), Verdict: last.verdict.String(), Detail: last.detail})
		}
		last.trail = trail
		if last.kind == lost && !last.unreached {
			cuts++
		}
		last.attempts, last.cuts = attempt, cuts
		wait, again := c.retry(prepared, last, attempt, mean)
		if !again || pause.For(ctx, wait) != nil {
			return last
		}
		mean *= 2
	}
}

// retry decides whether an attempt is repeated, and after which wait.
func (c *Caller) retry(prepared *preparedCall, last result, attempt int, mean time.Duration) (time.Duration, bool) {
	if last.kind == answered || last.kind == wrong || attempt >= c.config.MaxAttempts {
		return 0, false
	}
	wait := time.Duration((0.5 + c.draw()) * float64(mean))
	if last.kind == lost {
		return wait, true
	}
	if last.verdict == verdict.DidNotRun && sendsElsewhere(last.code) {
		return wait, true // Retry-After is about the gateway that refused
	}
	if !c.config.RetryRefused || last.verdict != verdict.DidNotRun || prepared.key != "" || last.retryAfter == 0 {
		return 0, false
	}
	return max(wait, last.retryAfter), true
}

// sendsElsewhere tells whether a refusal asks for the same call at another gateway: one that stops by plan
// or has lost touch with the control nodes, or one whose knowledge of the key's refusal there was still on its way.
func sendsElsewhere(code string) bool {
	return code == "draining" || code == "lease_lapsed" || code == "refused_earlier"
}

func (c *Caller) gateway() string {
	addresses := c.config.Gateways()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[c.turn.Add(1)%uint64(len(addresses))]
}

func (c *Caller) draw() float64 {
	c.randomMutex.Lock()
	defer c.randomMutex.Unlock()
	return c.random.Float64()
}
