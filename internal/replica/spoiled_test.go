package replica

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/standin/spoiled"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// spoiledNames are the names of a site whose successes are signed.
func spoiledNames() Names {
	names := testNames
	names.Signature = "Signed"
	return names
}

// TestBytesWithoutEndAreCutOff guards against bytes without an end that hold a request, or the memory of a process, until
// its deadline: the client closes the connection by itself. Event streams without events are left to whoever reads their
// events.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	for _, kind := range spoiled.Kinds() {
		if !kind.IsEndless() {
			continue
		}
		t.Run(kind.String(), func(t *testing.T) {
			closed := make(chan struct{})
			s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
				_ = spoiled.Write(conn, kind, spoiled.Names{RequestID: "Attempt", Signature: "Signed"}, request.Header.Get("Attempt"), rand.New(rand.NewPCG(1, 1)))
				close(closed)
				return false
			})
			client := NewClient(Options{Names: spoiledNames(), MaxBodyBytes: 1 << 20})
			t.Cleanup(client.Close)
			outcome, sink := do(client, s.call("one"))
			<-closed
			if outcome.Complete || outcome.Err == nil || outcome.Verdict == verdict.DidNotRun {
				t.Errorf("got outcome %+v, want a failure that may have run", outcome)
			}
			if sink.body.Len() > 1<<20 {
				t.Errorf("%d bytes were delivered, want at most the bound of a body", sink.body.Len())
			}
		})
	}
}

// TestRefusalWhoseBodyNeverEndsIsPrompt guards against a refusal that holds its request until the deadline, because the
// replica does not send the announced body.
func TestRefusalWhoseBodyNeverEndsIsPrompt(t *testing.T) {
	s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
		write(conn, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nAttempt: "+request.Header.Get("Attempt")+"\r\nContent-Length: 100\r\n\r\nfull")
		_, _ = conn.Read(make([]byte, 1)) // returns when the client closes the connection
		return false
	})
	client := newTestClient(t, Options{})
	outcome, _ := do(client, s.call("one"))
	if outcome.Verdict != verdict.DidNotRun || outcome.Refused != RefusedFull || client.Load(s.call("").Target) != 0 {
		t.Errorf("got outcome %+v and %d open connections, want a refusal and none", outcome, client.Load(s.call("").Target))
	}
}

// scriptedConn is a connection whose peer sends given bytes and closes it.
type scriptedConn struct {
	net.Conn
	reader io.Reader
}

// Read implements net.Conn.
func (c *scriptedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Write implements net.Conn.
func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (c *scriptedConn) Close() error { return nil }

// SetReadDeadline implements net.Conn.
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// FuzzAnswer checks that no bytes of a replica cause a panic, and that only a message which names the request, and is
// signed if it is a success, is delivered as a whole answer.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt: one\r\nSigned: s\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt: one\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n0\r\nX: y\r\n\r\n"))
	for _, kind := range spoiled.Kinds() {
		var limited bytes.Buffer
		_ = spoiled.Write(&limitedWriter{out: &limited, left: 1 << 10}, kind, spoiled.Names{RequestID: "Attempt", Signature: "Signed"}, "one", rand.New(rand.NewPCG(1, 1)))
		f.Add(limited.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		client := NewClient(Options{Names: spoiledNames(), MaxBodyBytes: 1 << 16, SkipsPeer: true,
			Dial: func(context.Context, string) (net.Conn, error) {
				return &scriptedConn{reader: bytes.NewReader(data)}, nil
			}})
		defer client.Close()
		sink := &recordingSink{}
		outcome := client.Do(t.Context(), &Call{Target: Target{Instance: "i", Address: "a"}, AttemptID: "one", Method: "POST", Path: "/", Urgency: -1, ResumeAfter: -1}, sink)
		if !outcome.Complete {
			return
		}
		head := answercheck.Head{Status: sink.head.Status}
		for _, field := range sink.head.Header {
			switch {
			case strings.EqualFold(field.Name, "Attempt"):
				head.RequestID = field.Value
			case strings.EqualFold(field.Name, "Signed"):
				head.Signature = field.Value
			}
		}
		if err := (answercheck.Expected{RequestID: "one", Signed: true}).Check(head); err != nil || sink.heads != 1 {
			t.Errorf("got %d heads, the last %+v, as a whole answer: %v", sink.heads, sink.head, err)
		}
	})
}

// limitedWriter accepts a number of bytes, and fails then.
type limitedWriter struct {
	out  io.Writer
	left int
}

// Write implements io.Writer.
func (w *limitedWriter) Write(p []byte) (int, error) {
	if w.left -= len(p); w.left < 0 {
		return 0, io.ErrShortWrite
	}
	return w.out.Write(p)
}
