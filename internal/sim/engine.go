package sim

import (
	"fmt"
	"time"
)

const (
	modelPool       = "model"
	chunkTokens     = 8
	chunkInterval   = 60 * time.Millisecond
	minSampleTokens = 20
	maxSampleTokens = 160
	minSwapTime     = 100 * time.Millisecond
	maxSwapTime     = 2 * time.Second
)

// chunk is a range of a sample's tokens with the weight version that the engine states for it.
type chunk struct {
	offset, count int
	version       uint64
	replica       string
	last          bool
}

// generation is one request to an engine to generate the rest of a sample.
type generation struct {
	sample  string // sample id
	edition uint32
	offset  int
	chunks  *stream
	receive func(chunk)
	stopped bool
}

// modelEngine generates samples in chunks, each with the weight version that it serves at that time, and reports the
// tokens to the ground truth.
type modelEngine struct {
	*process
	fleet            *fleet
	version          uint64 // version that generation really uses
	fence            uint64 // highest fencing token of an executed order
	failNext         bool   // the next swap fails partway
	falseSuccessNext bool   // the next swap reports success without taking effect
}

func (f *fleet) newEngine(number int, zone string) *modelEngine {
	e := &modelEngine{process: f.world.newProcess(fmt.Sprintf("engine-%d", number), zone), fleet: f, version: 1}
	e.onDeath = func() { f.restartLater(e.process) }
	f.engines = append(f.engines, e)
	return e
}

// launch starts the engine. By chance it comes up with the version before the one that it served, as from an outdated
// weight cache.
func (e *modelEngine) launch() {
	if e.up {
		return
	}
	e.start()
	e.fence = 0
	if e.version > 1 && e.world.randomBool(0.3) {
		e.version--
	}
	e.reportVersion()
}

// sampleLength returns the full length of a sample in tokens, which is a function of the sample's id.
func sampleLength(id string) int {
	return minSampleTokens + int(hash([]byte(id))%(maxSampleTokens-minSampleTokens))
}

// generate streams a sample's tokens from the generation's offset on.
func (e *modelEngine) generate(g *generation) {
	e.after(chunkInterval+e.world.exponentialDuration(chunkInterval/2), func() {
		if g.stopped {
			return
		}
		length := sampleLength(g.sample)
		count := min(chunkTokens, length-g.offset)
		made := chunk{offset: g.offset, count: count, version: e.version, replica: e.name, last: g.offset+count == length}
		e.world.truth.recordTokens(g, &made)
		g.offset += count
		g.chunks.send(func() { g.receive(made) })
		if !made.last {
			e.generate(g)
		}
	})
}

// swapAnswer is the result of an order to load weights.
type swapAnswer struct {
	stale   bool   // the order's fencing token is superseded
	ok      bool   // the engine reports success
	serving uint64 // version that the engine reports to serve
}

// swap loads a weight version by order of the pool's owner, whose fencing token is fence.
func (e *modelEngine) swap(version, fence uint64, answer func(swapAnswer)) {
	if fence < e.fence && !e.world.hasMutation(SkipFenceCheck) {
		answer(swapAnswer{stale: true})
		return
	}
	e.world.truth.checkFence(e, fence)
	e.tracef("swaps from version %d to %d by order of token %d", e.version, version, fence)
	e.fence = max(e.fence, fence)
	e.after(e.world.randomDuration(minSwapTime, maxSwapTime), func() {
		if fence < e.fence && !e.world.hasMutation(SkipFenceCheck) {
			answer(swapAnswer{stale: true}) // another owner's order arrived meanwhile
			return
		}
		switch {
		case e.failNext:
			e.failNext = false
			if e.world.randomBool(0.5) {
				e.version = version // the engine serves the new version and still reports failure
			}
			answer(swapAnswer{})
		case e.falseSuccessNext:
			e.falseSuccessNext = false
			answer(swapAnswer{ok: true, serving: version}) // the engine reports success and serves the old version
		default:
			e.version = version
			answer(swapAnswer{ok: true, serving: version})
		}
	})
}
