package metrics

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/credentials/credentialtest"
	"github.com/tamarindring/tamarindring/internal/logging"
)

// fakeProcess has the readiness that the test sets.
type fakeProcess struct {
	reason  error
	counter prometheus.Counter
}

func (f *fakeProcess) Ready(context.Context) error     { return f.reason }
func (f *fakeProcess) Collector() prometheus.Collector { return f.counter }

// get returns the status and the body of a GET request to the listener.
func get(t *testing.T, admin *Admin, path string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + admin.Address() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// TestAdminReportsReadinessFromStartToDrain guards against a listener that does not answer before the process serves, that
// reports a wrong readiness while the process starts, serves or drains, or that lacks the process's metrics.
func TestAdminReportsReadinessFromStartToDrain(t *testing.T) {
	admin, err := Open(Config{Listen: "127.0.0.1:0", Role: "gateway", Name: "g1"})
	if err != nil {
		t.Fatal(err)
	}
	defer admin.Close()
	expect := func(path string, status int, part string) {
		t.Helper()
		if got, body := get(t, admin, path); got != status || !strings.Contains(body, part) {
			t.Fatalf("%s: got status %d and body %q, want status %d and a body with %q", path, got, body, status, part)
		}
	}
	expect("/readyz", 503, "starting")
	expect("/healthz", 200, "ok")
	expect("/metrics", 200, "tamarindring_ready 0")
	process := &fakeProcess{counter: prometheus.NewCounter(prometheus.CounterOpts{Name: "tamarindring_gateway_things_total"})}
	if err := admin.SetProcess(process); err != nil {
		t.Fatal(err)
	}
	expect("/readyz", 200, "ready")
	expect("/metrics", 200, "tamarindring_ready 1")
	expect("/metrics", 200, "tamarindring_gateway_things_total 0")
	expect("/metrics", 200, `tamarindring_build_info{`)
	process.reason = errors.New("draining")
	expect("/readyz", 503, "draining")
	expect("/metrics", 200, "tamarindring_ready 0")
	expect("/debug/pprof/goroutine?debug=1", 200, "goroutine profile")
	expect("/debug/pprof/profile?seconds=1", 200, "")
	expect("/elsewhere", 404, "/metrics")
	if admin.SetProcess(process) == nil {
		t.Fatal("SetProcess accepted a second process")
	}
	response, err := http.Post("http://"+admin.Address()+"/metrics", "", nil)
	if err != nil || response.StatusCode != http.StatusMethodNotAllowed {
		t.Fatalf("POST: got response %v and error %v, want status 405", response, err)
	}
	_ = response.Body.Close()
}

// TestAdminOnAPortInUseFailsToOpen guards against an error that does not name the address in use.
func TestAdminOnAPortInUseFailsToOpen(t *testing.T) {
	first, err := Open(Config{Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if _, err := Open(Config{Listen: first.Address()}); err == nil || !strings.Contains(err.Error(), first.Address()) {
		t.Fatalf("got error %v, want one that names the address", err)
	}
}

// TestAdminRequiresTokensExceptForHealth guards against metrics and profiles that are readable without a token of an
// operator or a node, and against health and readiness that need a token.
func TestAdminRequiresTokensExceptForHealth(t *testing.T) {
	path, tokens := credentialtest.WriteTokens(t, t.TempDir(), credentialtest.OneHolderPerRole())
	guard, err := credentials.NewGuard(path, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	admin, err := Open(Config{Listen: "127.0.0.1:0", Guard: guard})
	if err != nil {
		t.Fatal(err)
	}
	defer admin.Close()
	tokens["nobody"] = ""
	for name, token := range tokens {
		mayObserve := name == string(auth.Operator) || name == string(auth.Node)
		for path, open := range map[string]bool{"/healthz": true, "/readyz": true, "/metrics": mayObserve, "/debug/pprof/": mayObserve} {
			request, err := http.NewRequest(http.MethodGet, "http://"+admin.Address()+path, nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer "+token)
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if (response.StatusCode != http.StatusUnauthorized) != open {
				t.Errorf("%s with the token %s: got an unexpected status %d", path, name, response.StatusCode)
			}
		}
	}
}
