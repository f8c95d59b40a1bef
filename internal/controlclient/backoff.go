package controlclient

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tamarindring/tamarindring/internal/pause"
)

// backoff computes exponentially growing waits with jitter. The zero value is ready to use.
type backoff struct{ next time.Duration }

// duration returns the next wait, drawn between half and the whole of a bound that doubles with each call up to
// maximumBackoff.
func (b *backoff) duration() time.Duration {
	if b.next < minimumBackoff {
		b.next = minimumBackoff
	}
	bound := b.next
	b.next = min(2*bound, maximumBackoff)
	return bound/2 + rand.N(bound/2+1)
}

func (b *backoff) reset() { b.next = 0 }

// sleep waits for the next duration. It returns false if ctx ended first.
func (b *backoff) sleep(ctx context.Context) bool {
	return pause.For(ctx, b.duration()) == nil
}
