package coordinator

import (
	"errors"
	"net/http"

	"github.com/tamarindring/tamarindring/internal/auth"
)

const authorizationHeader = "Authorization"

// showToken puts the token of this process, if it has one, on a request to another process of ours.
func showToken(request *http.Request, authorization string) {
	if authorization != "" {
		request.Header.Set(authorizationHeader, authorization)
	}
}

// checkToken refuses a request whose token does not permit it. Roles are those that may ask; a trainer's
// token is good for its own name only, unless name is empty.
func (s *Server) checkToken(request *http.Request, name string, roles ...auth.Role) *refusal {
	if s.config.Guard == nil {
		return nil
	}
	principal, err := s.config.Guard.Check(auth.FromHeader(request.Header.Get(authorizationHeader)), roles...)
	switch {
	case errors.Is(err, auth.ErrForbidden):
		return &refusal{status: http.StatusForbidden, code: CodeForbidden, message: err.Error()}
	case err != nil:
		return &refusal{status: http.StatusUnauthorized, code: CodeUnauthenticated, message: err.Error()}
	case principal.Role == auth.Trainer && name != "" && principal.Name != name:
		return &refusal{status: http.StatusForbidden, code: CodeForbidden, message: "the token is that of trainer " + principal.Name}
	}
	return nil
}

// handleStats serves GET /v1/stats.
func (s *Server) handleStats(writer http.ResponseWriter, request *http.Request) {
	if refused := s.checkToken(request, "", auth.Operator, auth.Node, auth.Trainer); refused != nil {
		refused.write(writer)
		return
	}
	writeJSON(writer, http.StatusOK, s.Stats())
}
