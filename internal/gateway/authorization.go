package gateway

import (
	"errors"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/auth"
)

// Error codes of token checks.
const (
	CodeUnauthenticated = "unauthenticated"
	CodeForbidden       = "forbidden"
)

// Roles that may use each kind of request at a gateway.
var (
	callRoles    = []auth.Role{auth.Caller, auth.Node}
	observeRoles = []auth.Role{auth.Operator, auth.Node}
	listRoles    = []auth.Role{auth.Caller, auth.Node, auth.Operator}
)

// allowedRoles returns the roles that may make a request, or nil if it needs no token.
func allowedRoles(ctx *fasthttp.RequestCtx) []auth.Role {
	if ctx.IsPost() {
		return callRoles
	}
	switch string(ctx.Path()) {
	case "/healthz", "/readyz":
		return nil
	case "/v1/models":
		return listRoles
	}
	return observeRoles
}

// authorize checks the request's token. If the token does not permit the request, it answers the request without
// reading its body and returns false.
func (s *Server) authorize(ctx *fasthttp.RequestCtx) bool {
	if s.config.Guard == nil {
		return true
	}
	roles := allowedRoles(ctx)
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
	s.metrics.refusedTokens.WithLabelValues(code).Inc()
	s.answerAndDiscardBody(ctx)
	return false
}
