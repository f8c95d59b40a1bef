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

// newGuardWithAllRoles returns a guard and a token for each role.
func newGuardWithAllRoles(t *testing.T) (*credentials.Guard, map[auth.Role]string) {
	t.Helper()
	path, byName := credentialtest.WriteTokens(t, t.TempDir(), credentialtest.OneHolderPerRole())
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

// TestOnlyTokensOfTheRightRoleAreAdmitted guards against requests that run, or reveal state, with a missing, wrong
// or insufficient token.
func TestOnlyTokensOfTheRightRoleAreAdmitted(t *testing.T) {
	guard, tokens := newGuardWithAllRoles(t)
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
			allowed := false
			for _, one := range permitted {
				allowed = allowed || one == role
			}
			key := fmt.Sprintf("%s-%s", strings.ReplaceAll(path, "/", "_"), role)
			f.requireAdmission(t, path, key, token, allowed)
		}
	}
	for _, execution := range f.apps[0].Log() {
		if !strings.HasSuffix(execution.Key, string(auth.Caller)) && !strings.HasSuffix(execution.Key, string(auth.Node)) {
			t.Errorf("the request with key %s ran without permission", execution.Key)
		}
	}
	if len(f.apps[0].Log()) != 2 {
		t.Errorf("%d requests ran, want 2: the caller's and the node's", len(f.apps[0].Log()))
	}
}

// requireAdmission sends a request and fails unless it is admitted or refused as expected.
func (f *fixture) requireAdmission(t *testing.T, target, key, token string, allowed bool) {
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
	refused := response.StatusCode == http.StatusUnauthorized || response.StatusCode == http.StatusForbidden
	if refused == allowed {
		t.Errorf("%s with key %q: got status %d, which does not match the permitted roles", target, key, response.StatusCode)
	}
	if refused && response.Header.Get(verdict.Header) != verdict.DidNotRun.String() {
		t.Errorf("%s with key %q: got verdict %q, want did-not-run", target, key, response.Header.Get(verdict.Header))
	}
}
