// Package endpoint is the HTTP listener that the stand-ins share: it can be drained, closed abruptly and
// taken down for a while like a crashed process.
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

// DefaultMaxBody bounds a request's body unless Config says otherwise.
const DefaultMaxBody = 64 << 20

// Config holds an endpoint's settings.
type Config struct {
	// Listen is IP:port; port 0 takes a free one. Ignored when Listener is set.
	Listen string
	// Listener is an already bound listener; the endpoint closes it.
	Listener net.Listener
	// Handler serves the requests. Required.
	Handler fasthttp.RequestHandler
	// StreamBody hands large bodies to the handler as a stream.
	StreamBody bool
	// MaxBody bounds a body in bytes. Default DefaultMaxBody.
	MaxBody int
	// Log receives the server's complaints. Required.
	Log *logrus.Entry
}

// Endpoint is one HTTP listener.
type Endpoint struct {
	listener *trackedListener
	server   *fasthttp.Server

	mutex   sync.Mutex
	drained chan struct{} // set when a drain begins, closed when it is over

	closed  chan struct{}
	closing sync.Once
}

// New binds the listener; nothing is served before Run.
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
		listener: &trackedListener{Listener: listener, open: make(map[*trackedConnection]struct{})},
		server: &fasthttp.Server{
			Handler: naming(config.Handler), Logger: quietLogger{config.Log}, NoDefaultServerHeader: true,
			StreamRequestBody: config.StreamBody, MaxRequestBodySize: config.MaxBody, CloseOnShutdown: true,
			ReadTimeout: time.Minute, IdleTimeout: 2 * time.Minute,
		},
	}, nil
}

const headerRequestID = "X-Request-Id"

// naming lets every answer name its request, so that gateways keep the connection for the next one.
func naming(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		id := string(ctx.Request.Header.Peek(headerRequestID))
		handler(ctx)
		if id != "" {
			ctx.Response.Header.Set(headerRequestID, id)
		}
	}
}

// Address is the bound IP:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Closed is closed once the endpoint stops: handlers that wait give up then.
func (e *Endpoint) Closed() <-chan struct{} { return e.closed }

func (e *Endpoint) stop() { e.closing.Do(func() { close(e.closed) }) }

// Run serves until ctx ends, then closes abruptly; a drained or closed endpoint returns nil. It returns
// only after a drain that has begun is over.
func (e *Endpoint) Run(ctx context.Context) error {
	defer e.stop()
	stop := context.AfterFunc(ctx, func() { _ = e.Close() })
	defer stop()
	err := e.server.Serve(e.listener)
	if draining := e.draining(); draining != nil {
		<-draining
	}
	if err == nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Drain stops accepting and waits for the requests in flight.
func (e *Endpoint) Drain(ctx context.Context) error {
	defer e.stop()
	e.mutex.Lock()
	first := e.drained == nil
	if first {
		e.drained = make(chan struct{})
	}
	e.mutex.Unlock()
	err := e.server.ShutdownWithContext(ctx)
	if first {
		close(e.drained)
	}
	return trace.Wrap(err)
}

func (e *Endpoint) draining() <-chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.drained
}

// Close cuts every connection and stops accepting.
func (e *Endpoint) Close() error {
	e.stop()
	err := e.listener.Close()
	e.listener.cutAll()
	return err
}

// SetDown makes the endpoint behave as if its process were dead: connections are cut, new ones closed at
// once. With down false it serves again.
func (e *Endpoint) SetDown(down bool) {
	e.listener.mutex.Lock()
	e.listener.down = down
	e.listener.mutex.Unlock()
	if down {
		e.listener.cutAll()
	}
}

type trackedListener struct {
	net.Listener
	mutex sync.Mutex
	open  map[*trackedConnection]struct{}
	down  bool
}

type trackedConnection struct {
	net.Conn
	listener *trackedListener
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked := &trackedConnection{Conn: connection, listener: l}
		if l.admit(tracked) {
			return tracked, nil
		}
		reset(connection)
	}
}

func (l *trackedListener) admit(connection *trackedConnection) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return false
	}
	l.open[connection] = struct{}{}
	return true
}

func (l *trackedListener) cutAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.open {
		reset(connection.Conn)
	}
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// Cut closes a request's connection abruptly, so that the client sees a reset and no proper end.
func Cut(connection net.Conn) {
	if tracked, ok := connection.(*trackedConnection); ok {
		reset(tracked.Conn)
		return
	}
	reset(connection)
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// quietLogger passes fasthttp's complaints, which injected faults cause by the thousand, to debug level.
type quietLogger struct{ log *logrus.Entry }

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(format string, arguments ...any) { l.log.Debugf(format, arguments...) }

// WriteJSON answers with a JSON body.
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

// ErrorBody is the OpenAI form of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong and whether the request ran.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

// Refuse answers with an error body and the verdict header. A retryAfter above 0 sets Retry-After, in
// whole seconds rounded up.
func Refuse(ctx *fasthttp.RequestCtx, status int, known verdict.Verdict, code, message string, retryAfter time.Duration) {
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

// DecodeJSON reads the request's body into target, or answers 400 and returns false.
func DecodeJSON(ctx *fasthttp.RequestCtx, target any) bool {
	if err := json.Unmarshal(ctx.PostBody(), target); err != nil {
		Refuse(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_body", "the body is no valid JSON of this form: "+err.Error(), 0)
		return false
	}
	return true
}
