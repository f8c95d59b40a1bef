package requestbody

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/bytebudget"
)

func noDeadline(time.Time) error { return nil }

// TestBodiesAreReadWhole checks that bodies of known and unknown length are read completely, whatever pieces they arrive
// in, and that Release releases the whole reservation.
func TestBodiesAreReadWhole(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789"), 30_000)
	for name, wrap := range map[string]func(io.Reader) io.Reader{"plain": func(source io.Reader) io.Reader { return source },
		"halves": iotest.HalfReader, "end with the last bytes": iotest.DataErrReader} {
		for _, size := range []int64{0, 1, initialBytes, initialBytes + 1, minBytesPerWindow, minBytesPerWindow + 1, int64(len(want))} {
			for _, length := range []int64{size, -1} {
				budget := bytebudget.New(1 << 20)
				reader := &Reader{Budget: budget}
				body, err := reader.Read(t.Context(), wrap(bytes.NewReader(want[:size])), length, noDeadline)
				if err != nil || !bytes.Equal(body.Bytes, want[:size]) {
					t.Errorf("%s, %d bytes with length %d: read %d bytes, error %v; want the whole body", name, size, length, len(body.Bytes), err)
				}
				if held := budget.Held(bytebudget.Body) + budget.Held(bytebudget.LargeBody); held < size || length >= 0 && held != size {
					t.Errorf("%s, %d bytes with length %d: %d bytes are reserved, want those of the body", name, size, length, held)
				}
				body.Release()
				if held := budget.Held(bytebudget.Body) + budget.Held(bytebudget.LargeBody); held != 0 {
					t.Errorf("%s, %d bytes with length %d: %d bytes are reserved after Release, want 0", name, size, length, held)
				}
			}
		}
	}
}

// TestBrokenBodies checks that an incomplete body results in the error that caused it, and that its reservation is
// released.
func TestBrokenBodies(t *testing.T) {
	errReset := errors.New("reset")
	for name, test := range map[string]struct {
		source io.Reader
		length int64
		want   error
	}{
		"shorter than said": {strings.NewReader("abc"), 4, io.ErrUnexpectedEOF},
		"reset":             {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(errReset)), -1, errReset},
		"end too early":     {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, io.ErrUnexpectedEOF},
		"too slow":          {iotest.ErrReader(os.ErrDeadlineExceeded), 9, ErrTooSlow},
	} {
		budget := bytebudget.New(1 << 20)
		body, err := (&Reader{Budget: budget}).Read(t.Context(), test.source, test.length, noDeadline)
		body.Release()
		if !errors.Is(err, test.want) || budget.Held(bytebudget.Body) != 0 {
			t.Errorf("%s: got error %v and %d reserved bytes, want the error of the test case and 0", name, err, budget.Held(bytebudget.Body))
		}
	}
}

// sender simulates the connection to a caller that sends a number of bytes after each pause. A read fails at the deadline.
type sender struct {
	pause    time.Duration
	bytes    int
	deadline time.Time
}

func (s *sender) setDeadline(at time.Time) error { s.deadline = at; return nil }

func (s *sender) Read(buffer []byte) (int, error) {
	if next := time.Now().Add(s.pause); !s.deadline.IsZero() && next.After(s.deadline) {
		time.Sleep(time.Until(s.deadline))
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(s.pause)
	return min(len(buffer), s.bytes), nil
}

// TestSlowSenders checks that a caller that sends a byte now and then is disconnected in the first window, and that a
// caller that sends slowly but above the minimum rate is read to the end.
func TestSlowSenders(t *testing.T) {
	const length = 10 * minBytesPerWindow
	synctest.Test(t, func(t *testing.T) {
		reader := &Reader{Budget: bytebudget.New(1 << 20)}
		began := time.Now()
		trickle := &sender{pause: time.Second, bytes: 1}
		body, err := reader.Read(t.Context(), trickle, length, trickle.setDeadline)
		body.Release()
		if !errors.Is(err, ErrTooSlow) || time.Since(began) > DefaultWindow {
			t.Errorf("got error %v after %s, want ErrTooSlow within DefaultWindow", err, time.Since(began))
		}
		began = time.Now()
		steady := &sender{pause: time.Second, bytes: minBytesPerWindow / 20}
		if body, err = reader.Read(t.Context(), steady, length, steady.setDeadline); err != nil || len(body.Bytes) != length || time.Since(began) < 2*DefaultWindow {
			t.Errorf("got error %v after %s and %d bytes, want the whole body after more than two windows", err, time.Since(began), len(body.Bytes))
		}
	})
}

// TestBodyDoesNotWaitForItsOwnReservation checks that a body of unknown length may be as large as one of known length. It
// could not, if its old reservation were kept while a larger one is made.
func TestBodyDoesNotWaitForItsOwnReservation(t *testing.T) {
	for _, length := range []int64{600 << 10, -1} {
		reader := &Reader{Budget: bytebudget.New(1 << 20)}
		body, err := reader.Read(t.Context(), strings.NewReader(strings.Repeat("x", 600<<10)), length, noDeadline)
		if err != nil || len(body.Bytes) != 600<<10 {
			t.Errorf("length %d: got error %v and %d bytes, want the whole body", length, err, len(body.Bytes))
		}
		body.Release()
	}
}

// TestFullBudget checks that a body that does not fit into the budget is not read at all, and that a body of unknown length
// is refused when it grows beyond the free space.
func TestFullBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := bytebudget.New(1 << 20)
		budget.Reserve(bytebudget.LargeBody, 800<<10)
		reader := &Reader{Budget: budget}
		source := strings.NewReader(strings.Repeat("x", 500<<10))
		if _, err := reader.Read(t.Context(), source, 500<<10, noDeadline); !errors.Is(err, bytebudget.ErrFull) || source.Len() != 500<<10 {
			t.Errorf("got error %v with %d bytes not read, want ErrFull and all bytes", err, source.Len())
		}
		body, err := reader.Read(t.Context(), source, -1, noDeadline)
		body.Release()
		if !errors.Is(err, bytebudget.ErrFull) || budget.Held(bytebudget.LargeBody) != 800<<10 || budget.Held(bytebudget.Body) != 0 {
			t.Errorf("got error %v and %d bytes reserved for large bodies, want ErrFull and the 800 KB of the other body", err, budget.Held(bytebudget.LargeBody))
		}
	})
}
