package replica

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/recovery"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// Defaults of Options.
const (
	DefaultMaxConnections = 16
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultIdleTimeout    = 400 * time.Millisecond
	DefaultPeerTimeout    = 2 * time.Second
	DefaultMaxHeadBytes   = 64 << 10
	DefaultMaxBodyBytes   = 256 << 20
)

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	Names Names
	// MaxConnections bounds the connections to one replica for calls that set no bound.
	MaxConnections int
	DialTimeout    time.Duration
	// IdleTimeout is how long an idle connection is kept open to a replica that announces no Keep-Alive time.
	IdleTimeout time.Duration
	// PeerTimeout is the time without an acknowledgement of sent bytes after which a connection is closed.
	PeerTimeout  time.Duration
	MaxHeadBytes int // bound of the head of an answer, together with the interim answers before it
	// MaxBodyBytes is the bound of a body that announces no length. A body that does is bounded by its length.
	MaxBodyBytes int64
	// SkipsPeer leaves Outcome.Peer unknown, which saves a connection after each call that broke off.
	SkipsPeer bool
	// Dial opens a connection. Nil selects TCP.
	Dial Dial
	// Now is the clock. Nil selects time.Now.
	Now func() time.Time
	// Log receives a limited number of warnings about load reports that can't be read. May be nil.
	Log *logrus.Entry
}

// Errors in Outcome.Err.
var (
	ErrConnections = errors.New("replica: all connections to the replica are in use")
	ErrRefused     = errors.New("replica: the replica did not run the request")
)

// Client calls replicas over persistent HTTP/1.1 connections with one request at a time on each. It is safe for
// concurrent use.
type Client struct {
	options  Options
	mu       sync.Mutex
	replicas map[Target]*replicaConnections // guarded by mu
	closed   bool                           // guarded by mu

	unreadable unreadableReportLog
	invalid    *invalidAnswers
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	setDefault(&options.MaxConnections, DefaultMaxConnections)
	setDefault(&options.DialTimeout, DefaultDialTimeout)
	setDefault(&options.IdleTimeout, DefaultIdleTimeout)
	setDefault(&options.PeerTimeout, DefaultPeerTimeout)
	setDefault(&options.MaxHeadBytes, DefaultMaxHeadBytes)
	setDefault(&options.MaxBodyBytes, DefaultMaxBodyBytes)
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Log == nil {
		options.Log = logging.Discard()
	}
	if options.Dial == nil {
		options.Dial = tcpDialer(options.DialTimeout, options.PeerTimeout)
	}
	return &Client{options: options, replicas: make(map[Target]*replicaConnections), invalid: newInvalidAnswers()}
}

// Collector returns the client's metrics.
func (c *Client) Collector() prometheus.Collector { return c.invalid }

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Do implements Caller.
func (c *Client) Do(ctx context.Context, call *Call, sink Sink) Outcome {
	conn, refused, err := c.acquire(ctx, call)
	if err != nil {
		return Outcome{Verdict: verdict.DidNotRun, Refused: refused, Err: err}
	}
	if call.Admit != nil {
		if err := call.Admit(); err != nil {
			c.release(conn, true)
			return Outcome{Verdict: verdict.DidNotRun, Err: err}
		}
	}
	stop := context.AfterFunc(ctx, conn.abort)
	outcome, reusable := Outcome{Verdict: verdict.MayHaveRun}, false
	if err := recovery.Do(c.options.Log, call.AttemptID, "call of a replica", func() { outcome, reusable = c.exchange(conn, call, sink) }); err != nil {
		outcome.Err = err
	}
	if !stop() {
		reusable = false
		if outcome.Err != nil && ctx.Err() != nil {
			outcome.Err = ctx.Err()
		}
	}
	c.release(conn, reusable)
	if !c.options.SkipsPeer && outcome.Verdict != verdict.DidNotRun && ctx.Err() == nil {
		outcome.Peer = Examine(ctx, c.options.Dial, call.Address, outcome.Err)
	}
	return outcome
}

// exchange sends a call and reads its answer. The second result reports whether the connection may be reused.
func (c *Client) exchange(conn *connection, call *Call, sink Sink) (Outcome, bool) {
	sent := conn.send(c.buildRequestHead(call), call.Body, call.OnReceived)
	response, err := c.readHead(conn, call)
	conn.markAnswered(sent)
	if err != nil {
		return c.failedExchange(sent, err), false
	}
	outcome := Outcome{Status: response.StatusCode, Verdict: verdict.Ran, Answered: c.options.Now()}
	outcome.Load = c.readLoadReport(call, response)
	var ended bool
	if refusal := c.readRefusal(response); refusal != RefusedNone {
		outcome.Verdict, outcome.Refused, outcome.Err = verdict.DidNotRun, refusal, ErrRefused
		ended = conn.discard(response.Body)
	} else {
		outcome.Err = c.deliver(response, outcome.Load, sink)
		c.countFault(outcome.Err)
		outcome.Complete = outcome.Err == nil
		ended = outcome.Complete
	}
	conn.setIdleTimeout(response.Header, c.options.IdleTimeout)
	return outcome, ended && !response.Close && sent.isFinished() && conn.reader.Buffered() == 0
}

