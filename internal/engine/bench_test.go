package engine

import (
	"testing"
	"time"
)

// benchmarkEngine runs one engine that always has more requests than fit its batch. It advances the engine to each time
// that next returns, and reports steps and tokens per second.
func benchmarkEngine(b *testing.B, batch, prompt, output int, next func(*Engine) (time.Duration, bool)) {
	parameters := DefaultParameters()
	parameters.MaxBatch = batch
	parameters.CacheEvents = -1
	e := newEngine(b, parameters)
	prefix := prefixOf(1, prompt, parameters.BlockTokens)
	id := uint64(0)
	submit := func(now time.Duration) {
		id++
		if err := e.Submit(now, Request{ID: id, PromptTokens: prompt, OutputTokens: 1 + int(id*7919)%output, Prefix: prefix}); err != nil {
			b.Fatal(err)
		}
	}
	for range 2 * batch {
		submit(0)
	}
	tokens := 0
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		at, _ := next(e)
		for _, event := range e.Advance(at) {
			switch event.Kind {
			case EventTokens:
				tokens += event.Count
			case EventFinished:
				submit(at)
			}
		}
	}
	b.ReportMetric(float64(tokens)/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(e.steps)/b.Elapsed().Seconds(), "steps/s")
}

func BenchmarkStepByStepBatch16(b *testing.B) { benchmarkEngine(b, 16, 128, 400, (*Engine).NextEvent) }
func BenchmarkStepByStepBatch64(b *testing.B) { benchmarkEngine(b, 64, 512, 400, (*Engine).NextEvent) }
func BenchmarkByMilestoneBatch16(b *testing.B) {
	benchmarkEngine(b, 16, 128, 400, (*Engine).NextMilestone)
}
func BenchmarkByMilestoneBatch64(b *testing.B) {
	benchmarkEngine(b, 64, 512, 400, (*Engine).NextMilestone)
}
