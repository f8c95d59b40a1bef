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

func TestBadCallsAreRefusedAsNotRun(t *testing.T) {
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
				t.Fatalf("%d %v %s", got.status, got.header, got.body)
			}
		})
	}
	if len(f.apps[0].Log()) != 0 {
		t.Fatal("a refused call reached a back end")
	}
}

// TestMalformedAndSlowCallersHarmNobody sends bytes that are no request while others are served.
func TestMalformedAndSlowCallersHarmNobody(t *testing.T) {
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
			content, _ := io.ReadAll(bufio.NewReader(conn)) // the gateway answers, closes, or both
			if strings.Contains(string(content), "200 OK") {
				t.Fatalf("answered with %q", content)
			}
			if got := f.push(t, 0, "k-"+name, "{}"); got.status != http.StatusOK {
				t.Fatalf("another caller got %+v", got)
			}
		})
	}
	if f.ran("slow") != 0 || f.ran("c") != 0 {
		t.Fatal("an incomplete request ran")
	}
}

// TestLargeBodyStreamsThrough sends a body far beyond the buffer.
func TestLargeBodyStreamsThrough(t *testing.T) {
	f := newFixture(t, 0, 1, 1, func(c *Config) { c.BufferBytes = 64 << 10 })
	body := strings.Repeat("audio...", 1<<18) // 2 MiB
	got := f.push(t, 0, "large", body)
	if got.status != 200 || !strings.Contains(got.body, application.BodyHash([]byte(body))) {
		t.Fatalf("%+v", got)
	}
	if held := f.gateways[0].memory.used.Load(); held != 0 {
		t.Fatalf("%d bytes are still reserved", held)
	}
}

func TestFullMemoryRefusesBodies(t *testing.T) {
	f := newFixture(t, 0, 1, 1, func(c *Config) { c.MaxBufferedBytes = 64 << 10 })
	got := f.push(t, 0, "large", strings.Repeat("x", 100<<10))
	if got.status != 503 || got.header.Get(verdict.Header) != "did-not-run" || got.header.Get(HeaderRetryAfter) == "" {
		t.Fatalf("%+v", got)
	}
	if got = f.push(t, 0, "small", "{}"); got.status != 200 {
		t.Fatalf("%+v", got)
	}
}

func TestDeadlineEndsAStreamWithAnError(t *testing.T) {
	f := newFixture(t, 1, 0, 1, nil)
	body := `{"model":"copy","prompt":"x [tokens=5000]","stream":true}`
	got := f.post(t, 0, "/v1/completions", body, HeaderDeadline, "100ms")
	if strings.Contains(got.body, "[DONE]") || !strings.Contains(got.body, "deadline_passed") {
		t.Fatalf("%+v", got)
	}
}

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
			t.Fatalf("%+v", got)
		}
	}
	if f.ran("k") != 1 {
		t.Fatalf("ran %d times", f.ran("k"))
	}
}

// TestOverloadRefusesEarly fills the only slot and the queue.
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
			case got.status == 200 && f.ran(key) == 1:
				ran++
			case got.status == 503 && got.header.Get(verdict.Header) == "did-not-run" && got.header.Get(HeaderRetryAfter) != "" && f.ran(key) == 0:
				refused++
			default:
				t.Errorf("%+v, ran %d times", got, f.ran(key))
			}
		})
	}
	group.Wait()
	if ran != 2 || refused != 4 {
		t.Fatalf("%d ran and %d were refused, want 2 and 4", ran, refused)
	}
}

