package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestCutHeadIsNoAnswer guards against a back end that stops in the middle of its answer's head and closes the connection,
// and whose caller is given a success with an empty body. Heads are cut after each of their bytes.
func TestCutHeadIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: none\r\nContent-Length: 2\r\n\r\n"
	for length := range len(head) {
		backend := newRawBackend(t, func(conn net.Conn, _ *http.Request, _ int64) {
			fmt.Fprint(conn, head[:length])
			_ = conn.Close()
		})
		transport := newTransport(time.Second)
		up, err := transport.acquire(backend.listener.Addr().String(), time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(up.conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		if err := up.readHead(); err == nil {
			t.Errorf("a head cut after %d bytes is taken for an answer with status %d", length, up.response.StatusCode())
		}
		up.close()
	}
	backend := newRawBackend(t, func(conn net.Conn, _ *http.Request, _ int64) {
		fmt.Fprint(conn, head[:len(head)/2])
		_ = conn.Close()
	})
	f := newRawFixture(t, backend)
	if got := f.push(t, 0, "k", "{}"); got.status != http.StatusBadGateway || got.header.Get(verdict.Header) != "may-have-run" {
		t.Errorf("got %+v, want status 502 with the verdict may-have-run", got)
	}
}
