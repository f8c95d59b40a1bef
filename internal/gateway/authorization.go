package gateway

import (
	"errors"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/auth"
)

// Error codes of the tokens.
const (
	CodeUnauthenticated = "unauthenticated"
	CodeForbidden       = "forbidden"
)

// Who may do what at a gateway.
var (
	mayCall    = []auth.Role{auth.Caller, auth.Node}
	mayObserve = []auth.Role{auth.Operator, auth.Node}
	mayList    = []auth.Role{auth.Caller, auth.Node, auth.Operator}
)

// permitted returns the roles that a request is open to; nil for everybody.
func permitted(ctx *fasthttp.RequestCtx) []auth.Role {
	if ctx.IsPost() {
		return mayCall
	}
	switch string(ctx.Path()) {
	case "/healthz", "/readyz":
		return nil
	case "/v1/models":
		return mayList
	}
	return mayObserve
}

// admitToken answers a request whose token does not permit it and returns false. Nothing of its body is
// read.
func (s *Server) admitToken(ctx *fasthttp.RequestCtx) bool {
	if s.config.Guard == nil {
		return true
	}
	roles := permitted(ctx)
	if roles == nil {
		return true
	}
	_, err := s.config.Guard.Check(auth.FromHeader(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))), roles...)
	if err == nil {
		return true
	}
	status, code := http.StatusUnauthorized, CodeUnauthenticated
	if errors.Is(err, auth.ErrForbidden) {
		status, code = http.StatusForbidden, CodeForbidden
	}
	ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	writeRefusal(ctx, status, code, err.Error())
	s.counts.refusedTokens.WithLabelValues(code).Inc()
	s.linger(ctx)
	return false
}
