package replica

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestCutHeadIsNoAnswer guards against a replica that stops in the middle of its answer's head and closes the connection,
// and whose caller is given a success with an empty body. Heads are cut after each of their bytes.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for name, rest := range map[string]string{
		"with a length":   "Content-Length: 5\r\n\r\n",
		"chunked":         "Transfer-Encoding: chunked\r\n\r\n",
		"an event stream": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"after interim":   "Content-Length: 5\r\n\r\n",
		"a refusal":       "Not-Run: 1\r\nContent-Length: 5\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nAttempt: one\r\nSigned: s\r\n" + rest
			if name == "after interim" {
				head = "HTTP/1.1 102 Processing\r\n\r\n" + head
			}
			for length := range len(head) {
				if strings.HasSuffix(head[:length], "\r\n\r\n") && !strings.Contains(head[length:], "\r\n\r\n") {
					continue // the whole head
				}
				s := newStandinReplica(t, func(conn net.Conn, _ *http.Request, _ string, _ int) bool {
					write(conn, head[:length])
					return false
				})
				client := NewClient(Options{Names: spoiledNames(), SkipsPeer: true})
				outcome, sink := do(client, s.call("one"))
				client.Close()
				if outcome.Complete || outcome.Err == nil || outcome.Verdict != verdict.MayHaveRun || sink.heads != 0 {
					t.Fatalf("a head cut after %d bytes (%q): got outcome %+v and %d heads, want a failure that may have run", length, head[:length], outcome, sink.heads)
				}
			}
		})
	}
}
