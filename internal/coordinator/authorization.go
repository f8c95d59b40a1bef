package coordinator

import (
	"errors"
	"net/http"

	"github.com/tamarindring/tamarindring/internal/auth"
)

const authorizationHeader = "Authorization"

// setAuthorization adds this process's token, if it has one, to a request to another process of this system.
func setAuthorization(request *http.Request, authorization string) {
	if authorization != "" {
		request.Header.Set(authorizationHeader, authorization)
	}
}

// checkToken rejects a request whose token does not have one of the roles. A trainer's token is accepted only for the
// trainer's own name, unless name is empty.
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
