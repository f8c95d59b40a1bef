package bytebudget

import (
	"container/list"
	"context"
	"errors"
	"sync"
	"time"
)

// ErrFull is returned by Acquire when bytes could not be reserved in time.
var ErrFull = errors.New("bytebudget: the process holds as many bytes as it may")

// Budget counts the bytes that one process holds. It is safe for concurrent use.
type Budget struct {
	limit   int64
	mu      sync.Mutex
	held    [classCount]int64     // guarded by mu
	total   int64                 // guarded by mu
	peak    int64                 // maximum of total; guarded by mu
	refused [classCount]uint64    // guarded by mu
	waiting [classCount]list.List // of *waiter, oldest first; guarded by mu
}

// waiter is a reservation that does not fit yet.
type waiter struct {
	bytes   int64
	granted chan struct{} // closed once the bytes are reserved
}

// New returns an empty budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the maximum number of bytes that may be held.
func (b *Budget) Limit() int64 { return b.limit }

// ClassLimit returns the maximum number of bytes of a class. A larger reservation is still granted while no bytes are
// held at all.
func (b *Budget) ClassLimit(class Class) int64 { return percentOf(b.limit, shares[class].ownPercent) }

// Reserve implements Reserver.
func (b *Budget) Reserve(class Class, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(class, bytes) {
		b.refused[class]++
		return false
	}
	b.add(class, bytes)
	return true
}

// Acquire reserves bytes and waits for up to the given time if they do not fit. It returns ErrFull when the time is
// over and ctx's error when ctx ends first. Reservations of a class are granted in the order of arrival, so that
// smaller ones cannot starve a large one.
func (b *Budget) Acquire(ctx context.Context, class Class, bytes int64, wait time.Duration) error {
	if bytes <= 0 {
		return nil
	}
	b.mu.Lock()
	queue := &b.waiting[class]
	if queue.Len() == 0 && b.fits(class, bytes) {
		b.add(class, bytes)
		b.mu.Unlock()
		return nil
	}
	waiting := &waiter{bytes: bytes, granted: make(chan struct{})}
	element := queue.PushBack(waiting)
	b.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-waiting.granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
		if err := b.cancelWait(class, waiting, element); err != nil {
			return ctx.Err()
		}
		return nil
	}
	return b.cancelWait(class, waiting, element)
}

// cancelWait removes a waiting reservation and returns ErrFull, or returns nil if the reservation was granted in the
// meantime.
func (b *Budget) cancelWait(class Class, waiting *waiter, element *list.Element) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-waiting.granted:
		return nil
	default:
	}
	b.waiting[class].Remove(element)
	b.refused[class]++
	b.grantWaiting()
	return ErrFull
}

// Release implements Reserver.
func (b *Budget) Release(class Class, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[class] -= bytes
	b.total -= bytes
	b.grantWaiting()
}

// fits reports whether bytes of a class can be added. A reservation above the limits is granted while nothing else is
// held, because it could never be granted otherwise. The caller holds the mutex.
func (b *Budget) fits(class Class, bytes int64) bool {
	if b.total == 0 {
		return true
	}
	part := shares[class]
	return b.total+bytes <= percentOf(b.limit, part.totalPercent) && b.held[class]+bytes <= percentOf(b.limit, part.ownPercent)
}

// add counts bytes as held. The caller holds the mutex.
func (b *Budget) add(class Class, bytes int64) {
	b.held[class] += bytes
	b.total += bytes
	b.peak = max(b.peak, b.total)
}

// grantWaiting grants waiting reservations that fit now. The caller holds the mutex.
func (b *Budget) grantWaiting() {
	for class := range classCount {
		queue := &b.waiting[class]
		for first := queue.Front(); first != nil; first = queue.Front() {
			waiting := first.Value.(*waiter)
			if !b.fits(class, waiting.bytes) {
				break
			}
			b.add(class, waiting.bytes)
			queue.Remove(first)
			close(waiting.granted)
		}
	}
}

// Held returns the number of bytes that are held for a class.
func (b *Budget) Held(class Class) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[class]
}

// usage is a snapshot of a budget.
type usage struct {
	held    [classCount]int64
	refused [classCount]uint64
	peak    int64
	waiting [classCount]int
}

func (b *Budget) usage() usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := usage{held: b.held, refused: b.refused, peak: b.peak}
	for class := range classCount {
		now.waiting[class] = b.waiting[class].Len()
	}
	return now
}
