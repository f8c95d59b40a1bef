package replica

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
)

// callWithPause returns a call with a body of this size to a replica that reads 1 KiB of the body, pauses, reads the rest
// and answers.
func callWithPause(t *testing.T, bytes int, pause time.Duration) *Call {
	address := serveConnections(t, func(conn net.Conn) { serveWithPause(conn, pause) })
	return &Call{Target: Target{Instance: "i-1", Address: address}, AttemptID: "a", Method: "POST", Path: "/", Host: "h",
		Body: make([]byte, bytes), Urgency: -1, ResumeAfter: -1}
}

func serveWithPause(conn net.Conn, pause time.Duration) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, 1<<10)
	time.Sleep(pause)
	if _, err := io.Copy(io.Discard, request.Body); err == nil {
		write(conn, answerWith(request, "Content-Length: 4\r\n\r\ngood"))
	}
}

// TestReplicaThatPausesInABody checks that a request is not given up when the replica pauses while it reads the body,
// whether the rest of the body waits in this process or in the system's buffers.
func TestReplicaThatPausesInABody(t *testing.T) {
	for _, bytes := range []int{300 << 10, 4 << 20} {
		client := newTestClient(t, Options{PeerTimeout: time.Second})
		outcome, sink := do(client, callWithPause(t, bytes, 3*time.Second))
		if !outcome.Complete || outcome.Verdict != verdict.Ran || sink.body.String() != "good" {
			t.Errorf("body of %d bytes: got outcome %+v, want the whole answer", bytes, outcome)
		}
	}
}

// TestReplicaThatStopsInABody checks that a request is given up when the replica stops reading the body, and counts as
// one that may have run.
func TestReplicaThatStopsInABody(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the limit")
	}
	client := newTestClient(t, Options{PeerTimeout: time.Second})
	outcome, _ := do(client, callWithPause(t, 4<<20, time.Minute))
	if outcome.Complete || outcome.Verdict != verdict.MayHaveRun || !errors.Is(outcome.Err, ErrStalled) {
		t.Errorf("got outcome %+v, want ErrStalled and MayHaveRun", outcome)
	}
}

// TestLongRequestIsTakenBeforeItIsAnswered checks that OnReceived is called when the replica has the whole request, so
// that the next large request need not wait for the answer.
func TestLongRequestIsTakenBeforeItIsAnswered(t *testing.T) {
	const work = 2 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(work)
		write(conn, answerWith(request, "Content-Length: 4\r\n\r\ngood"))
	}()
	began := time.Now()
	taken := make(chan time.Duration, 2)
	call := &Call{Target: Target{Instance: "i-1", Address: listener.Addr().String()}, AttemptID: "a", Method: "POST", Path: "/", Host: "h",
		Body: make([]byte, 4<<20), Urgency: -1, ResumeAfter: -1, OnReceived: func() { taken <- time.Since(began) }}
	if outcome, _ := do(newTestClient(t, Options{}), call); !outcome.Complete {
		t.Fatalf("got outcome %+v, want the whole answer", outcome)
	}
	if len(taken) != 1 || <-taken >= work {
		t.Error("OnReceived was not called exactly once before the answer")
	}
}
