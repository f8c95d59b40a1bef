package metrics

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// fakeProcess is ready or not as the test says.
type fakeProcess struct {
	reason  error
	counter prometheus.Counter
}

func (f *fakeProcess) Ready(context.Context) error     { return f.reason }
func (f *fakeProcess) Collector() prometheus.Collector { return f.counter }

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

func TestAdminTellsTheTruthFromStartToDrain(t *testing.T) {
	admin, err := Open(Config{Listen: "127.0.0.1:0", Role: "gateway", Name: "g1"})
	if err != nil {
		t.Fatal(err)
	}
	defer admin.Close()
	expect := func(path string, status int, part string) {
		t.Helper()
		if got, body := get(t, admin, path); got != status || !strings.Contains(body, part) {
			t.Fatalf("%s: %d %q, want %d with %q", path, got, body, status, part)
		}
	}
	expect("/readyz", 503, "starting")
	expect("/healthz", 200, "ok")
	expect("/metrics", 200, "tamarindring_ready 0")
	process := &fakeProcess{counter: prometheus.NewCounter(prometheus.CounterOpts{Name: "tamarindring_gateway_things_total"})}
	if err := admin.Show(process); err != nil {
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
	if admin.Show(process) == nil {
		t.Fatal("a second process was taken")
	}
	response, err := http.Post("http://"+admin.Address()+"/metrics", "", nil)
	if err != nil || response.StatusCode != http.StatusMethodNotAllowed {
		t.Fatalf("%v %v", response, err)
	}
	_ = response.Body.Close()
}

func TestAdminOnAPortInUseIsRefused(t *testing.T) {
	first, err := Open(Config{Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if _, err := Open(Config{Listen: first.Address()}); err == nil || !strings.Contains(err.Error(), first.Address()) {
		t.Fatalf("got %v", err)
	}
}
