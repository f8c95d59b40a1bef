package engine

import (
	"math/rand"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	emulator "github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
)

const (
	cacheFeedLimit  = 8192 // events kept for readers
	cacheAnswerSize = 1024 // events in one answer
)

// CacheEvent is one change of the prefix cache in the answer of GET /v1/cache_events. A gap in Sequence means that
// events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // stored, removed or cleared
	Hash     string `json:"hash,omitempty"`
}

type cacheAnswer struct {
	Events []CacheEvent `json:"events"`
}

// cacheFeed serves the emulator's cache events with a lag and with random losses.
type cacheFeed struct {
	mutex         sync.Mutex
	lag           time.Duration
	loss          float64
	random        *rand.Rand
	lastCollected uint64         // sequence number of the last event collected from the emulator
	delayed       []delayedEvent // collected events, oldest first
}

// delayedEvent is a cache event that is served once it has reached the lag.
type delayedEvent struct {
	at    time.Time // of the collection
	event emulator.CacheEvent
}

func (f *cacheFeed) configure(config Config) {
	f.lag, f.loss = config.CacheEventLag, config.CacheEventLoss
	f.random = rand.New(rand.NewSource(int64(config.Seed) + 1))
}

// collect reads the emulator's new events and drops some of them at random, as configured.
func (f *cacheFeed) collect(now time.Time, emulated *emulator.Engine) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, event := range emulated.CacheEvents(f.lastCollected, cacheFeedLimit) {
		f.lastCollected = event.Sequence
		if f.loss > 0 && f.random.Float64() < f.loss {
			continue
		}
		f.delayed = append(f.delayed, delayedEvent{at: now, event: event})
	}
	if excess := len(f.delayed) - cacheFeedLimit; excess > 0 {
		f.delayed = append(f.delayed[:0], f.delayed[excess:]...)
	}
}

// after returns events with a higher sequence number that have reached the configured lag.
func (f *cacheFeed) after(sequence uint64, now time.Time) []CacheEvent {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	events := []CacheEvent{}
	for _, delayed := range f.delayed {
		if delayed.event.Sequence <= sequence {
			continue
		}
		if now.Sub(delayed.at) < f.lag || len(events) == cacheAnswerSize {
			break
		}
		events = append(events, toCacheEvent(delayed.event))
	}
	return events
}

// toCacheEvent converts an event of the emulator to its form on the wire.
func toCacheEvent(event emulator.CacheEvent) CacheEvent {
	kinds := [...]string{emulator.CacheStored: "stored", emulator.CacheRemoved: "removed", emulator.CacheCleared: "cleared"}
	converted := CacheEvent{Sequence: event.Sequence, Kind: kinds[event.Kind]}
	if event.Kind != emulator.CacheCleared {
		converted.Hash = strconv.FormatUint(event.Hash, 16)
	}
	return converted
}

func (s *Server) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, cacheAnswer{Events: s.cache.after(after, time.Now())})
}
