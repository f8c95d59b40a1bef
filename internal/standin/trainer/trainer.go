package trainer

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/pause"
)

const (
	retryPause    = 100 * time.Millisecond // before the first retry; doubled for each further one
	maxRetryPause = 2 * time.Second
)

// Trainer is one trainer stand-in. Only Run changes the fields without a lock; Stats and Finish can be called
// concurrently.
type Trainer struct {
	config      Config
	client      *http.Client
	random      *rand.Rand
	nextAddress int // index of the coordinator for the next call, modulo their number

	cursor     uint64 // number of the last batch received
	lastFetch  uint64 // number of the last fetch; higher than any number used before a restart
	version    uint64 // number of the weight version that the next training starts from
	lastOpened uint64 // number of the last step opened

	finishing atomic.Bool // set by Finish: no further step is opened

	mutex  sync.Mutex
	ledger ledger // guarded by mutex
}

// New returns a trainer that does nothing before Run, or an error if a required field of config is missing.
func New(config Config) (*Trainer, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Trainer{
		config: config, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}},
		random: rand.New(rand.NewSource(int64(config.Seed))), version: config.InitialVersionNumber, ledger: newLedger(),
	}, nil
}

// errFinished reports that a step was not opened because Finish was called.
var errFinished = errors.New("no further step is opened")

// Finish makes Run open no further steps and return after the last open one.
func (t *Trainer) Finish() { t.finishing.Store(true) }

