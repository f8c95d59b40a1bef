package gateway

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/answerconn"
)

// transport pools idle connections to back ends. It never retries a request. Only the dispatch machine decides
// about retries.
type transport struct {
	connectTimeout time.Duration
	mutex          sync.Mutex
	idle           map[string][]*upstream
	closed         bool
	naming         map[string]bool // addresses of back ends that have named a request in an answer
}

const (
	maxIdlePerBackend   = 512
	maxIdleTime         = 30 * time.Second
	upstreamReadBuffer  = 8 << 10
	upstreamWriteBuffer = 8 << 10
	drainTimeout        = 50 * time.Millisecond
)

// upstream is a connection to a back end that carries one request at a time.
type upstream struct {
	address       string
	conn          net.Conn
	reader        *bufio.Reader
	answers       *answerconn.Reader // source of reader; checks the heads of answers
	writer        *bufio.Writer
	counter       *countingWriter
	response      fasthttp.Response
	idleSince     time.Time
	namesRequests bool // its last answer named its request; required for reuse
}

// countingWriter counts the bytes written to the connection, to tell whether a request may have reached the back
// end.
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
	return &transport{connectTimeout: connectTimeout, idle: map[string][]*upstream{}, naming: map[string]bool{}}
}

// acquire returns an idle connection that is still usable, or dials a new one.
func (t *transport) acquire(address string, deadline time.Time) (*upstream, error) {
	for {
		up := t.takeIdle(address)
		if up == nil {
			break
		}
		if time.Since(up.idleSince) < maxIdleTime && up.isReusable() {
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
	counter, answers := &countingWriter{conn: conn}, answerconn.NewReader(conn)
	return &upstream{address: address, conn: conn, counter: counter, answers: answers,
		reader: bufio.NewReaderSize(answers, upstreamReadBuffer),
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

// readHead reads the head of the final answer, whose body is then read from response.BodyStream. It skips interim answers.
// The error is an answercheck.Fault if the status is none of an answer or a line of the head is no field.
func (up *upstream) readHead() error {
	up.answers.Begin()
	err := up.readFinalHead()
	if fault := up.answers.Fault(); fault != nil {
		return fault
	}
	return err
}

func (up *upstream) readFinalHead() error {
	up.response.Reset()
	up.response.StreamBody = true
	for interim := 0; ; interim++ {
		if err := up.response.Header.Read(up.reader); err != nil {
			return err
		}
		status := up.response.StatusCode()
		if answercheck.IsInterim(status, interim) {
			continue
		}
		if err := (answercheck.Expected{}).Check(answercheck.Head{Status: status}); err != nil {
			return err
		}
		if status == http.StatusNoContent || status == http.StatusNotModified {
			return nil
		}
		return up.response.ReadBody(up.reader, 0)
	}
}

// release returns a connection to the idle pool. The connection must have carried no request yet, or its last
// answer must have been read to the end and have named its request. Bytes that arrive after the check by isReusable
// would be taken for the next answer, unless that answer must name its request. A connection to a back end that
// names no request therefore carries a single request.
func (t *transport) release(up *upstream) {
	up.idleSince = time.Now()
	carried := up.counter.written > 0
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if (carried && !up.namesRequests) || t.closed || len(t.idle[up.address]) >= maxIdlePerBackend {
		up.close()
		return
	}
	t.idle[up.address] = append(t.idle[up.address], up)
}

// isNaming reports whether the back end at an address names requests in its answers, as far as is known.
func (t *transport) isNaming(address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.naming[address]
}

// noteNaming records that the back end at an address has named its request in an answer.
func (t *transport) noteNaming(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.naming[address] = true
}

// closeIdleExcept closes the idle connections to all addresses except the given ones, and forgets what is known of the
// back ends there.
func (t *transport) closeIdleExcept(addresses map[string]bool) {
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
	for address := range t.naming {
		if !addresses[address] {
			delete(t.naming, address)
		}
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

// isReusable reports whether an idle connection may carry another request. It must have no bytes to read, because a
// late answer to an earlier request would be taken for the next request's answer.
func (up *upstream) isReusable() bool {
	return up.reader.Buffered() == 0 && isConnectionIdle(up.conn)
}

func (up *upstream) close() {
	_ = up.response.CloseBodyStream()
	_ = up.conn.Close()
}
