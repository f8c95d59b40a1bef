package weightstore

import (
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/servertest"
)

func startServer(t *testing.T, config Config) *Server {
	t.Helper()
	config.Listen, config.Log = "127.0.0.1:0", logging.Discard()
	server, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	servertest.Run(t, server)
	return server
}

// send sends a request for a version and returns the answer, whose body is closed.
func send(t *testing.T, server *Server, method, name, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+server.Address()+"/v1/versions/"+name, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response
}

// TestWritesAndLimitedReads checks writes, reads and the answer to a read above the limit, which needs a Retry-After.
func TestWritesAndLimitedReads(t *testing.T) {
	server := startServer(t, Config{ReadsPerSecond: 0.001, Burst: 2})
	if got := send(t, server, http.MethodPut, "v1", `{"version":"v1","version_number":1}`); got.StatusCode != http.StatusOK {
		t.Errorf("write: status %d, want 200", got.StatusCode)
	}
	if got := send(t, server, http.MethodPut, "v2", `{"version":"v1"}`); got.StatusCode != http.StatusBadRequest {
		t.Errorf("write under another name: status %d, want 400", got.StatusCode)
	}
	if got := send(t, server, http.MethodGet, "v1", ""); got.StatusCode != http.StatusOK {
		t.Errorf("read: status %d, want 200", got.StatusCode)
	}
	if got := send(t, server, http.MethodGet, "v9", ""); got.StatusCode != http.StatusNotFound {
		t.Errorf("unknown version: status %d, want 404", got.StatusCode)
	}
	throttled := send(t, server, http.MethodGet, "v1", "")
	if throttled.StatusCode != http.StatusTooManyRequests || throttled.Header.Get("Retry-After") == "" {
		t.Errorf("third read: status %d, Retry-After %q, want 429 with a value", throttled.StatusCode, throttled.Header.Get("Retry-After"))
	}
	if stats := server.Stats(); stats.Throttled != 1 || stats.Writes != 1 {
		t.Errorf("stats %+v, want 1 throttled read and 1 write", stats)
	}
}
