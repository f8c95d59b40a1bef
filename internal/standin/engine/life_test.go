package engine

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine/text"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/servertest"
	"github.com/tamarindring/tamarindring/internal/standin/weightstore"
)

// await polls until a condition holds. If it never does, the timeout of the test run ends the test.
func await(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// TestDrainFinishesStreamsInFlight guards against a drain that cuts a running stream or leaves the listener open.
func TestDrainFinishesStreamsInFlight(t *testing.T) {
	server := startServer(t, func(config *Config) { config.TimeScale = 10 })
	response := post(t, server, "/v1/completions", map[string]any{"prompt": "[tokens=100]", "stream": true, "request_id": "d"})
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(context.Background()) }()
	read := readStream(t, response.Body, 0)
	if !read.done || read.content != text.ExpectedText("[tokens=100]", 0) {
		t.Errorf("read %d tokens, [DONE] %v, want the whole answer", read.next, read.done)
	}
	http.DefaultClient.CloseIdleConnections()
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if _, err := http.Get("http://" + server.Address() + "/v1/load"); err == nil {
		t.Error("a drained stand-in still answers")
	}
}

// TestAbandonedStreamIsCancelledAfterItsGrace guards against a stream that runs to its end without a reader.
func TestAbandonedStreamIsCancelledAfterItsGrace(t *testing.T) {
	server := startServer(t, func(config *Config) { config.TimeScale, config.DetachGrace = 1, 20*time.Millisecond })
	server.SetFaults(Faults{CutAfterTokens: 2})
	first := readStream(t, post(t, server, "/v1/completions", map[string]any{"prompt": "[tokens=4000]", "stream": true, "request_id": "a"}).Body, 0)
	if first.done {
		t.Fatal("the stream was not cut")
	}
	await(func() bool { return len(server.Log()) == 1 })
	if entry := server.Log()[0]; entry.Outcome != OutcomeCancelled || entry.Tokens >= 4000 {
		t.Errorf("log entry %+v, want a cancelled request with fewer than 4000 tokens", entry)
	}
}

// TestWeightStoreThrottlesOrders checks that an order reports a throttled read with Retry-After, and that a swap to a
// staged version does not read it again.
func TestWeightStoreThrottlesOrders(t *testing.T) {
	store, err := weightstore.New(weightstore.Config{Listen: "127.0.0.1:0", ReadsPerSecond: 0.001, Burst: 2, Log: logging.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	servertest.Run(t, store)
	store.Put(weightstore.Version{Version: "v2", VersionNumber: 2})
	server := startServer(t, func(config *Config) { config.WeightStore = store.Address() })
	order := func(version string, number uint64, stage bool) *http.Response {
		return post(t, server, "/v1/admin/weights", weightsOrder{Version: version, VersionNumber: number, Fence: 1, Stage: stage})
	}
	if got := order("v9", 9, false); got.StatusCode != http.StatusNotFound {
		t.Errorf("unknown version: status %d, want 404", got.StatusCode)
	}
	if got := order("v2", 2, true); got.StatusCode != http.StatusOK {
		t.Errorf("stage order: status %d, want 200", got.StatusCode)
	}
	if version, _ := server.Served(); version != "v1" {
		t.Errorf("served %q after staging only, want v1", version)
	}
	if got := order("v2", 2, false); got.StatusCode != http.StatusOK {
		t.Errorf("swap to a staged version: status %d, want 200 without another read", got.StatusCode)
	}
	if version, _ := server.Served(); version != "v2" {
		t.Errorf("served %q after the swap, want v2", version)
	}
	throttled := order("v3", 3, false)
	if throttled.StatusCode != http.StatusTooManyRequests || throttled.Header.Get("Retry-After") == "" {
		t.Errorf("third read: status %d, Retry-After %q, want 429 with a value", throttled.StatusCode, throttled.Header.Get("Retry-After"))
	}
}
