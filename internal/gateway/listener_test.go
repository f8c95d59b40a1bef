package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/standin/application"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// dial opens a connection to the first gateway. The connection is closed when the test ends.
func (f *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.gateways[0].Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// pushOver sends a non-repeatable request over a connection and reads the answer.
func pushOver(conn net.Conn, key string) (answer, error) {
	text := fmt.Sprintf("POST /v1/pools/push/push HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}", key)
	if _, err := io.WriteString(conn, text); err != nil {
		return answer{}, err
	}
	return readAnswer(bufio.NewReader(conn))
}

// pushWith sends a non-repeatable request with an HTTP client, which keeps its connections.
func pushWith(client *http.Client, address, key string) (answer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/pools/push/push", strings.NewReader("{}"))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set(HeaderKey, key)
	response, err := client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body)}, err
}

// readAnswer reads one HTTP response.
func readAnswer(reader *bufio.Reader) (answer, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body)}, err
}

// TestExcessConnectionsAreAnsweredDidNotRun fills the listener with idle connections. A further connection must be
// answered with the verdict "did not run", open ones must stay usable, and a closed one must make space for
// another.
func TestExcessConnectionsAreAnsweredDidNotRun(t *testing.T) {
	for name, tune := range map[string]func(*Config){
		"total":   func(c *Config) { c.MaxConnections, c.MaxConnectionsPerAddress = 3, 3 },
		"address": func(c *Config) { c.MaxConnections, c.MaxConnectionsPerAddress = 8, 3 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, 1, 1, tune)
			open := []net.Conn{f.dial(t), f.dial(t), f.dial(t)}
			for i, conn := range open {
				if got, err := pushOver(conn, fmt.Sprint("open-", i)); err != nil || got.status != 200 {
					t.Fatalf("got %+v, %v, want status 200 below the limit", got, err)
				}
			}
			got, err := pushOver(f.dial(t), "more")
			if err != nil || got.status != 503 || got.header.Get(verdict.Header) != "did-not-run" ||
				got.header.Get(HeaderRetryAfter) == "" || !strings.Contains(got.body, CodeOverloaded) || f.executions("more") != 0 {
				t.Fatalf("got %+v, %v, want status 503, did-not-run, a Retry-After and no run above the limit", got, err)
			}
			if got, err := pushOver(open[1], "again"); err != nil || got.status != 200 {
				t.Fatalf("open connection: got %+v, %v, want status 200", got, err)
			}
			_ = open[0].Close()
			for range 1000 { // until the gateway has detected the close
				if got, err = pushOver(f.dial(t), "later"); err == nil && got.status == 200 {
					return
				}
				time.Sleep(2 * time.Millisecond)
			}
			t.Fatalf("after a connection was closed: got %+v, %v, want status 200", got, err)
		})
	}
}

// TestPipelinedRequestsAreAnsweredInOrder sends several requests before it reads the first answer.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	f := newFixture(t, 0, 1, 1, nil)
	conn := f.dial(t)
	var text strings.Builder
	for i := range 5 {
		fmt.Fprintf(&text, "POST /v1/pools/push/push HTTP/1.1\r\nHost: x\r\nIdempotency-Key: p%d\r\nContent-Length: 2\r\n\r\n{}", i)
	}
	go func() { _, _ = io.WriteString(conn, text.String()) }()
	reader := bufio.NewReader(conn)
	for i := range 5 {
		got, err := readAnswer(reader)
		if err != nil || !strings.Contains(got.body, fmt.Sprintf(`"key":"p%d"`, i)) || f.executions(fmt.Sprintf("p%d", i)) != 1 {
			t.Fatalf("answer %d: got %+v, %v, want its own key and one run", i, got, err)
		}
	}
}

// TestSlowSendersDoNotExhaustMemoryBudget guards against callers that announce large bodies, send almost nothing,
// and so reserve the memory that others need.
func TestSlowSendersDoNotExhaustMemoryBudget(t *testing.T) {
	f := newFixture(t, 0, 1, 1, func(c *Config) { c.MaxBufferedBytes = 4 << 20 })
	for i := range 16 { // announce four times the budget in total
		_, err := fmt.Fprintf(f.dial(t), "POST /v1/pools/push/push HTTP/1.1\r\nHost: x\r\nIdempotency-Key: slow-%d\r\nContent-Length: 1000000\r\n\r\n%s",
			i, strings.Repeat("x", 20<<10))
		if err != nil {
			t.Fatal(err)
		}
	}
	for f.gateways[0].memory.used.Load() < 16*memoryStep {
		time.Sleep(time.Millisecond)
	}
	if got := f.push(t, 0, "large", strings.Repeat("x", 900<<10)); got.status != 200 {
		t.Fatalf("got %+v, want status 200", got)
	}
}

