package application

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/servertest"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

func TestMain(m *testing.M) {
	// Goroutines of fasthttp that outlive a server: its process-wide clock, and the cleaner of the worker pool, which
	// ends only after its sleep.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

func startServer(t *testing.T, config Config) *Server {
	t.Helper()
	config.Name, config.Listen, config.Log, config.ServiceTime = "push-1", "127.0.0.1:0", logging.Discard(), -1
	server, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	servertest.Run(t, server)
	return server
}

func invoke(t *testing.T, server *Server, operation, key, body string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/v1/invoke/"+operation, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		t.Cleanup(func() { response.Body.Close() })
	}
	return response, err
}

// TestInvokeAnswersWithChecksumAndLogsEveryRun guards against a stand-in that hides a second execution of the same key.
func TestInvokeAnswersWithChecksumAndLogsEveryRun(t *testing.T) {
	server := startServer(t, Config{})
	for range 2 {
		response, err := invoke(t, server, "push", "key-1", "buzz")
		if err != nil {
			t.Fatal(err)
		}
		var answer Answer
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			t.Fatal(err)
		}
		hash := BodyHash([]byte("buzz"))
		if answer.BodyHash != hash || answer.Checksum != Checksum("push", "key-1", hash) {
			t.Errorf("answer %+v, want the hash of the body and the checksum of the call", answer)
		}
	}
	if server.Executions("key-1") != 2 || len(server.Log()) != 2 {
		t.Errorf("%d executions of the key, want 2 and as many log entries", server.Executions("key-1"))
	}
}

// TestLargeBodyIsHashedWhole guards against a hash of only the first part of a streamed body.
func TestLargeBodyIsHashedWhole(t *testing.T) {
	server := startServer(t, Config{})
	audio := strings.Repeat("0123456789", 1<<20)
	response, err := invoke(t, server, "join", "large", audio)
	if err != nil {
		t.Fatal(err)
	}
	var answer Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	if answer.BodyHash != BodyHash([]byte(audio)) {
		t.Errorf("hash %s, want that of the whole body", answer.BodyHash)
	}
}

// TestCrashAfterRunCountsAndDropBeforeRunDoesNot guards against a count of executions that does not match the injected
// crash.
func TestCrashAfterRunCountsAndDropBeforeRunDoesNot(t *testing.T) {
	server := startServer(t, Config{})
	server.SetFaults(Faults{CrashAfterRunProbability: 1})
	if _, err := invoke(t, server, "push", "after", ""); err == nil {
		t.Error("got an answer in spite of the crash")
	}
	server.SetFaults(Faults{CrashBeforeRunProbability: 1})
	if _, err := invoke(t, server, "push", "before", ""); err == nil {
		t.Error("got an answer in spite of the crash")
	}
	if after, before := server.Executions("after"), server.Executions("before"); after == 0 || before != 0 {
		t.Errorf("%d executions with a crash after the run, %d before it, want some and none", after, before)
	}
}

// TestRejectedCallsDidNotRun guards against rejected calls that execute or lack the verdict did-not-run.
func TestRejectedCallsDidNotRun(t *testing.T) {
	server := startServer(t, Config{})
	server.SetFaults(Faults{RefuseProbability: 1})
	refused, err := invoke(t, server, "push", "refused", "")
	if err != nil {
		t.Fatal(err)
	}
	server.SetFaults(Faults{})
	server.Leave()
	late, err := invoke(t, server, "push", "late", "")
	if err != nil {
		t.Fatal(err)
	}
	bad, err := invoke(t, server, "dance", "bad", "")
	if err != nil {
		t.Fatal(err)
	}
	statuses := [...]int{refused.StatusCode, late.StatusCode, bad.StatusCode}
	if statuses != [...]int{503, 503, 400} {
		t.Errorf("statuses %v, want 503, 503 and 400", statuses)
	}
	for _, response := range []*http.Response{refused, late, bad} {
		if response.Header.Get(verdict.Header) != verdict.DidNotRun.String() {
			t.Errorf("verdict %q, want did-not-run", response.Header.Get(verdict.Header))
		}
	}
	if server.Executions("refused")+server.Executions("late") != 0 || server.LateArrivals().Count != 1 {
		t.Errorf("late arrivals %+v, want 1 and no execution", server.LateArrivals())
	}
}
