// Package requestbody reads the bodies of callers' requests within a byte budget. To limit the memory of many large bodies
// at the same time, it reserves bytes of the budget before it reads the first byte of a body. While a body waits for the
// budget it is not read, so that the buffers of the connection fill and the caller stops sending. A body that arrives more
// slowly than a minimum rate ends with ErrTooSlow.
package requestbody

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/tamarindring/tamarindring/internal/bytebudget"
)

// ErrTooSlow is returned for a body of which too few bytes arrived within a window.
var ErrTooSlow = errors.New("requestbody: the body does not come")

const (
	// DefaultWindow is the time within which the next minBytesPerWindow of a body, or its rest, must arrive.
	DefaultWindow = 30 * time.Second
	// minBytesPerWindow is how much of a body must arrive within each window. A caller on a poor link reaches this rate
	// and can send the largest body. The body of a caller that sends a byte now and then ends with ErrTooSlow.
	minBytesPerWindow = 64 << 10
	// BudgetWait is how long a body waits for free space in the budget. Large bodies are read in less time, and a
	// caller that is rejected soon can send its request to another gateway.
	BudgetWait = 250 * time.Millisecond
	// initialBytes is the initial capacity for a body of unknown length. It is doubled each time it is full.
	initialBytes = 4 << 10
)

// Deadline sets the time at which reading from the caller fails with os.ErrDeadlineExceeded. The zero time removes the
// deadline.
type Deadline func(at time.Time) error

// Reader reads the request bodies of a process.
type Reader struct {
	Budget *bytebudget.Budget
	Window time.Duration // 0 selects DefaultWindow
}

// Body is a request body. Bytes holds all of it, or after an error the bytes that arrived before the error.
type Body struct {
	Bytes    []byte
	budget   *bytebudget.Budget
	class    bytebudget.Class
	reserved int64 // bytes reserved in the budget
}

// Read reads a body of the given length in bytes, which is negative if it is not known. The caller must release the
// returned body even after an error. The error is bytebudget.ErrFull if the budget has no free space for BudgetWait,
// ErrTooSlow if too few bytes arrived within a window, io.ErrUnexpectedEOF if the body is shorter than its length, or that
// of source.
func (r *Reader) Read(ctx context.Context, source io.Reader, length int64, deadline Deadline) (*Body, error) {
	body := &Body{budget: r.Budget}
	if length == 0 {
		return body, nil
	}
	var err error
	if length > 0 {
		err = r.readKnown(ctx, body, source, length, deadline)
	} else {
		err = r.readAll(ctx, body, source, deadline)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return body, ErrTooSlow
	}
	if err != nil {
		return body, err
	}
	return body, deadline(time.Time{})
}

// readKnown reads a body of a known length. All of it is reserved in the budget at the beginning.
func (r *Reader) readKnown(ctx context.Context, body *Body, source io.Reader, length int64, deadline Deadline) error {
	if err := body.grow(ctx, length); err != nil {
		return err
	}
	for int64(len(body.Bytes)) < length {
		if err := r.readWindow(body, source, deadline); err == io.EOF {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
	}
	return nil
}

// readAll reads a body of unknown length. The reservation in the budget grows with the body.
func (r *Reader) readAll(ctx context.Context, body *Body, source io.Reader, deadline Deadline) error {
	for {
		if len(body.Bytes) == cap(body.Bytes) {
			if err := body.grow(ctx, max(initialBytes, 2*int64(cap(body.Bytes)))); err != nil {
				return err
			}
		}
		if err := r.readWindow(body, source, deadline); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// readWindow reads the next minBytesPerWindow, or less if the capacity is reached, within one window.
func (r *Reader) readWindow(body *Body, source io.Reader, deadline Deadline) error {
	window := r.Window
	if window <= 0 {
		window = DefaultWindow
	}
	if err := deadline(time.Now().Add(window)); err != nil {
		return err
	}
	until := min(len(body.Bytes)+minBytesPerWindow, cap(body.Bytes))
	for len(body.Bytes) < until {
		n, err := source.Read(body.Bytes[len(body.Bytes):until])
		body.Bytes = body.Bytes[:len(body.Bytes)+n]
		if err != nil {
			if err == io.EOF && n > 0 && len(body.Bytes) == cap(body.Bytes) {
				return nil // source returned io.EOF together with the last bytes
			}
			return err
		}
	}
	return nil
}

// grow reserves this many bytes for the whole body and copies the bytes that were read into a larger buffer.
func (b *Body) grow(ctx context.Context, capacity int64) error {
	class := bytebudget.BodyClass(capacity)
	b.releaseBudget() // first, so that the body does not wait for its own reservation
	if err := b.budget.Acquire(ctx, class, capacity, BudgetWait); err != nil {
		return err
	}
	larger := make([]byte, len(b.Bytes), capacity)
	copy(larger, b.Bytes)
	b.Bytes, b.class, b.reserved = larger, class, capacity
	return nil
}

// Release releases the body's reservation in the budget. Its bytes must not be used afterwards.
func (b *Body) Release() {
	b.releaseBudget()
	b.Bytes = nil
}

func (b *Body) releaseBudget() {
	if b.reserved > 0 {
		b.budget.Release(b.class, b.reserved)
		b.reserved = 0
	}
}
