// Package endpoint provides the HTTP server of the stand-ins. It can be drained, closed abruptly, and made to behave
// like a crashed process for a while.
package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// DefaultMaxBody is the default of Config.MaxBody, in bytes.
const DefaultMaxBody = 64 << 20

// Config holds an endpoint's settings.
type Config struct {
	// Listen is the IP:port to listen on; port 0 selects a free port. It is ignored if Listener is set.
	Listen string
	// Listener is an already bound listener. The endpoint closes it.
	Listener net.Listener
	// Handler serves the requests. Required.
	Handler fasthttp.RequestHandler
	// StreamBody passes large bodies to the handler as a stream.
	StreamBody bool
	// MaxBody limits the body of a request, in bytes. Default DefaultMaxBody.
	MaxBody int
	// Log receives the errors of the HTTP server at debug level. Required.
	Log *logrus.Entry
}

// Endpoint is one HTTP server with its listener.
type Endpoint struct {
	listener *trackedListener
	server   *fasthttp.Server

	mutex      sync.Mutex
	drainEnded chan struct{} // created when the first drain begins, closed when it ends; guarded by mutex

	closed    chan struct{} // closed when the endpoint stops
	closeOnce sync.Once
}

// New binds the listener. Requests are served once Run is called. It returns an error if the address cannot be bound.
func New(config Config) (*Endpoint, error) {
	listener := config.Listener
	if listener == nil {
		bound, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, trace.Wrap(err, "listen on %s", config.Listen)
		}
		listener = bound
	}
	if config.MaxBody == 0 {
		config.MaxBody = DefaultMaxBody
	}
	return &Endpoint{
		closed:   make(chan struct{}),
		listener: &trackedListener{Listener: listener, openConnections: make(map[*trackedConnection]struct{})},
		server: &fasthttp.Server{
			Handler: echoRequestID(config.Handler), Logger: debugLogger{config.Log}, NoDefaultServerHeader: true,
			StreamRequestBody: config.StreamBody, MaxRequestBodySize: config.MaxBody, CloseOnShutdown: true,
			ReadTimeout: time.Minute, IdleTimeout: 2 * time.Minute,
		},
	}, nil
}

const headerRequestID = "X-Request-Id"

// echoRequestID returns a handler that copies the request's X-Request-Id to the answer. Gateways reuse a connection
// only if the answer names its request.
func echoRequestID(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		id := string(ctx.Request.Header.Peek(headerRequestID))
		handler(ctx)
		if id != "" {
			ctx.Response.Header.Set(headerRequestID, id)
		}
	}
}

// Address returns the IP:port that the listener is bound to.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Closed returns a channel that is closed when the endpoint stops. Handlers that wait must stop waiting then.
func (e *Endpoint) Closed() <-chan struct{} { return e.closed }

func (e *Endpoint) stop() { e.closeOnce.Do(func() { close(e.closed) }) }

// Run serves requests until ctx ends, which closes the endpoint abruptly, or until the endpoint is drained or closed.
// It returns nil in all these cases, and not before a drain that has begun has ended.
func (e *Endpoint) Run(ctx context.Context) error {
	defer e.stop()
	stop := context.AfterFunc(ctx, func() { _ = e.Close() })
	defer stop()
	err := e.server.Serve(e.listener)
	if done := e.drainDone(); done != nil {
		<-done
	}
	if err == nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Drain stops accepting connections and waits until the requests in flight have ended. It returns an error if ctx ends
// first.
func (e *Endpoint) Drain(ctx context.Context) error {
	defer e.stop()
	e.mutex.Lock()
	first := e.drainEnded == nil
	if first {
		e.drainEnded = make(chan struct{})
	}
	e.mutex.Unlock()
	err := e.server.ShutdownWithContext(ctx)
	if first {
		close(e.drainEnded)
	}
	return trace.Wrap(err)
}

// drainDone returns a channel that is closed when the drain that has begun ends, or nil if none has begun.
func (e *Endpoint) drainDone() <-chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.drainEnded
}

// Close stops accepting connections and resets the open ones.
func (e *Endpoint) Close() error {
	e.stop()
	err := e.listener.Close()
	e.listener.resetAll()
	return err
}

// SetDown with down true makes the endpoint behave as if its process were dead: it resets open connections, and new
// ones as soon as they are accepted. With down false the endpoint serves again.
func (e *Endpoint) SetDown(down bool) {
	e.listener.mutex.Lock()
	e.listener.down = down
	e.listener.mutex.Unlock()
	if down {
		e.listener.resetAll()
	}
}

// trackedListener keeps track of its open connections, so that they can be reset.
type trackedListener struct {
	net.Listener
	mutex           sync.Mutex // guards the fields below
	openConnections map[*trackedConnection]struct{}
	down            bool // set by SetDown: new connections are reset
}

type trackedConnection struct {
	net.Conn
	listener *trackedListener
}

// Accept implements net.Listener. While the listener is down it resets new connections instead of returning them.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked := &trackedConnection{Conn: connection, listener: l}
		if l.track(tracked) {
			return tracked, nil
		}
		reset(connection)
	}
}

// track adds a connection to the open ones, or returns false while the listener is down.
func (l *trackedListener) track(connection *trackedConnection) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return false
	}
	l.openConnections[connection] = struct{}{}
	return true
}

func (l *trackedListener) resetAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.openConnections {
		reset(connection.Conn)
	}
}

// Close implements net.Conn. It removes the connection from the open ones.
func (c *trackedConnection) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.openConnections, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// Cut resets the connection of a request, so that the client does not see a proper end of the answer.
func Cut(connection net.Conn) {
	if tracked, ok := connection.(*trackedConnection); ok {
		reset(tracked.Conn)
		return
	}
	reset(connection)
}

// reset closes a connection. A TCP connection sends a reset instead of a FIN.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// debugLogger logs the messages of fasthttp at debug level, because injected faults cause thousands of them.
type debugLogger struct{ log *logrus.Entry }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, arguments ...any) { l.log.Debugf(format, arguments...) }

// WriteJSON answers with the status and value as JSON. A value that cannot be encoded gets status 500.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ErrorBody is the body of an error answer, in the form of the OpenAI API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and, in Verdict, whether the request may have run.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

// WriteError answers with an error body and the verdict header. A positive retryAfter sets Retry-After, rounded up to
// whole seconds.
func WriteError(ctx *fasthttp.RequestCtx, status int, known verdict.Verdict, code, message string, retryAfter time.Duration) {
	ctx.Response.Header.Set(verdict.Header, known.String())
	if retryAfter > 0 {
		seconds := int((retryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	kind := "server_error"
	if status < fasthttp.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	WriteJSON(ctx, status, ErrorBody{Error: ErrorDetail{Message: message, Type: kind, Code: code, Verdict: known.String()}})
}

// DecodeJSON decodes the request's body into target. If that fails, it answers with status 400 and returns false.
func DecodeJSON(ctx *fasthttp.RequestCtx, target any) bool {
	if err := json.Unmarshal(ctx.PostBody(), target); err != nil {
		WriteError(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_body", "the body is no valid JSON of this form: "+err.Error(), 0)
		return false
	}
	return true
}
