package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/standin/application"
	enginestandin "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestInvalidCallsAreRefusedAsNotRun guards against invalid calls that run or get another verdict than "did not
// run".
func TestInvalidCallsAreRefusedAsNotRun(t *testing.T) {
	f := newFixture(t, 1, 1, 1, func(c *Config) { c.MaxBodyBytes = 1 << 20 })
	for name, try := range map[string]struct {
		path    string
		body    string
		headers []string
		status  int
	}{
		"no path":          {"/v1/nothing", "{}", nil, 404},
		"bad operation":    {"/v1/pools/push/..%2f", "{}", nil, 404},
		"no key":           {"/v1/pools/push/push", "{}", nil, 400},
		"long key":         {"/v1/pools/push/push", "{}", []string{HeaderKey, strings.Repeat("k", 300)}, 400},
		"unknown pool":     {"/v1/pools/none/push", "{}", []string{HeaderKey, "k"}, 404},
		"pool of engines":  {"/v1/pools/copy/push", "{}", []string{HeaderKey, "k"}, 404},
		"no JSON":          {"/v1/completions", "{", nil, 400},
		"wrong type":       {"/v1/completions", `{"model":7}`, nil, 400},
		"no model":         {"/v1/completions", `{"prompt":"x"}`, nil, 400},
		"unknown model":    {"/v1/completions", `{"model":"none","prompt":"x"}`, nil, 404},
		"negative prefix":  {"/v1/completions", `{"model":"copy","prompt":"x","prefix_tokens":-1}`, nil, 400},
		"bad deadline":     {"/v1/completions", completion(false), []string{HeaderDeadline, "soon"}, 400},
		"no deadline left": {"/v1/completions", completion(false), []string{HeaderDeadline, "-1"}, 400},
		"bad repeatable":   {"/v1/completions", completion(false), []string{HeaderRepeatable, "maybe"}, 400},
		"too large":        {"/v1/completions", `{"model":"copy","prompt":"` + strings.Repeat("x", 2<<20) + `"}`, nil, 413},
		"engine's refusal": {"/v1/completions", `{"model":"copy","prompt":7}`, nil, 400},
	} {
		t.Run(name, func(t *testing.T) {
			got := f.post(t, 0, try.path, try.body, try.headers...)
			if got.status != try.status || got.header.Get(verdict.Header) != "did-not-run" || !strings.Contains(got.body, `"error"`) {
				t.Fatalf("got status %d, header %v, body %s, want an error with the verdict did-not-run", got.status, got.header, got.body)
			}
		})
	}
	if len(f.apps[0].Log()) != 0 {
		t.Fatal("a refused call reached the back end, want none")
	}
}

// TestMalformedAndSlowCallersDoNotAffectOthers sends malformed and slow requests. They must not run, and another
// caller must still be served.
func TestMalformedAndSlowCallersDoNotAffectOthers(t *testing.T) {
	f := newFixture(t, 0, 1, 1, func(c *Config) { c.ReadTimeout, c.IdleTimeout = 100*time.Millisecond, 100*time.Millisecond })
	for name, text := range map[string]string{
		"garbage":        "\x16\x03\x01 hello\r\n\r\n",
		"long header":    "POST / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 1<<20) + "\r\n\r\n",
		"slow body":      "POST /v1/pools/push/push HTTP/1.1\r\nHost: x\r\nIdempotency-Key: slow\r\nContent-Length: 100\r\n\r\nfew",
		"slow header":    "POST /v1/pools/push/push HT",
		"broken chunk":   "POST /v1/pools/push/push HTTP/1.1\r\nHost: x\r\nIdempotency-Key: c\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"two lengths":    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"negative":       "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
		"unknown method": "BREW / HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.gateways[0].Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			go func() { _, _ = io.WriteString(conn, text) }()
			content, _ := io.ReadAll(bufio.NewReader(conn)) // the gateway answers, closes the connection, or does both
			if strings.Contains(string(content), "200 OK") {
				t.Fatalf("a malformed request was answered with %q, want no 200", content)
			}
			if got := f.push(t, 0, "k-"+name, "{}"); got.status != http.StatusOK {
				t.Fatalf("another caller got %+v, want status 200", got)
			}
		})
	}
	if f.executions("slow") != 0 || f.executions("c") != 0 {
		t.Fatal("an incomplete request ran, want none")
	}
}