// TestRolloutYieldsToLiveTraffic has a rollout stream in the only slot, held behind its first token so that it
// cannot end before the live request comes; it must still end whole.
func TestRolloutYieldsToLiveTraffic(t *testing.T) {
	f, freezers := frozenFixture(t, 1, 0)
	freezers["e0"].holding.Store(true)
	f.cluster.change(t, [3]string{"copy", "max_in_flight", "1"})
	long := "Roll out. [tokens=400]"
	begun, rollout := make(chan struct{}), make(chan answer)
	go func() {
		rollout <- f.postNoting(t, 0, "/v1/completions", `{"model":"copy","prompt":"`+long+`","stream":true}`,
			func() { close(begun) }, HeaderClass, ClassRollout)
	}()
	<-begun
	freezers["e0"].holding.Store(false)
	live := f.post(t, 0, "/v1/completions", completion(true), HeaderClass, ClassLive)
	streamedText(t, prompt, live.body)
	select {
	case <-rollout:
		t.Fatal("the rollout ended before the live request; nothing was shown")
	default:
	}
	streamedText(t, long, (<-rollout).body)
	kinds := map[string]int{}
	for _, entry := range f.gateways[0].Dispatches(0) {
		kinds[entry.Class+" "+entry.Kind]++
	}
	if kinds["rollout replay"] != 1 || kinds["live send"] != 1 {
		t.Fatalf("dispatches: %v", kinds)
	}
}

// TestDrainFinishesStreamsAndRefusesNewWork stops a gateway under a running stream.
func TestDrainFinishesStreamsAndRefusesNewWork(t *testing.T) {
	f := newFixture(t, 1, 1, 1, nil)
	f.engines[0].SetFaults(enginestandin.Faults{})
	long := "Drain. [tokens=300]"
	streamed := make(chan answer)
	go func() {
		streamed <- f.post(t, 0, "/v1/completions", `{"model":"copy","prompt":"`+long+`","stream":true}`)
	}()
	f.awaitDispatch(t)
	f.gateways[0].inFlight.Add(1) // keeps the drain from ending before the new work came
	drained := make(chan error)
	go func() { drained <- f.gateways[0].Drain(context.Background()) }()
	for !f.gateways[0].draining.Load() {
		time.Sleep(time.Millisecond)
	}
	refused := f.push(t, 0, "k", "{}")
	if refused.status != 503 || refused.header.Get(verdict.Header) != "did-not-run" || refused.header.Get(HeaderRetryAfter) == "" {
		t.Fatalf("%+v", refused)
	}
	f.expectNotReady(t, errDraining)
	f.gateways[0].inFlight.Add(-1)
	streamedText(t, long, (<-streamed).body)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	if !f.controls[0].left || f.ran("k") != 0 {
		t.Fatal("the gateway did not leave, or a refused request ran")
	}
}

// TestCallerThatLeavesFreesItsSlot closes a stream early.
func TestCallerThatLeavesFreesItsSlot(t *testing.T) {
	f := newFixture(t, 1, 0, 1, nil)
	f.cluster.change(t, [3]string{"copy", "max_in_flight", "1"})
	f.leaveStream(t, "x [tokens=20000]")
	streamedText(t, prompt, f.post(t, 0, "/v1/completions", completion(true)).body)
	f.awaitCancelled(t, "x [tokens=20000]")
}

// TestCancelReachesARestartedEngine has the engine restart on its address between two cancels, so that the
// connection that the gateway kept from the first is dead at the second.
func TestCancelReachesARestartedEngine(t *testing.T) {
	f := newFixture(t, 1, 0, 1, nil)
	f.leaveStream(t, "x [tokens=20000]")
	f.awaitCancelled(t, "x [tokens=20000]")
	f.engines[0].Crash()
	f.engines[0].Restart("w1", 1)
	f.leaveStream(t, "y [tokens=20000]")
	f.awaitCancelled(t, "y [tokens=20000]")
}

// leaveStream calls for a stream and leaves once it has begun.
func (f *fixture) leaveStream(t *testing.T, prompt string) {
	t.Helper()
	response, err := http.Post("http://"+f.gateways[0].Address()+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"copy","prompt":"`+prompt+`","stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = response.Body.Read(make([]byte, 10))
	_ = response.Body.Close()
}

// awaitCancelled waits for the end of a prompt's stream, which must be a cancel.
func (f *fixture) awaitCancelled(t *testing.T, prompt string) {
	t.Helper()
	for { // the stream's own end bounds it
		for _, entry := range f.engines[0].Log() {
			if entry.Prompt != prompt {
				continue
			}
			if entry.Outcome != enginestandin.OutcomeCancelled {
				t.Fatalf("the abandoned stream was not cancelled: %+v", entry)
			}
			return
		}
		time.Sleep(time.Millisecond)
	}
}
