package page

import (
	"context"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/operator"
)

// cachedResult holds the latest result of a query of the control nodes, so that several open pages share one query.
type cachedResult[T any] struct {
	maxAge time.Duration
	query  func(context.Context, operator.StatusControl) (T, error)

	mutex     sync.Mutex // held during a query, so that concurrent readers wait for its result
	value     T
	err       error
	queriedAt time.Time // zero: never queried
}

// get returns the cached result and error, or those of a new query if they are too old.
func (c *cachedResult[T]) get(s *Server) (T, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.queriedAt.IsZero() || time.Since(c.queriedAt) > c.maxAge {
		timeoutContext, cancel := context.WithTimeout(s.context, s.config.Timeout)
		defer cancel()
		c.value, c.err = c.query(timeoutContext, s.config.Control)
		c.queriedAt = time.Now()
	}
	return c.value, c.err
}

func readStatus(ctx context.Context, control operator.StatusControl) (*operator.Status, error) {
	return operator.ReadStatus(ctx, control), nil
}

func readFleet(ctx context.Context, control operator.StatusControl) (*operator.Fleet, error) {
	return operator.ReadFleet(ctx, control)
}
