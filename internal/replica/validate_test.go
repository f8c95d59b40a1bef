package replica

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestCallThatHoldsAnotherRequestIsNotSent guards against a call of which a line break or a blank puts a second request
// before the replica.
func TestCallThatHoldsAnotherRequestIsNotSent(t *testing.T) {
	s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
		write(conn, answerWith(request, "Content-Length: 0\r\n\r\n"))
		return true
	})
	client := newTestClient(t, Options{})
	for name, change := range map[string]func(call *Call){
		"value": func(call *Call) {
			call.Header = []Header{{Name: "X", Value: "x\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\n\r\n"}}
		},
		"name":    func(call *Call) { call.Header = []Header{{Name: "X: y\r\nZ", Value: "x"}} },
		"path":    func(call *Call) { call.Path = "/ HTTP/1.1\r\n\r\nPOST /" },
		"method":  func(call *Call) { call.Method = "POST / HTTP/1.1\r\n\r\nPOST" },
		"host":    func(call *Call) { call.Host = "h\r\nX: y" },
		"attempt": func(call *Call) { call.AttemptID = "one\r\nX: y" },
		"tenant":  func(call *Call) { call.Tenant = "t\nX: y" },
	} {
		call := s.call("one")
		change(call)
		outcome, _ := do(client, call)
		if outcome.Verdict != verdict.DidNotRun || !errors.Is(outcome.Err, ErrInvalidCall) {
			t.Errorf("%s: got %+v, want a call that did not run", name, outcome)
		}
	}
	if opened := s.connections(); opened > 0 {
		t.Errorf("%d connections were opened, want none", opened)
	}
}
