package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

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
	if !call.isSendable() {
		return Outcome{Verdict: verdict.DidNotRun, Err: ErrInvalidCall}
	}
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
	exchange := func() { outcome, reusable = c.exchange(conn, call, sink) }
	if err := recovery.Do(c.options.Log, call.AttemptID, "call of a replica", exchange); err != nil {
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
		outcome.Err = c.deliver(response, outcome.Load, sent, sink)
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
