package page

import (
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// operatorKey is the key of a request's user value that holds the name of the authenticated operator.
const operatorKey = "operator"

// authenticateOperator checks a request's token. It answers a request without an operator's token and returns false.
// The challenge makes a browser ask for a user name, which is ignored, and a password, which is the token.
func (s *Server) authenticateOperator(ctx *fasthttp.RequestCtx) bool {
	if s.config.Guard == nil {
		return true
	}
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	principal, err := s.config.Guard.Check(auth.FromHeader(header), auth.Operator)
	if err != nil {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, `Basic realm="tamarindring: the password is an operator's token"`)
		writeError(ctx, http.StatusUnauthorized, err.Error(), verdict.DidNotRun.String())
		return false
	}
	ctx.SetUserValue(operatorKey, principal.Name)
	return true
}

// setAuthenticatedOperator replaces the operator that a change names by the one whose token came with the request.
func setAuthenticatedOperator(ctx *fasthttp.RequestCtx, change *Change) {
	if name, known := ctx.UserValue(operatorKey).(string); known {
		change.Operator = name
	}
}
