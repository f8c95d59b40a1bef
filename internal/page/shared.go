package page

import (
	"context"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/operator"
)

// shared is a reading that several viewers share, so that each open page does not cost one of its own.
type shared[T any] struct {
	maximumAge time.Duration
	ask        func(context.Context, operator.StatusControl) (T, error)

	mutex sync.Mutex // held while it is read
	last  T
	err   error
	at    time.Time // zero: never read
}

// read returns the last reading, or a new one if that is too old.
func (r *shared[T]) read(s *Server) (T, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.at.IsZero() || time.Since(r.at) > r.maximumAge {
		waiting, cancel := context.WithTimeout(s.context, s.config.Timeout)
		defer cancel()
		r.last, r.err = r.ask(waiting, s.config.Control)
		r.at = time.Now()
	}
	return r.last, r.err
}

func readStatus(ctx context.Context, control operator.StatusControl) (*operator.Status, error) {
	return operator.ReadStatus(ctx, control), nil
}

func readFleet(ctx context.Context, control operator.StatusControl) (*operator.Fleet, error) {
	return operator.ReadFleet(ctx, control)
}
