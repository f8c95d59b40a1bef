package replica

import (
	"net"
	"net/http"
	"testing"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestCrashIsToldFromALostAnswer: on the connection both are an early end. Only a replica that crashed listens no more.
func TestCrashIsToldFromALostAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		begun   string // what is sent of the answer
		crashes bool
		want    Peer
	}{
		"answer lost":             {want: PeerListening},
		"crash":                   {crashes: true, want: PeerGone},
		"crash within the answer": {begun: "Content-Length: 5\r\n\r\nab", crashes: true, want: PeerGone},
		"foreign answer":          {begun: "Attempt: other\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var s *standin
			s = newStandin(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
				if test.crashes {
					_ = s.listener.Close()
				}
				switch {
				case name == "foreign answer":
					write(conn, "HTTP/1.1 200 OK\r\n"+test.begun)
					return true
				case test.begun != "":
					write(conn, answerTo(request, test.begun))
				}
				return false
			})
			outcome, _ := do(newTestClient(t, Options{}), s.call("one"))
			if outcome.Peer != test.want || outcome.Whole || outcome.Verdict == verdict.DidNotRun {
				t.Errorf("%+v, want the replica %q", outcome, test.want)
			}
		})
	}
}