// failedExchange returns the outcome of a call to which no answer came, for the reason err.
func (c *Client) failedExchange(sent *upload, err error) Outcome {
	if c.countFault(err) {
		return Outcome{Verdict: verdict.MayHaveRun, Err: err}
	}
	if failure := sent.writeError(); failure != nil {
		err = failure
	}
	if sent.headUnsent() {
		return Outcome{Verdict: verdict.DidNotRun, Refused: RefusedUnreachable, Err: err}
	}
	return Outcome{Verdict: verdict.MayHaveRun, Err: err}
}

// countFault counts err if it is an answercheck.Fault, and reports whether it is one.
func (c *Client) countFault(err error) bool {
	var fault answercheck.Fault
	if !errors.As(err, &fault) {
		return false
	}
	c.invalid.count(fault)
	return true
}

// readHead reads the head of the answer to a call and skips interim answers (status 1xx). The error is an answercheck.Fault if a
// message came that is not the answer.
func (c *Client) readHead(conn *connection, call *Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	conn.limitedReader.N = int64(c.options.MaxHeadBytes)
	for interim := 0; ; interim++ {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			if conn.limitedReader.N <= 0 {
				return nil, answercheck.Endless
			}
			return nil, err
		}
		if answercheck.IsInterim(response.StatusCode, interim) {
			continue
		}
		conn.limitedReader.N = unlimited
		return response, c.checkAnswer(call, response)
	}
}

// checkAnswer returns nil if a message with this head is the answer to the call, and otherwise an answercheck.Fault.
func (c *Client) checkAnswer(call *Call, response *http.Response) error {
	names := &c.options.Names
	expected := answercheck.Expected{Signed: names.Signature != ""}
	if names.AttemptID != "" {
		expected.RequestID = call.AttemptID
	}
	return expected.Check(answercheck.Head{Status: response.StatusCode, RequestID: c.headerValue(response, names.AttemptID),
		Signature: c.headerValue(response, names.Signature)})
}

// readRefusal returns the reason for which the replica did not run the request, or RefusedNone.
func (c *Client) readRefusal(response *http.Response) Refusal {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return RefusedWrongTarget
	}
	if name := c.options.Names.NotExecuted; name != "" && len(response.Header.Values(name)) > 0 {
		return RefusedFull
	}
	return RefusedNone
}

// headerValue returns the value of a header field, which is empty if the site has no name for the field.
func (c *Client) headerValue(response *http.Response, name string) string {
	if name == "" {
		return ""
	}
	return response.Header.Get(name)
}

// deliver passes the answer to the sink as it arrives. It returns nil if the whole answer was passed.
func (c *Client) deliver(response *http.Response, load *loadreport.Report, sink Sink) error {
	head := c.buildHead(response)
	head.Load = load
	if err := sink.Head(head); err != nil {
		return err
	}
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	for total := int64(0); ; {
		n, err := response.Body.Read(buffer[:])
		if total += int64(n); response.ContentLength < 0 && total > c.options.MaxBodyBytes {
			return answercheck.Endless
		}
		if n > 0 {
			if refused := sink.Body(buffer[:n]); refused != nil {
				return refused
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *Client) buildHead(response *http.Response) Head {
	head := Head{Status: response.StatusCode, Length: response.ContentLength}
	for name, values := range response.Header {
		for _, value := range values {
			head.Header = append(head.Header, Header{Name: name, Value: value})
		}
	}
	head.Version, _ = strconv.ParseUint(c.headerValue(response, c.options.Names.Version), 10, 64)
	kind, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	head.Stream = strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
	return head
}

const (
	// maxDiscardBytes bounds how much of a refusal's body is read so that the connection can be reused.
	maxDiscardBytes = 4 << 10
	// discardTimeout bounds how long that may take. The request does better to go elsewhere than to wait for more.
	discardTimeout = 50 * time.Millisecond
)

// discard reads the body of a refusal. It returns false if the body is too long, late or broke off.
func (c *connection) discard(body io.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	if err != nil || n > maxDiscardBytes {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

const bufferBytes = 8 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}
