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

// Guard checks tokens at a listener. A nil *Guard lets everybody in.
type Guard struct {
	keyring *watched[*auth.Keyring]
	log     *logrus.Entry
	told    atomic.Int64 // when a refusal was logged last, in nanoseconds
}

// NewGuard reads the accepted tokens from a file and follows its changes.
func NewGuard(path string, log *logrus.Entry) (*Guard, error) {
	keyring, err := newWatched(log, func() (*auth.Keyring, error) {
		content, err := read(path)
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

// Check returns whose token it is if its role is among those permitted. Errors: auth.ErrUnauthenticated,
// auth.ErrForbidden.
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

// tokenKey is the metadata of a drpc stream that carries the token.
const tokenKey = "authorization"

type principalKey struct{}

// FromStream returns who opened the stream that ctx belongs to; false when the listener has no guard.
func FromStream(ctx context.Context) (auth.Principal, bool) {
	principal, ok := ctx.Value(principalKey{}).(auth.Principal)
	return principal, ok
}

// Wrap returns a handler of drpc calls that lets in the roles that permitted names for each call. A nil
// Guard returns the handler as it is.
func (g *Guard) Wrap(handler drpc.Handler, permitted func(rpc string) []auth.Role) drpc.Handler {
	if g == nil {
		return handler
	}
	return &guarded{guard: g, handler: handler, permitted: permitted}
}

type guarded struct {
	guard     *Guard
	handler   drpc.Handler
	permitted func(rpc string) []auth.Role
}

// HandleRPC implements drpc.Handler.
func (h *guarded) HandleRPC(stream drpc.Stream, rpc string) error {
	metadata, _ := drpcmetadata.Get(stream.Context())
	principal, err := h.guard.Check(metadata[tokenKey], h.permitted(rpc)...)
	if err != nil {
		h.guard.tell(rpc, err)
		return drpcerr.WithCode(err, auth.RefusedCode)
	}
	return h.handler.HandleRPC(&knownStream{Stream: stream, ctx: context.WithValue(stream.Context(), principalKey{}, principal)}, rpc)
}

// tellInterval is the least time between two log lines about refused streams.
const tellInterval = 10 * time.Second

// tell logs a refused stream, unless one was logged a moment ago: who is refused tries again and again.
func (g *Guard) tell(rpc string, reason error) {
	now, last := time.Now().UnixNano(), g.told.Load()
	if now-last >= int64(tellInterval) && g.told.CompareAndSwap(last, now) {
		g.log.Warnf("refused a stream to %s: %v", rpc, reason)
	}
}

// knownStream is a stream whose context knows who opened it.
type knownStream struct {
	drpc.Stream
	ctx context.Context
}

// Context implements drpc.Stream.
func (s *knownStream) Context() context.Context { return s.ctx }

// RawFlush passes a manual flush on to the stream beneath.
func (s *knownStream) RawFlush() error {
	if flusher, ok := s.Stream.(interface{ RawFlush() error }); ok {
		return flusher.RawFlush()
	}
	return nil
}

// WarnIfOpen logs a plain warning when a listener can be reached from other machines without tokens.
func (g *Guard) WarnIfOpen(log *logrus.Entry, what string, address net.Addr) {
	if tcp, ok := address.(*net.TCPAddr); g == nil && ok && !tcp.IP.IsLoopback() {
		log.Warnf("%s on %s is open to everybody who can reach it: no tokens are asked for (see docs/operations/keys.md)", what, address)
	}
}
