package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/credentials/credentialtest"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// guardWithAllRoles returns a guard and a token of each role.
func guardWithAllRoles(t *testing.T) (*credentials.Guard, map[auth.Role]string) {
	t.Helper()
	path, byName := credentialtest.WriteTokens(t, t.TempDir(), credentialtest.OneOfEach())
	tokens := map[auth.Role]string{}
	for name, token := range byName {
		tokens[auth.Role(name)] = token
	}
	guard, err := credentials.NewGuard(path, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return guard, tokens
}

func TestOnlyTokensOfTheRightRoleAreAdmitted(t *testing.T) {
	guard, tokens := guardWithAllRoles(t)
	f := newFixture(t, 0, 1, 1, func(c *Config) { c.Guard = guard })
	tokens["nobody"], tokens["wrong"] = "", tokens[auth.Caller]+"x"
	for path, permitted := range map[string][]auth.Role{
		"POST /v1/pools/push/push": {auth.Caller, auth.Node},
		"POST /v1/completions":     {auth.Caller, auth.Node},
		"GET /v1/models":           {auth.Caller, auth.Node, auth.Operator},
		"GET /v1/log":              {auth.Operator, auth.Node},
		"GET /metrics":             {auth.Operator, auth.Node},
		"GET /readyz":              {auth.Caller, auth.Node, auth.Operator, auth.Trainer, "nobody", "wrong"},
	} {
		for role, token := range tokens {
			open := false
			for _, one := range permitted {
				open = open || one == role
			}
			key := fmt.Sprintf("%s-%s", strings.ReplaceAll(path, "/", "_"), role)
			f.expectAdmission(t, path, key, token, open)
		}
	}
	for _, execution := range f.apps[0].Log() {
		if !strings.HasSuffix(execution.Key, string(auth.Caller)) && !strings.HasSuffix(execution.Key, string(auth.Node)) {
			t.Errorf("a request of %s ran", execution.Key)
		}
	}
	if len(f.apps[0].Log()) != 2 {
		t.Errorf("%d requests ran, want those of the caller and the node", len(f.apps[0].Log()))
	}
}

// expectAdmission sends a request and fails unless it was let in or refused as it should be.
func (f *fixture) expectAdmission(t *testing.T, target, key, token string, open bool) {
	t.Helper()
	method, path, _ := strings.Cut(target, " ")
	request, err := http.NewRequest(method, "http://"+f.gateways[0].Address()+path, strings.NewReader(`{"model":"copy"}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(HeaderKey, key)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	shut := response.StatusCode == http.StatusUnauthorized || response.StatusCode == http.StatusForbidden
	if shut == open {
		t.Errorf("%s with %q: status %d", target, key, response.StatusCode)
	}
	if shut && response.Header.Get(verdict.Header) != verdict.DidNotRun.String() {
		t.Errorf("%s with %q: verdict %q", target, key, response.Header.Get(verdict.Header))
	}
}
