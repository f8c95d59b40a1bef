package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/servertest"
	"github.com/tamarindring/tamarindring/internal/standin/application"
	"github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/workload"
)

func TestMain(m *testing.M) {
	// These goroutines belong to fasthttp: a process-wide clock, and a cleaner that notices a stop only after its sleep.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

const (
	// minCalls is the minimum number of calls that complete before runCalls returns. It is high enough that faults with
	// probabilities of 0.2 or more occur, independent of the speed of the machine.
	minCalls = 60
	// runTimeout ends a test that would otherwise hang.
	runTimeout = 20 * time.Second
)

// runCalls runs a caller against the addresses until minCalls calls have completed, waits for the calls in flight and
// returns the caller.
func runCalls(t *testing.T, source workload.Source, addresses ...string) *Caller {
	t.Helper()
	source.Name, source.Pool, source.Arrival.PerSecond = "source", "pool", 200
	load := workload.Workload{Sources: []workload.Source{source}}
	load.SetDefaults()
	caller, err := New(Config{
		Gateways: func() []string { return addresses }, Workload: load, Seed: 1, KeepCalls: 1000,
		RetryPause: time.Millisecond, MaxAttempts: 20, Log: logging.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- caller.Run(ctx) }()
	for ctx.Err() == nil && caller.Stats().Total.Requests < minCalls {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if over := caller.Stats().Total.Requests; over < minCalls {
		t.Fatalf("got %d completed calls after %s, want at least %d", over, runTimeout, minCalls)
	}
	return caller
}

func TestTruncatedStreamsAreRetriedNotAccepted(t *testing.T) {
	started, err := engine.New(engine.Config{
		Name: "e", Listen: "127.0.0.1:0", InitialVersion: "v1", InitialVersionNumber: 1, TimeScale: 100, Seed: 3, Log: logging.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	servertest.Run(t, started)
	started.SetFaults(engine.Faults{CutProbability: 0.3, CutCleanly: true})
	stats := runCalls(t, workload.Source{StreamedShare: 0.7, ChatShare: 0.5}, started.Address()).Stats()
	total := stats.Total
	if total.Answered == 0 || total.Answered != total.Requests || total.Wrong != 0 {
		t.Errorf("got stats %+v, want all calls answered and none wrong; examples %v %v", total, stats.WrongExamples, stats.FailedExamples)
	}
	if total.Resent == 0 {
		t.Errorf("got no retries, want some after truncated answers: %+v", total)
	}
	if total.FirstToken.P50 <= 0 || total.Latency.P50 < total.FirstToken.P50 {
		t.Errorf("got latency %+v and first token %+v, want 0 < first token p50 <= latency p50", total.Latency, total.FirstToken)
	}
}

func TestDuplicatedStreamChunksCountAsWrong(t *testing.T) {
	started, err := engine.New(engine.Config{
		Name: "e", Listen: "127.0.0.1:0", InitialVersion: "v1", InitialVersionNumber: 1, TimeScale: 100, Log: logging.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	servertest.Run(t, started)
	started.SetFaults(engine.Faults{DuplicateProbability: 1})
	total := runCalls(t, workload.Source{StreamedShare: 1}, started.Address()).Stats().Total
	if total.Requests == 0 || total.Wrong != total.Requests {
		t.Errorf("got stats %+v, want all calls wrong", total)
	}
}

// sendCounter counts the received requests by idempotency key.
type sendCounter struct {
	mutex sync.Mutex
	byKey map[string]int
}

func (a *sendCounter) add(key string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.byKey[key]++
}

func (a *sendCounter) sent(key string) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.byKey[key]
}

// startCountingProxy starts a proxy that forwards application calls to a replica and counts them. Unlike a gateway it
// guarantees nothing about calls that fail.
func startCountingProxy(t *testing.T, replica string) (address string, counter *sendCounter) {
	t.Helper()
	counter = &sendCounter{byKey: map[string]int{}}
	proxy := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		counter.add(request.Header.Get("Idempotency-Key"))
		forward, err := http.NewRequestWithContext(request.Context(), http.MethodPost, "http://"+replica+"/v1/invoke/push", request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		forward.Header = request.Header
		response, err := http.DefaultClient.Do(forward)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			writer.Header()[name] = values
		}
		writer.WriteHeader(response.StatusCode)
		_, _ = io.Copy(writer, response.Body)
	}))
	proxy.Config.ErrorLog = nil
	t.Cleanup(func() {
		proxy.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return proxy.Listener.Addr().String(), counter
}

func TestNonRepeatableCallsAreRecorded(t *testing.T) {
	replica, err := application.New(application.Config{Name: "a", Listen: "127.0.0.1:0", ServiceTime: -1, Seed: 2, Log: logging.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	servertest.Run(t, replica)
	replica.SetFaults(application.Faults{RefuseProbability: 0.2, CrashBeforeRunProbability: 0.2})
	proxy, counter := startCountingProxy(t, replica.Address())
	caller := runCalls(t, workload.Source{Service: workload.ServiceApplication, Operation: "push"}, proxy)
	stats := caller.Stats()
	calls := caller.Calls()
	if len(calls) == 0 || len(calls) != stats.Total.Requests || stats.Total.Wrong != 0 {
		t.Fatalf("got %d recorded calls, want one for each request and none wrong; stats %+v, examples %v", len(calls), stats.Total, stats.WrongExamples)
	}
	rejected, retried := 0, 0
	for _, call := range calls {
		executions := replica.Executions(call.Key)
		if call.Verdict == verdict.DidNotRun {
			rejected++
		}
		if call.Attempts > 1 {
			retried++
		}
		if sent := counter.sent(call.Key); sent != call.Attempts {
			t.Errorf("%+v: got %d requests at the proxy, want one for each attempt", call, sent)
		}
		if call.Answered != (executions > 0) {
			t.Errorf("%+v: got %d executions, want some exactly if the call was answered", call, executions)
		}
	}
	if rejected == 0 || retried == 0 || stats.Total.ByVerdict.DidNotRun != rejected {
		t.Errorf("got %d rejected and %d retried calls, want some of each, and all rejected ones in the stats %+v", rejected, retried, stats.Total)
	}
}

func TestAnswerForAnotherKeyCountsAsWrong(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		hash := application.BodyHash([]byte("x"))
		fmt.Fprintf(writer, `{"key":"other","checksum":%q}`, application.Checksum("push", "other", hash))
	}))
	t.Cleanup(server.Close)
	stats := runCalls(t, workload.Source{Service: workload.ServiceApplication, Operation: "push"}, server.Listener.Addr().String()).Stats()
	if stats.Total.Wrong == 0 || stats.Total.Wrong != stats.Total.Requests || len(stats.WrongExamples) == 0 {
		t.Errorf("got stats %+v, want all calls wrong and an example of them", stats.Total)
	}
}

// TestRejectionDoesNotHideThatTheDuplicateMayHaveRun guards against a key that is recorded as not run because one of
// its two concurrent sends was rejected, although the other one ran or may have run.
func TestRejectionDoesNotHideThatTheDuplicateMayHaveRun(t *testing.T) {
	for _, known := range []struct{ first, second, want verdict.Verdict }{
		{verdict.DidNotRun, verdict.MayHaveRun, verdict.MayHaveRun},
		{verdict.MayHaveRun, verdict.DidNotRun, verdict.MayHaveRun},
		{verdict.DidNotRun, verdict.Ran, verdict.Ran},
		{verdict.MayHaveRun, verdict.Ran, verdict.Ran},
		{verdict.DidNotRun, verdict.DidNotRun, verdict.DidNotRun},
	} {
		if got := combineResults(result{verdict: known.first}, result{verdict: known.second}); got.verdict != known.want {
			t.Errorf("%s and %s: got combined verdict %s", known.first, known.second, got.verdict)
		}
	}
}
