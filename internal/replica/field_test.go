package replica

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/standin/spoiled"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestLineThatIsNoFieldIsNoAnswer guards against an answer with a field whose name is none: the line is passed on, or the
// body is read with a length or chunks that the replica did not mean. Sites with and without signatures.
func TestLineThatIsNoFieldIsNoAnswer(t *testing.T) {
	for name, names := range map[string]Names{"signed": spoiledNames(), "unsigned": testNames, "without names": {}} {
		for _, kind := range spoiled.FieldKinds() {
			t.Run(name+"/"+kind.String(), func(t *testing.T) {
				s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
					_ = spoiled.Write(conn, kind, spoiled.Names{RequestID: "Attempt", Signature: "Signed"}, request.Header.Get("Attempt"), rand.New(rand.NewPCG(1, 1)))
					return false
				})
				client := NewClient(Options{Names: names, SkipsPeer: true})
				t.Cleanup(client.Close)
				outcome, sink := do(client, s.call("one"))
				if outcome.Complete || outcome.Verdict != verdict.MayHaveRun || !errors.Is(outcome.Err, answercheck.BadField) || sink.heads != 0 {
					t.Errorf("got outcome %+v with %d heads and body %q, want no answer that may have run", outcome, sink.heads, sink.body.String())
				}
			})
		}
	}
}

// earlyReset starts a replica that answers a request as soon as it has read its head, and resets the connection while the
// body is still being written. It returns the replica's address.
func earlyReset(t *testing.T, answer string) string {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) {
		_, _ = io.ReadFull(conn, make([]byte, 16<<10))
		write(conn, answer)
		resetOnClose(conn)
		_ = conn.Close()
	})
}

// earlyResets is how often an answer is reset in TestAnswerResetDuringUploadIsNotWhole. The write and the read of the client
// race for the reset, and the one that comes second finds nothing but the end of the connection.
const earlyResets = 40

// TestAnswerResetDuringUploadIsNotWhole guards against a part of an answer that counts as all of it, because the replica
// reset the connection while the request was still being written and the answer had no length.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	for name, head := range map[string]string{
		"success":        "HTTP/1.1 200 OK\r\n\r\n",
		"closed":         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"older protocol": "HTTP/1.0 200 OK\r\n\r\n",
		"event stream":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"failure":        "HTTP/1.1 500 No\r\n\r\n",
		"rejection":      "HTTP/1.1 404 No\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(Options{SkipsPeer: true})
			t.Cleanup(client.Close)
			call := &Call{Target: Target{Instance: "i-1", Address: earlyReset(t, head+"id: 1\ndata: part\n\n")}, AttemptID: "one", Method: "POST", Path: "/",
				Body: make([]byte, 8<<20), Urgency: -1, ResumeAfter: -1}
			for range earlyResets {
				if outcome, sink := do(client, call); outcome.Complete || outcome.Err == nil {
					t.Fatalf("got outcome %+v and body %q, want a failure", outcome, sink.body.String())
				}
			}
		})
	}
}

// TestAnswerWithoutLengthToAnUploadIsWhole checks that an answer without a length, given once the long request is read, is
// whole where successes are not signed.
func TestAnswerWithoutLengthToAnUploadIsWhole(t *testing.T) {
	s := newStandinReplica(t, func(conn net.Conn, _ *http.Request, _ string, _ int) bool {
		write(conn, "HTTP/1.1 200 OK\r\n\r\nall of it")
		return false
	})
	client := NewClient(Options{SkipsPeer: true})
	t.Cleanup(client.Close)
	call := s.call("one")
	call.Body = make([]byte, 1<<20)
	if outcome, sink := do(client, call); !outcome.Complete || sink.body.String() != "all of it" {
		t.Errorf("got outcome %+v and body %q, want the whole answer", outcome, sink.body.String())
	}
}
