package gateway

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// transport keeps idle connections to back ends. It never repeats a request by itself: only the dispatch
// machine decides about that.
type transport struct {
	connectTimeout time.Duration
	mutex          sync.Mutex
	idle           map[string][]*upstream
	closed         bool
}

const (
	maxIdlePerBackend   = 512
	maxIdleTime         = 30 * time.Second
	upstreamReadBuffer  = 8 << 10
	upstreamWriteBuffer = 8 << 10
	drainPatience       = 50 * time.Millisecond
)

// upstream is one connection to a back end, used by one request at a time.
type upstream struct {
	address  string
	conn     net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	counter  *countingWriter
	response fasthttp.Response
	usedAt   time.Time
	named    bool // its last answer named the request; only then another request may follow on it
}

// countingWriter tells whether any byte was handed to the connection.
type countingWriter struct {
	conn    net.Conn
	written int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.written += int64(n)
	return n, err
}

func newTransport(connectTimeout time.Duration) *transport {
	return &transport{connectTimeout: connectTimeout, idle: map[string][]*upstream{}}
}

// acquire returns an idle connection that is still open, or dials.
func (t *transport) acquire(address string, deadline time.Time) (*upstream, error) {
	for {
		up := t.takeIdle(address)
		if up == nil {
			break
		}
		if time.Since(up.usedAt) < maxIdleTime && up.usable() {
			up.counter.written = 0
			return up, nil
		}
		up.close()
	}
	timeout := min(t.connectTimeout, time.Until(deadline))
	if timeout <= 0 {
		timeout = time.Nanosecond
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	counter := &countingWriter{conn: conn}
	return &upstream{address: address, conn: conn, counter: counter,
		reader: bufio.NewReaderSize(conn, upstreamReadBuffer),
		writer: bufio.NewWriterSize(counter, upstreamWriteBuffer)}, nil
}

func (t *transport) takeIdle(address string) *upstream {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := t.idle[address]
	if len(list) == 0 {
		return nil
	}
	up := list[len(list)-1]
	t.idle[address] = list[:len(list)-1]
	return up
}

// release keeps a connection that carried no request yet, or whose last answer was read to its end and
// named its request. Bytes behind an answer that come after usable has looked would be taken for the next
// request's answer, unless that has to name its request; a connection of a back end that names none
// therefore carries a single request.
func (t *transport) release(up *upstream) {
	up.usedAt = time.Now()
	carried := up.counter.written > 0
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if (carried && !up.named) || t.closed || len(t.idle[up.address]) >= maxIdlePerBackend {
		up.close()
		return
	}
	t.idle[up.address] = append(t.idle[up.address], up)
}

// forgetExcept closes the idle connections to addresses that are not used any more.
func (t *transport) forgetExcept(addresses map[string]bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for address, list := range t.idle {
		if addresses[address] {
			continue
		}
		for _, up := range list {
			up.close()
		}
		delete(t.idle, address)
	}
}

func (t *transport) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
	for address, list := range t.idle {
		for _, up := range list {
			up.close()
		}
		delete(t.idle, address)
	}
}

// usable tells whether an idle connection may carry another request: nothing may be waiting in it, because
// a late answer to an earlier request must never be taken for the next one's.
func (up *upstream) usable() bool {
	return up.reader.Buffered() == 0 && connectionQuiet(up.conn)
}

func (up *upstream) close() {
	_ = up.response.CloseBodyStream()
	_ = up.conn.Close()
}
