package coordinator

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/credentials/credentialtest"
	"github.com/tamarindring/tamarindring/internal/logging"
)

func TestTrainersAreAdmittedUnderTheirOwnNameOnly(t *testing.T) {
	path, tokens := credentialtest.WriteTokens(t, t.TempDir(), map[string]auth.Role{"wording": auth.Trainer, "other": auth.Trainer,
		"alice": auth.Operator, "c1": auth.Node, "shop": auth.Caller})
	tokens["none"] = ""
	guard, err := credentials.NewGuard(path, logging.Discard())
	must(t, err)
	server := &Server{config: Config{Guard: guard}}
	server.leaving.Store(true) // requests with a valid token are rejected as draining
	for name, token := range tokens {
		for _, target := range []string{"PUT /v1/trainers/wording/steps/1", "POST /v1/trainers/wording/fetch", "POST /v1/trainers/wording/versions", "GET /v1/stats", "POST " + handOverPath, "GET " + poolStatusPath + "copy"} {
			var method, url string
			_, _ = fmt.Sscan(target, &method, &url)
			if strings.HasPrefix(url, "/v1/coordinators/") && name == "c1" {
				continue // authorized; serving it needs a session with the control nodes
			}
			request := httptest.NewRequest(method, url, nil)
			request.Header.Set("Authorization", "Bearer "+token)
			answer := httptest.NewRecorder()
			server.routes().ServeHTTP(answer, request)
			want := http.StatusForbidden
			switch {
			case name == "none":
				want = http.StatusUnauthorized
			case url == "/v1/stats" && name != "shop":
				want = http.StatusOK
			case strings.HasPrefix(url, "/v1/trainers/") && name == "wording":
				want = http.StatusServiceUnavailable
			}
			if answer.Code != want {
				t.Errorf("%s with the token of %s: status %d, want %d", target, name, answer.Code, want)
			}
		}
	}
}
