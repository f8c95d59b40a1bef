package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// dial opens a connection to the first gateway that the test closes.
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

// pushOver sends a non-repeatable call over a connection and returns the answer.
func pushOver(conn net.Conn, key string) (answer, error) {
	text := fmt.Sprintf("POST /v1/pools/push/push HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}", key)
	if _, err := io.WriteString(conn, text); err != nil {
		return answer{}, err
	}
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(reader *bufio.Reader) (answer, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body)}, err
}

// TestTooManyConnectionsAreToldThatNothingRan fills the listener with idle connections.
func TestTooManyConnectionsAreToldThatNothingRan(t *testing.T) {
	for name, tune := range map[string]func(*Config){
		"total":   func(c *Config) { c.MaxConnections, c.MaxConnectionsPerAddress = 3, 3 },
		"address": func(c *Config) { c.MaxConnections, c.MaxConnectionsPerAddress = 8, 3 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, 1, 1, tune)
			open := []net.Conn{f.dial(t), f.dial(t), f.dial(t)}
			for i, conn := range open {
				if got, err := pushOver(conn, fmt.Sprint("open-", i)); err != nil || got.status != 200 {
					t.Fatalf("%+v %v", got, err)
				}
			}
			got, err := pushOver(f.dial(t), "more")
			if err != nil || got.status != 503 || got.header.Get(verdict.Header) != "did-not-run" ||
				got.header.Get(HeaderRetryAfter) == "" || !strings.Contains(got.body, CodeOverloaded) || f.ran("more") != 0 {
				t.Fatalf("%+v %v", got, err)
			}
			if got, err := pushOver(open[1], "again"); err != nil || got.status != 200 {
				t.Fatalf("an open connection was harmed: %+v %v", got, err)
			}
			_ = open[0].Close()
			for range 1000 { // until the gateway has noticed
				if got, err = pushOver(f.dial(t), "later"); err == nil && got.status == 200 {
					return
				}
				time.Sleep(2 * time.Millisecond)
			}
			t.Fatalf("the closed connection still counts: %+v %v", got, err)
		})
	}
}

// TestPipelinedRequestsAreAnsweredInOrder sends several requests before reading any answer.
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
		if err != nil || !strings.Contains(got.body, fmt.Sprintf(`"key":"p%d"`, i)) || f.ran(fmt.Sprintf("p%d", i)) != 1 {
			t.Fatalf("answer %d: %+v %v", i, got, err)
		}
	}
}

// TestSlowSendersHoldNoMemoryForOthers has callers that announce large bodies and send almost nothing.
func TestSlowSendersHoldNoMemoryForOthers(t *testing.T) {
	f := newFixture(t, 0, 1, 1, func(c *Config) { c.MaxBufferedBytes = 4 << 20 })
	for i := range 16 { // together they announce four times the budget
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
		t.Fatalf("%+v", got)
	}
}

// TestCallersFaultIsNotBlamedOnTheBackEnd has callers that break off or drag large bodies.
func TestCallersFaultIsNotBlamedOnTheBackEnd(t *testing.T) {
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
			for i := range 6 { // twice what would quarantine a back end
				key := fmt.Sprint("broken-", i)
				conn := f.dial(t)
				go func() { _, _ = fmt.Fprintf(conn, try.text, key) }()
				if try.close {
					f.awaitDispatches(t, i+1)
					_ = conn.Close()
					continue
				}
				got, err := readAnswer(bufio.NewReader(conn))
				if err != nil || got.status != try.status || !strings.Contains(got.body, try.code) || got.header.Get(verdict.Header) != "may-have-run" || f.ran(key) != 0 {
					t.Fatalf("%+v %v", got, err)
				}
			}
			for range 1000 {
				if f.gateways[0].inFlight.Load() == 0 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			status := f.gateways[0].pool("push").status(f.gateways[0].now())
			if status.quarantined != 0 || status.inFlight != 0 || f.gateways[0].memory.used.Load() != 0 {
				t.Fatalf("%+v, %d bytes held", status, f.gateways[0].memory.used.Load())
			}
			if got := f.push(t, 0, "sound", strings.Repeat("x", 200<<10)); got.status != 200 {
				t.Fatalf("%+v", got)
			}
		})
	}
}

func (f *fixture) awaitDispatches(t *testing.T, count int) {
	t.Helper()
	for range 5000 {
		if len(f.gateways[0].Dispatches(0)) >= count {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("there are no %d dispatches", count)
}
