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
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

// Trainer is one trainer stand-in.
type Trainer struct {
	config Config
	client *http.Client
	random *rand.Rand
	turn   int // coordinator asked first

	cursor  uint64 // highest batch received
	fetches uint64 // number of the last fetch; rises also over a restart
	version uint64 // weights that the next training starts from
	opened  uint64 // highest step opened

	finishing atomic.Bool // no further step is opened

	mutex sync.Mutex
	truth ledger
}

// New returns a trainer that has not started.
func New(config Config) (*Trainer, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Trainer{
		config: config, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}},
		random: rand.New(rand.NewSource(int64(config.Seed))), version: config.InitialVersionNumber, truth: newLedger(),
	}, nil
}

// errFinished ends a trainer that was told to finish.
var errFinished = errors.New("no further step is opened")

// Finish makes Run open no further step and return after the last one that is open.
func (t *Trainer) Finish() { t.finishing.Store(true) }

// Run trains until ctx ends, MaxSteps are done, or those that were open at Finish. An error means that a coordinator refused for good.
func (t *Trainer) Run(ctx context.Context) error {
	defer t.client.CloseIdleConnections()
	t.start(time.Now())
	defer t.finish()
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

func (t *Trainer) runStep(ctx context.Context, step uint64) error {
	if err := t.openUpTo(ctx, step); err != nil {
		return err
	}
	if t.opened < step {
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

// openUpTo opens the steps that are not open yet.
func (t *Trainer) openUpTo(ctx context.Context, last uint64) error {
	if t.config.MaxSteps > 0 {
		last = min(last, t.config.MaxSteps)
	}
	for t.opened < last && !t.finishing.Load() {
		step := t.opened + 1
		body := stepBody{Pool: t.config.Pool, SamplesPerPrompt: t.config.SamplesPerPrompt}
		for index := range t.config.PromptsPerStep {
			body.Prompts = append(body.Prompts, Prompt{
				ID: fmt.Sprintf("p%d", index), Text: t.config.Prompt(step, index), MaxTokens: t.config.MaxTokens,
			})
		}
		if err := t.persist(ctx, http.MethodPut, t.path(fmt.Sprintf("/steps/%d", step)), body, nil, 0); err != nil {
			return err
		}
		t.opened = step
		t.recordOpened(step, body)
	}
	return nil
}

// collect fetches until the whole step is there; the time it takes is idle time.
func (t *Trainer) collect(ctx context.Context, step uint64) error {
	began := time.Now()
	t.waiting(began)
	defer func() { t.waited(time.Now()) }()
	for !t.complete(step) {
		if err := t.fetch(ctx); err != nil {
			return err
		}
	}
	return nil
}

// fetch gets one batch, losing replies on purpose.
func (t *Trainer) fetch(ctx context.Context) error {
	body := &fetchBody{
		Cursor: t.cursor + 1, Acknowledge: t.cursor, TrainerVersion: t.version, MaxSamples: t.config.MaxSamples,
		WaitMillis: t.config.FetchWait.Milliseconds(), WholeStep: t.config.WholeStep,
	}
	var lost *fetchReply
	for {
		var reply fetchReply
		if err := t.persist(ctx, http.MethodPost, t.path("/fetch"), body, &reply, t.config.FetchWait); err != nil {
			return err
		}
		if reply.Cursor == 0 {
			return nil
		}
		if reply.Cursor != body.Cursor {
			t.violate(ViolationCursor, "", fmt.Sprintf("asked for batch %d, got %d", body.Cursor, reply.Cursor))
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

// acknowledgeLast tells the coordinator that the last batch arrived.
func (t *Trainer) acknowledgeLast(ctx context.Context) error {
	if t.cursor == 0 {
		return nil
	}
	var reply fetchReply
	body := &fetchBody{Cursor: t.cursor + 1, Acknowledge: t.cursor, TrainerVersion: t.version}
	if err := t.persist(ctx, http.MethodPost, t.path("/fetch"), body, &reply, 0); err != nil {
		return err
	}
	if len(reply.Samples) > 0 {
		t.cursor = reply.Cursor
		t.receive(&reply)
	}
	return nil
}

func (t *Trainer) train(ctx context.Context) error { return pause.For(ctx, t.config.TrainTime) }

// publish writes the new version to the weight store, then announces it. A number that another trainer
// of the pool has passed is skipped.
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

func (t *Trainer) publishAs(ctx context.Context, number uint64) error {
	name := fmt.Sprintf("%s-v%d", t.config.Name, number)
	if t.config.WeightStore != "" {
		stored := storedVersion{Version: name, VersionNumber: number, Trainer: t.config.Name}
		address := []string{t.config.WeightStore}
		if err := t.persistAt(ctx, address, http.MethodPut, "/v1/versions/"+url.PathEscape(name), stored, nil, 0); err != nil {
			return err
		}
	}
	announced := versionBody{Version: name, VersionNumber: number, Pool: t.config.Pool}
	return t.persist(ctx, http.MethodPost, t.path("/versions"), announced, nil, 0)
}

// persist repeats a call at the coordinators in turn until one answers, the call is refused for good, or
// ctx ends. Every call of the trainers' interface may be sent again.
func (t *Trainer) persist(ctx context.Context, method, path string, body, answer any, wait time.Duration) error {
	return t.persistAt(ctx, t.config.Coordinators, method, path, body, answer, wait)
}

func (t *Trainer) persistAt(ctx context.Context, addresses []string, method, path string, body, answer any, wait time.Duration) error {
	retryWait := retryPause
	for {
		if fetch, ok := body.(*fetchBody); ok {
			t.fetches = max(t.fetches+1, uint64(time.Now().UnixMicro()))
			fetch.Fetch = t.fetches
		}
		err := t.call(ctx, method, addresses[t.turn%len(addresses)], path, body, answer, wait)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
		var refused *callError
		if errors.As(err, &refused) && refused.permanent() {
			return fmt.Errorf("%s %s: %w", method, path, err)
		}
		if refused != nil {
			t.fetches = max(t.fetches, refused.fetch)
		}
		t.countError(err)
		t.turn++
		if err := pause.For(ctx, retryWait); err != nil {
			return err
		}
		retryWait = min(2*retryWait, maxRetryPause)
	}
}