// TestLargeBodyStreamsThrough sends a body far larger than the buffer. It must arrive complete and leave no memory
// reserved.
func TestLargeBodyStreamsThrough(t *testing.T) {
	f := newFixture(t, 0, 1, 1, func(c *Config) { c.BufferBytes = 64 << 10 })
	body := strings.Repeat("audio...", 1<<18) // 2 MiB
	got := f.push(t, 0, "large", body)
	if got.status != 200 || !strings.Contains(got.body, application.BodyHash([]byte(body))) {
		t.Fatalf("got %+v, want status 200 and the hash of the whole body", got)
	}
	if held := f.gateways[0].memory.used.Load(); held != 0 {
		t.Fatalf("%d bytes are still reserved, want 0", held)
	}
}

// TestFullMemoryRefusesBodies sends a body larger than the memory budget. It must be refused as not run, and a
// small body must still be accepted.
func TestFullMemoryRefusesBodies(t *testing.T) {
	f := newFixture(t, 0, 1, 1, func(c *Config) { c.MaxBufferedBytes = 64 << 10 })
	got := f.push(t, 0, "large", strings.Repeat("x", 100<<10))
	if got.status != 503 || got.header.Get(verdict.Header) != "did-not-run" || got.header.Get(HeaderRetryAfter) == "" {
		t.Fatalf("got %+v, want status 503 with the verdict did-not-run and a Retry-After", got)
	}
	if got = f.push(t, 0, "small", "{}"); got.status != 200 {
		t.Fatalf("small body: got %+v, want status 200", got)
	}
}

// TestPassedDeadlineEndsStreamWithError guards against a stream that looks finished when its deadline has cut it.
func TestPassedDeadlineEndsStreamWithError(t *testing.T) {
	f := newFixture(t, 1, 0, 1, nil)
	body := `{"model":"copy","prompt":"x [tokens=5000]","stream":true}`
	got := f.post(t, 0, "/v1/completions", body, HeaderDeadline, "100ms")
	if strings.Contains(got.body, "[DONE]") || !strings.Contains(got.body, "deadline_passed") {
		t.Fatalf("got %+v, want an error event with deadline_passed and no end mark", got)
	}
}

// TestResendWaitsForTheRunningAttempt guards against a second execution when a key is sent again, at either of two
// gateways, while its first attempt is still running.
func TestResendWaitsForTheRunningAttempt(t *testing.T) {
	f := newFixture(t, 0, 1, 2, nil)
	f.apps[0].SetFaults(application.Faults{Stall: 150 * time.Millisecond})
	answers := make([]answer, 4)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = f.push(t, i%2, "k", "{}") })
	}
	group.Wait()
	for _, got := range answers {
		if got.status != 200 || got.body != answers[0].body {
			t.Fatalf("got %+v, want status 200 and the same answer for all", got)
		}
	}
	if f.executions("k") != 1 {
		t.Fatalf("ran %d times, want 1", f.executions("k"))
	}
}

// TestOverloadRefusesEarly fills the only slot and the queue. Further requests must be refused as not run, with a
// Retry-After.
func TestOverloadRefusesEarly(t *testing.T) {
	f := newFixture(t, 0, 1, 1, nil)
	f.cluster.change(t, [3]string{"push", "max_in_flight", "1"}, [3]string{"push", "queue_limit", "1"})
	f.apps[0].SetFaults(application.Faults{Stall: 300 * time.Millisecond})
	var group sync.WaitGroup
	var mutex sync.Mutex
	ran, refused := 0, 0
	for i := range 6 {
		group.Go(func() {
			key := fmt.Sprintf("k%d", i)
			got := f.push(t, 0, key, "{}")
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case got.status == 200 && f.executions(key) == 1:
				ran++
			case got.status == 503 && got.header.Get(verdict.Header) == "did-not-run" && got.header.Get(HeaderRetryAfter) != "" && f.executions(key) == 0:
				refused++
			default:
				t.Errorf("got %+v, ran %d times, want an answer after one run or a 503 with did-not-run, a Retry-After and no run", got, f.executions(key))
			}
		})
	}
	group.Wait()
	if ran != 2 || refused != 4 {
		t.Fatalf("%d ran and %d were refused, want 2 and 4", ran, refused)
	}
}

