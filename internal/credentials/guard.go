package credentials

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmetadata"

	"github.com/tamarindring/tamarindring/internal/auth"
)

// Guard checks the tokens of requests and streams at a listener. A nil *Guard accepts everyone.
type Guard struct {
	keyring          *reloader[*auth.Keyring]
	log              *logrus.Entry
	lastRejectionLog atomic.Int64 // when a rejection was last logged, in Unix nanoseconds
}

// NewGuard reads the accepted tokens from a file and follows its changes. Errors: trace.BadParameter for an
// unreadable or invalid file.
func NewGuard(path string, log *logrus.Entry) (*Guard, error) {
	keyring, err := newReloader(log, func() (*auth.Keyring, error) {
		content, err := readFile(path)
		if err != nil {
			return nil, err
		}
		return auth.Parse(path, content)
	}, path)
	if err != nil {
		return nil, err
	}
	log.Infof("%d tokens are accepted", keyring.value.Len())
	return &Guard{keyring: keyring, log: log}, nil
}

// Check returns the owner of a token if its role is one of those permitted. Errors: auth.ErrUnauthenticated for an
// invalid token, auth.ErrForbidden for another role.
func (g *Guard) Check(token string, permitted ...auth.Role) (auth.Principal, error) {
	principal, err := g.keyring.get().Authenticate(token, time.Now())
	if err != nil {
		return auth.Principal{}, err
	}
	if !slices.Contains(permitted, principal.Role) {
		return auth.Principal{}, auth.ErrForbidden
	}
	return principal, nil
}

// tokenKey is the drpc metadata key of the token.
const tokenKey = "authorization"

// principalKey is the context key of the principal that opened a stream.
type principalKey struct{}

// FromStream returns the principal that opened the stream with context ctx, or false if the listener has no guard.
func FromStream(ctx context.Context) (auth.Principal, bool) {
	principal, ok := ctx.Value(principalKey{}).(auth.Principal)
	return principal, ok
}

// Wrap returns a drpc handler that rejects each call unless its token has one of the roles that permitted returns for
// the name of the RPC. Rejected calls fail with code auth.RejectedTokenCode. A nil Guard returns handler unchanged.
func (g *Guard) Wrap(handler drpc.Handler, permitted func(rpc string) []auth.Role) drpc.Handler {
	if g == nil {
		return handler
	}
	return &guardedHandler{guard: g, handler: handler, permitted: permitted}
}

// guardedHandler is a drpc handler behind a guard.
type guardedHandler struct {
	guard     *Guard
	handler   drpc.Handler
	permitted func(rpc string) []auth.Role
}

// HandleRPC implements drpc.Handler.
func (h *guardedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	metadata, _ := drpcmetadata.Get(stream.Context())
	principal, err := h.guard.Check(metadata[tokenKey], h.permitted(rpc)...)
	if err != nil {
		h.guard.logRejection(rpc, err)
		return drpcerr.WithCode(err, auth.RejectedTokenCode)
	}
	return h.handler.HandleRPC(&authenticatedStream{Stream: stream, ctx: context.WithValue(stream.Context(), principalKey{}, principal)}, rpc)
}

// rejectionLogInterval is the minimum time between two log lines about rejected streams.
const rejectionLogInterval = 10 * time.Second

// logRejection logs a rejected stream, unless another was logged within rejectionLogInterval: a rejected peer retries
// all the time.
func (g *Guard) logRejection(rpc string, reason error) {
	now, last := time.Now().UnixNano(), g.lastRejectionLog.Load()
	if now-last >= int64(rejectionLogInterval) && g.lastRejectionLog.CompareAndSwap(last, now) {
		g.log.Warnf("rejected a stream to %s: %v", rpc, reason)
	}
}

// authenticatedStream is a stream whose context contains the principal that opened it.
type authenticatedStream struct {
	drpc.Stream
	ctx context.Context
}

// Context implements drpc.Stream.
func (s *authenticatedStream) Context() context.Context { return s.ctx }

// RawFlush flushes the underlying stream, if it supports manual flushes.
func (s *authenticatedStream) RawFlush() error {
	if flusher, ok := s.Stream.(interface{ RawFlush() error }); ok {
		return flusher.RawFlush()
	}
	return nil
}

// WarnIfOpen logs a warning if a listener accepts connections from other machines and g is nil, so that no tokens are
// required. what names the listener.
func (g *Guard) WarnIfOpen(log *logrus.Entry, what string, address net.Addr) {
	if tcp, ok := address.(*net.TCPAddr); g == nil && ok && !tcp.IP.IsLoopback() {
		log.Warnf("%s on %s is open to everybody who can reach it: no tokens are asked for (see docs/operations/keys.md)", what, address)
	}
}