// TestCallerBodyErrorDoesNotQuarantineBackEnd guards against a quarantine of a back end because callers break off
// large bodies, send them too slowly or exceed the size limit.
func TestCallerBodyErrorDoesNotQuarantineBackEnd(t *testing.T) {
	const header = "POST /v1/pools/push/push HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 100<<10, strings.Repeat("x", 100<<10))
	for name, try := range map[string]struct {
		text   string
		close  bool
		status int
		code   string
	}{
		"breaks off": {text: header + "Content-Length: 900000\r\n\r\n" + strings.Repeat("x", 200<<10), close: true},
		"drags":      {text: header + "Content-Length: 900000\r\n\r\n" + strings.Repeat("x", 200<<10), status: 400, code: codeBodyIncomplete},
		"too large":  {text: header + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 12) + "0\r\n\r\n", status: 413, code: codeBodyTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, 1, 1, func(c *Config) {
				c.BufferBytes, c.MaxBodyBytes, c.ReadTimeout, c.MinBodyRate = 64<<10, 1<<20, 150*time.Millisecond, 1<<30
			})
			for i := range 6 { // twice the number of failures that quarantine a back end
				key := fmt.Sprint("broken-", i)
				conn := f.dial(t)
				go func() { _, _ = fmt.Fprintf(conn, try.text, key) }()
				if try.close {
					f.awaitDispatches(t, i+1)
					_ = conn.Close()
					continue
				}
				got, err := readAnswer(bufio.NewReader(conn))
				if err != nil || got.status != try.status || !strings.Contains(got.body, try.code) || got.header.Get(verdict.Header) != "may-have-run" || f.executions(key) != 0 {
					t.Fatalf("got %+v, %v, want the case's status and code with may-have-run and no run", got, err)
				}
			}
			for range 30000 {
				if f.gateways[0].inFlight.Load() == 0 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			status := f.gateways[0].pool("push").status(f.gateways[0].now())
			if status.quarantined != 0 || status.inFlight != 0 || f.gateways[0].memory.used.Load() != 0 {
				t.Fatalf("got pool status %+v and %d bytes held, want nothing quarantined, in flight or held", status, f.gateways[0].memory.used.Load())
			}
			if got := f.push(t, 0, "sound", strings.Repeat("x", 200<<10)); got.status != 200 {
				t.Fatalf("got %+v, want status 200 after the faulty callers", got)
			}
		})
	}
}

// awaitDispatches waits until the first gateway has made count dispatches.
func (f *fixture) awaitDispatches(t *testing.T, count int) {
	t.Helper()
	for range 30000 {
		if len(f.gateways[0].Dispatches(0)) >= count {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("timed out waiting for %d dispatches", count)
}

// TestCallerThatDoesNotReadIsDisconnected guards against a caller that holds a slot forever, because it requests an
// endless stream and reads none of it.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	words := strings.Repeat("word ", 2000)
	endless := newRawBackend(t, func(conn net.Conn, _ *http.Request, _ int64) {
		fmt.Fprint(conn, sseHeader)
		for offset := 0; ; offset += 2000 {
			if _, err := fmt.Fprint(conn, formatChunk(formatTokenEvent(offset, words))); err != nil {
				return
			}
		}
	})
	f := newFixture(t, 0, 0, 1, func(c *Config) { c.WriteTimeout = 200 * time.Millisecond })
	f.cluster.change(t, [3]string{"copy", "max_in_flight", "1"}, [3]string{"b", "kind", "backend"}, [3]string{"b", "pool", "copy"},
		[3]string{"b", "address", endless.listener.Addr().String()})
	body := `{"model":"copy","prompt":"x","stream":true}`
	fmt.Fprintf(f.dial(t), "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	f.awaitDispatches(t, 1)
	for f.gateways[0].inFlight.Load() > 0 {
		time.Sleep(time.Millisecond) // bounded by the time limit of the test
	}
	if held := f.gateways[0].memory.used.Load(); held != 0 {
		t.Fatalf("%d bytes are still held, want 0", held)
	}
}

// TestDrainUnderKeepAliveLoadReportsTrueVerdicts guards against wrong verdicts while a gateway drains under callers
// that reuse their connections. Each call must be answered as run and have run once, or be answered as not run or
// find its connection closed and not have run. The drain cannot end before a call was refused.
func TestDrainUnderKeepAliveLoadReportsTrueVerdicts(t *testing.T) {
	f := newFixture(t, 0, 1, 1, nil)
	f.apps[0].SetFaults(application.Faults{Stall: 20 * time.Millisecond})
	idle := f.dial(t)
	if got, err := pushOver(idle, "idle"); err != nil || got.status != 200 {
		t.Fatalf("got %+v, %v, want status 200", got, err)
	}
	var callers sync.WaitGroup
	var ran, refused atomic.Int64
	f.gateways[0].inFlight.Add(1)
	release := sync.OnceFunc(func() { f.gateways[0].inFlight.Add(-1) })
	for caller := range 8 {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		callers.Go(func() {
			for i := 0; ; i++ {
				key := fmt.Sprintf("c%d-%d", caller, i)
				got, err := pushWith(client, f.gateways[0].Address(), key)
				switch executions := f.executions(key); {
				case errors.Is(err, syscall.ECONNREFUSED):
					return // the gateway has closed its listener
				case err != nil && executions == 0:
				case err == nil && got.status == 200 && executions == 1:
					ran.Add(1)
				case err == nil && got.status == 503 && got.header.Get(verdict.Header) == "did-not-run" && executions == 0:
					refused.Add(1)
					release()
				default:
					release()
					t.Errorf("%s: got %+v, %v, ran %d times, which contradicts the answer", key, got, err, executions)
					return
				}
			}
		})
	}
	f.awaitDispatches(t, 40)
	if err := f.gateways[0].Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	callers.Wait()
	if ran.Load() == 0 || refused.Load() == 0 {
		t.Fatalf("%d ran and %d were refused during the drain, want some of both", ran.Load(), refused.Load())
	}
}