// Run trains until ctx ends, MaxSteps steps are done, or, after Finish, the open steps are done. It returns an error if
// a coordinator or the weight store rejects a call permanently, or if ctx ends during the final acknowledgement.
func (t *Trainer) Run(ctx context.Context) error {
	defer t.client.CloseIdleConnections()
	t.markStarted(time.Now())
	defer t.markEnded()
	for step := uint64(1); t.config.MaxSteps == 0 || step <= t.config.MaxSteps; step++ {
		if err := t.runStep(ctx, step); err != nil {
			if errors.Is(err, errFinished) {
				break
			}
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
	return t.acknowledgeLast(ctx)
}

// runStep opens a step if needed, collects its samples, opens the steps ahead, trains and publishes a version.
func (t *Trainer) runStep(ctx context.Context, step uint64) error {
	if err := t.openUpTo(ctx, step); err != nil {
		return err
	}
	if t.lastOpened < step {
		return errFinished
	}
	if err := t.collect(ctx, step); err != nil {
		return err
	}
	if err := t.openUpTo(ctx, step+uint64(t.config.StepsAhead)); err != nil {
		return err
	}
	if err := t.train(ctx); err != nil {
		return err
	}
	return t.publish(ctx)
}

// openUpTo opens the steps up to last that are not open yet, unless Finish was called.
func (t *Trainer) openUpTo(ctx context.Context, last uint64) error {
	if t.config.MaxSteps > 0 {
		last = min(last, t.config.MaxSteps)
	}
	for t.lastOpened < last && !t.finishing.Load() {
		step := t.lastOpened + 1
		body := stepBody{Pool: t.config.Pool, SamplesPerPrompt: t.config.SamplesPerPrompt}
		for index := range t.config.PromptsPerStep {
			body.Prompts = append(body.Prompts, Prompt{
				ID: fmt.Sprintf("p%d", index), Text: t.config.Prompt(step, index), MaxTokens: t.config.MaxTokens,
			})
		}
		if err := t.callCoordinator(ctx, http.MethodPut, t.path(fmt.Sprintf("/steps/%d", step)), body, nil, 0); err != nil {
			return err
		}
		t.lastOpened = step
		t.recordOpened(step, body)
	}
	return nil
}

// collect fetches until all samples of the step are received. The time it takes counts as idle time.
func (t *Trainer) collect(ctx context.Context, step uint64) error {
	began := time.Now()
	t.startIdle(began)
	defer func() { t.endIdle(time.Now()) }()
	for !t.isComplete(step) {
		if err := t.fetch(ctx); err != nil {
			return err
		}
	}
	return nil
}

// fetch receives one batch, or none if the coordinator has no samples in time. It discards replies at random and
// fetches the same batch again.
func (t *Trainer) fetch(ctx context.Context) error {
	body := &fetchBody{
		Cursor: t.cursor + 1, Acknowledge: t.cursor, TrainerVersion: t.version, MaxSamples: t.config.MaxSamples,
		WaitMillis: t.config.FetchWait.Milliseconds(), WholeStep: t.config.WholeStep,
	}
	var lost *fetchReply
	for {
		var reply fetchReply
		if err := t.callCoordinator(ctx, http.MethodPost, t.path("/fetch"), body, &reply, t.config.FetchWait); err != nil {
			return err
		}
		if reply.Cursor == 0 {
			return nil
		}
		if reply.Cursor != body.Cursor {
			t.recordViolation(ViolationCursor, "", fmt.Sprintf("asked for batch %d, got %d", body.Cursor, reply.Cursor))
		}
		if lost != nil {
			t.compareRefetch(lost, &reply)
		}
		if t.random.Float64() < t.config.LoseReplyProbability {
			lost = &reply
			t.countLost()
			continue
		}
		t.cursor = reply.Cursor
		t.receive(&reply)
		return nil
	}
}

// acknowledgeLast acknowledges the last batch to the coordinator.
func (t *Trainer) acknowledgeLast(ctx context.Context) error {
	if t.cursor == 0 {
		return nil
	}
	var reply fetchReply
	body := &fetchBody{Cursor: t.cursor + 1, Acknowledge: t.cursor, TrainerVersion: t.version}
	if err := t.callCoordinator(ctx, http.MethodPost, t.path("/fetch"), body, &reply, 0); err != nil {
		return err
	}
	if len(reply.Samples) > 0 {
		t.cursor = reply.Cursor
		t.receive(&reply)
	}
	return nil
}

// train waits for the training time.
func (t *Trainer) train(ctx context.Context) error { return pause.For(ctx, t.config.TrainTime) }

// publish stores the new version in the weight store, then announces it. A version number that the coordinator rejects
// as a conflict, because another trainer of the pool has used or passed it, is skipped.
func (t *Trainer) publish(ctx context.Context) error {
	for {
		next := t.version + 1
		err := t.publishAs(ctx, next)
		t.version = next
		var refused *callError
		if errors.As(err, &refused) && refused.status == http.StatusConflict {
			continue
		}
		if err == nil {
			t.countStep()
		}
		return err
	}
}

// publishAs stores and announces a version with the given number.
func (t *Trainer) publishAs(ctx context.Context, number uint64) error {
	name := fmt.Sprintf("%s-v%d", t.config.Name, number)
	if t.config.WeightStore != "" {
		stored := storedVersion{Version: name, VersionNumber: number, Trainer: t.config.Name}
		address := []string{t.config.WeightStore}
		if err := t.callWithRetries(ctx, address, http.MethodPut, "/v1/versions/"+url.PathEscape(name), stored, nil, 0); err != nil {
			return err
		}
	}
	announced := versionBody{Version: name, VersionNumber: number, Pool: t.config.Pool}
	return t.callCoordinator(ctx, http.MethodPost, t.path("/versions"), announced, nil, 0)
}

// callCoordinator sends a call to the coordinators in turn, with retries, until one of them answers, rejects it
// permanently, or ctx ends. Every call of the trainers' API is safe to send again.
func (t *Trainer) callCoordinator(ctx context.Context, method, path string, body, answer any, wait time.Duration) error {
	return t.callWithRetries(ctx, t.config.Coordinators, method, path, body, answer, wait)
}

// callWithRetries sends a call to the addresses in turn, as callCoordinator does. It gives each fetch a new number.
func (t *Trainer) callWithRetries(ctx context.Context, addresses []string, method, path string, body, answer any, wait time.Duration) error {
	retryWait := retryPause
	for {
		if fetch, ok := body.(*fetchBody); ok {
			t.lastFetch = max(t.lastFetch+1, uint64(time.Now().UnixMicro()))
			fetch.Fetch = t.lastFetch
		}
		err := t.call(ctx, method, addresses[t.nextAddress%len(addresses)], path, body, answer, wait)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		var refused *callError
		if errors.As(err, &refused) && refused.isPermanent() {
			return fmt.Errorf("%s %s: %w", method, path, err)
		}
		if refused != nil {
			t.lastFetch = max(t.lastFetch, refused.fetch)
		}
		t.countError(err)
		t.nextAddress++
		if err := pause.For(ctx, retryWait); err != nil {
			return err
		}
		retryWait = min(2*retryWait, maxRetryPause)
	}
}
