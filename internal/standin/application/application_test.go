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
	// Both belong to fasthttp: a process-wide clock, and a cleaner that notices the stop after its sleep.
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
			t.Errorf("answer %+v", answer)
		}
	}
	if server.Executions("key-1") != 2 || len(server.Log()) != 2 {
		t.Errorf("a second run of the key must show: %d executions", server.Executions("key-1"))
	}
}

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
		t.Errorf("hash %s", answer.BodyHash)
	}
}

func TestCrashAfterRunCountsAndDropBeforeRunDoesNot(t *testing.T) {
	server := startServer(t, Config{})
	server.SetFaults(Faults{CrashAfterRunProbability: 1})
	if _, err := invoke(t, server, "push", "after", ""); err == nil {
		t.Error("an answer came through a crash")
	}
	server.SetFaults(Faults{CrashBeforeRunProbability: 1})
	if _, err := invoke(t, server, "push", "before", ""); err == nil {
		t.Error("an answer came through a crash")
	}
	if after, before := server.Executions("after"), server.Executions("before"); after == 0 || before != 0 {
		t.Errorf("executions: %d after, %d before", after, before)
	}
}

func TestRefusalsDidNotRun(t *testing.T) {
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
		t.Errorf("statuses %v", statuses)
	}
	for _, response := range []*http.Response{refused, late, bad} {
		if response.Header.Get(verdict.Header) != verdict.DidNotRun.String() {
			t.Errorf("verdict %q", response.Header.Get(verdict.Header))
		}
	}
	if server.Executions("refused")+server.Executions("late") != 0 || server.LateArrivals().Count != 1 {
		t.Errorf("late arrivals %+v", server.LateArrivals())
	}
}