// TestLiveRequestPreemptsRollout guards against a live request that waits for a rollout stream in the only slot.
// The stream is held after its first token, so that it cannot end before the live request comes. The preempted
// stream must still be completed by a replay.
func TestLiveRequestPreemptsRollout(t *testing.T) {
	f, proxies := newProxiedFixture(t, 1, 0)
	proxies["e0"].holdAnswers.Store(true)
	f.cluster.change(t, [3]string{"copy", "max_in_flight", "1"})
	long := "Roll out. [tokens=400]"
	begun, rollout := make(chan struct{}), make(chan answer)
	go func() {
		rollout <- f.postAndNotify(t, 0, "/v1/completions", `{"model":"copy","prompt":"`+long+`","stream":true}`,
			func() { close(begun) }, HeaderClass, ClassRollout)
	}()
	<-begun
	proxies["e0"].holdAnswers.Store(false)
	live := f.post(t, 0, "/v1/completions", completion(true), HeaderClass, ClassLive)
	checkStreamedText(t, prompt, live.body)
	select {
	case <-rollout:
		t.Fatal("the rollout ended before the live request, so that nothing was preempted")
	default:
	}
	checkStreamedText(t, long, (<-rollout).body)
	kinds := map[string]int{}
	for _, entry := range f.gateways[0].Dispatches(0) {
		kinds[entry.Class+" "+entry.Kind]++
	}
	if kinds["rollout replay"] != 1 || kinds["live send"] != 1 {
		t.Fatalf("got dispatches %v, want one rollout replay and one live send", kinds)
	}
}

// TestDrainFinishesStreamsAndRefusesNewWork drains a gateway with a running stream. The stream must be completed,
// and new requests must be refused as not run.
func TestDrainFinishesStreamsAndRefusesNewWork(t *testing.T) {
	f := newFixture(t, 1, 1, 1, nil)
	f.engines[0].SetFaults(enginestandin.Faults{})
	long := "Drain. [tokens=300]"
	streamed := make(chan answer)
	go func() {
		streamed <- f.post(t, 0, "/v1/completions", `{"model":"copy","prompt":"`+long+`","stream":true}`)
	}()
	f.awaitDispatch(t)
	f.gateways[0].inFlight.Add(1) // keeps the drain from ending before the new request arrives
	drained := make(chan error)
	go func() { drained <- f.gateways[0].Drain(context.Background()) }()
	for !f.gateways[0].draining.Load() {
		time.Sleep(time.Millisecond)
	}
	refused := f.push(t, 0, "k", "{}")
	if refused.status != 503 || refused.header.Get(verdict.Header) != "did-not-run" || refused.header.Get(HeaderRetryAfter) == "" {
		t.Fatalf("got %+v, want status 503 with the verdict did-not-run and a Retry-After", refused)
	}
	f.requireNotReady(t, errDraining)
	f.gateways[0].inFlight.Add(-1)
	checkStreamedText(t, long, (<-streamed).body)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	if !f.controls[0].left || f.executions("k") != 0 {
		t.Fatal("the gateway did not leave the membership, or a refused request ran")
	}
}

// TestCallerThatLeavesFreesItsSlot guards against a slot that stays occupied after its caller closed the stream
// early.
func TestCallerThatLeavesFreesItsSlot(t *testing.T) {
	f := newFixture(t, 1, 0, 1, nil)
	f.cluster.change(t, [3]string{"copy", "max_in_flight", "1"})
	f.abandonStream(t, "x [tokens=20000]")
	checkStreamedText(t, prompt, f.post(t, 0, "/v1/completions", completion(true)).body)
	f.awaitCancelled(t, "x [tokens=20000]")
}

// TestCancelReachesARestartedEngine guards against a cancel that is lost on a dead connection. The engine restarts
// on its address between two cancels, so that the connection kept from the first one is dead at the second.
func TestCancelReachesARestartedEngine(t *testing.T) {
	f := newFixture(t, 1, 0, 1, nil)
	f.abandonStream(t, "x [tokens=20000]")
	f.awaitCancelled(t, "x [tokens=20000]")
	f.engines[0].Crash()
	f.engines[0].Restart("w1", 1)
	f.abandonStream(t, "y [tokens=20000]")
	f.awaitCancelled(t, "y [tokens=20000]")
}

// abandonStream requests a stream and disconnects after its first bytes.
func (f *fixture) abandonStream(t *testing.T, prompt string) {
	t.Helper()
	response, err := http.Post("http://"+f.gateways[0].Address()+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"copy","prompt":"`+prompt+`","stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = response.Body.Read(make([]byte, 10))
	_ = response.Body.Close()
}

// awaitCancelled waits until the stream of a prompt has ended, and fails unless it was cancelled.
func (f *fixture) awaitCancelled(t *testing.T, prompt string) {
	t.Helper()
	for { // bounded, because the stream ends by itself
		for _, entry := range f.engines[0].Log() {
			if entry.Prompt != prompt {
				continue
			}
			if entry.Outcome != enginestandin.OutcomeCancelled {
				t.Fatalf("got %+v, want the abandoned stream cancelled", entry)
			}
			return
		}
		time.Sleep(time.Millisecond)
	}
}
