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
	cacheFeedLimit  = 8192
	cacheAnswerSize = 1024
)

// CacheEvent is one change of the prefix cache as published. A jump in Sequence means lost events.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // stored, removed or cleared
	Hash     string `json:"hash,omitempty"`
}

type cacheAnswer struct {
	Events []CacheEvent `json:"events"`
}

// cacheFeed hands out the emulator's cache events late and with gaps.
type cacheFeed struct {
	mutex  sync.Mutex
	lag    time.Duration
	loss   float64
	random *rand.Rand
	read   uint64 // sequence of the last event taken from the emulator
	held   []heldEvent
}

type heldEvent struct {
	at    time.Time
	event emulator.CacheEvent
}

func (f *cacheFeed) configure(config Config) {
	f.lag, f.loss = config.CacheEventLag, config.CacheEventLoss
	f.random = rand.New(rand.NewSource(int64(config.Seed) + 1))
}

// collect takes the new events from the emulator.
func (f *cacheFeed) collect(now time.Time, emulated *emulator.Engine) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, event := range emulated.CacheEvents(f.read, cacheFeedLimit) {
		f.read = event.Sequence
		if f.loss > 0 && f.random.Float64() < f.loss {
			continue
		}
		f.held = append(f.held, heldEvent{at: now, event: event})
	}
	if excess := len(f.held) - cacheFeedLimit; excess > 0 {
		f.held = append(f.held[:0], f.held[excess:]...)
	}
}

// after returns events above a sequence number that are old enough to be handed out.
func (f *cacheFeed) after(sequence uint64, now time.Time) []CacheEvent {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	events := []CacheEvent{}
	for _, held := range f.held {
		if held.event.Sequence <= sequence {
			continue
		}
		if now.Sub(held.at) < f.lag || len(events) == cacheAnswerSize {
			break
		}
		events = append(events, published(held.event))
	}
	return events
}

func published(event emulator.CacheEvent) CacheEvent {
	kinds := [...]string{emulator.CacheStored: "stored", emulator.CacheRemoved: "removed", emulator.CacheCleared: "cleared"}
	shown := CacheEvent{Sequence: event.Sequence, Kind: kinds[event.Kind]}
	if event.Kind != emulator.CacheCleared {
		shown.Hash = strconv.FormatUint(event.Hash, 16)
	}
	return shown
}

func (s *Server) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, cacheAnswer{Events: s.cache.after(after, time.Now())})
}
