package sim

import (
	"fmt"
	"time"
)

const (
	modelPool      = "model"
	chunkTokens    = 8
	chunkTime      = 60 * time.Millisecond
	shortestSample = 20
	longestSample  = 160
	fastestSwap    = 100 * time.Millisecond
	slowestSwap    = 2 * time.Second
)

// chunk is a part of a sample's tokens with the version that the engine states for it.
type chunk struct {
	offset, count int
	version       uint64
	replica       string
	last          bool
}

// generation is one run of a sample at an engine.
type generation struct {
	sample  string // id
	edition uint32
	offset  int
	out     *stream
	take    func(chunk)
	stopped bool
}

// modelEngine generates samples in chunks, each by the version that it serves then, and keeps the truth.
type modelEngine struct {
	*process
	fleet    *fleet
	version  uint64 // that really generates
	fence    uint64 // highest token obeyed
	failNext bool   // the next swap fails partway
	lateSwap bool   // the next swap says that it is done and is not
}

func (f *fleet) newEngine(number int, zone string) *modelEngine {
	e := &modelEngine{process: f.world.newProcess(fmt.Sprintf("engine-%d", number), zone), fleet: f, version: 1}
	e.died = func() { f.restartLater(e.process) }
	f.engines = append(f.engines, e)
	return e
}

// launch starts the engine with the newest version in the weight store's cache or, by chance, an old one.
func (e *modelEngine) launch() {
	if e.up {
		return
	}
	e.start()
	e.fence = 0
	if e.version > 1 && e.world.chance(0.3) {
		e.version--
	}
	e.reportLoad()
}

// sampleLength is the whole length of a sample in tokens: a function of its id, as its text is.
func sampleLength(id string) int {
	return shortestSample + int(hash([]byte(id))%(longestSample-shortestSample))
}

// generate produces a sample's tokens from an offset on.
func (e *modelEngine) generate(g *generation) {
	e.after(chunkTime+e.world.exponential(chunkTime/2), func() {
		if g.stopped {
			return
		}
		length := sampleLength(g.sample)
		count := min(chunkTokens, length-g.offset)
		made := chunk{offset: g.offset, count: count, version: e.version, replica: e.name, last: g.offset+count == length}
		e.world.truth.generated(g, &made)
		g.offset += count
		g.out.send(func() { g.take(made) })
		if !made.last {
			e.generate(g)
		}
	})
}

// swapAnswer says how an order to load weights ended.
type swapAnswer struct {
	stale   bool // the order's token is too low
	ok      bool
	serving uint64
}

// swap loads a version by order of the pool's owner.
func (e *modelEngine) swap(version, fence uint64, answer func(swapAnswer)) {
	if fence < e.fence && !e.world.mutated(SkipFenceCheck) {
		answer(swapAnswer{stale: true})
		return
	}
	e.world.truth.obeyed(e, fence)
	e.tracef("swaps from version %d to %d by order of token %d", e.version, version, fence)
	e.fence = max(e.fence, fence)
	e.after(e.world.between(fastestSwap, slowestSwap), func() {
		if fence < e.fence && !e.world.mutated(SkipFenceCheck) {
			answer(swapAnswer{stale: true}) // another owner's order came meanwhile
			return
		}
		switch {
		case e.failNext:
			e.failNext = false
			if e.world.chance(0.5) {
				e.version = version // it serves the new one and still says that it failed
			}
			answer(swapAnswer{})
		case e.lateSwap:
			e.lateSwap = false
			answer(swapAnswer{ok: true, serving: version}) // it says so and serves the old one
		default:
			e.version = version
			answer(swapAnswer{ok: true, serving: version})
		}
	})
}
