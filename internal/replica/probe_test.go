package replica

import (
	"net"
	"net/http"
	"testing"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestCrashIsDistinguishedFromLostAnswer checks that the outcome reports whether a replica whose connection ended early
// has crashed. On the connection a crash and a lost answer look alike; a crashed replica no longer listens.
func TestCrashIsDistinguishedFromLostAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		begun   string // part of the answer that is sent
		crashes bool
		want    Peer
	}{
		"answer lost":             {want: PeerListening},
		"crash":                   {crashes: true, want: PeerGone},
		"crash within the answer": {begun: "Content-Length: 5\r\n\r\nab", crashes: true, want: PeerGone},
		"foreign answer":          {begun: "Attempt: other\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var s *standinReplica
			s = newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
				if test.crashes {
					_ = s.listener.Close()
				}
				switch {
				case name == "foreign answer":
					write(conn, "HTTP/1.1 200 OK\r\n"+test.begun)
					return true
				case test.begun != "":
					write(conn, answerWith(request, test.begun))
				}
				return false
			})
			outcome, _ := do(newTestClient(t, Options{}), s.call("one"))
			if outcome.Peer != test.want || outcome.Complete || outcome.Verdict == verdict.DidNotRun {
				t.Errorf("got outcome %+v, want peer %q", outcome, test.want)
			}
		})
	}
}
