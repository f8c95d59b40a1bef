package page

import (
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// operatorKey is where a request keeps the name of the operator whose token it showed.
const operatorKey = "operator"

// admitOperator answers a request without an operator's token and returns false. The challenge makes a
// browser ask for a name, which does not matter, and a password, which is the token.
func (s *Server) admitOperator(ctx *fasthttp.RequestCtx) bool {
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

// signed replaces the operator that a change names by the one whose token came with it.
func signed(ctx *fasthttp.RequestCtx, change *Change) {
	if name, known := ctx.UserValue(operatorKey).(string); known {
		change.Operator = name
	}
}
