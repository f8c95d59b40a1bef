package replica

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

var testNames = Names{AttemptID: "Attempt", Deadline: "Left-Ms", Target: "Target", Urgency: "Urgency",
	ExpectedVersion: "Expected", Versions: "Versions", NotExecuted: "Not-Run", Load: "Load"}

// standin is a replica that answers each request on a connection as its script says.
type standin struct {
	listener net.Listener
	answer   func(conn net.Conn, request *http.Request, body string, serial int) (more bool)
	mu       sync.Mutex
	conns    int             // guarded by mu
	requests []*http.Request // guarded by mu
}

func newStandin(t *testing.T, answer func(conn net.Conn, request *http.Request, body string, serial int) bool) *standin {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standin{listener: listener, answer: answer}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			serving.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() { _ = listener.Close(); serving.Wait() })
	return s
}

func (s *standin) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for serial := 0; ; serial++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, request)
		s.mu.Unlock()
		if !s.answer(conn, request, string(body), serial) {
			return
		}
	}
}

func (s *standin) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func (s *standin) call(id string) *Call {
	return &Call{Target: Target{Instance: "i-1", Address: s.listener.Addr().String()}, AttemptID: id, Method: "POST",
		Path: "/a%2Fb?c=d", Host: "shop.example", Body: []byte("question " + id), Urgency: -1, ResumeAfter: -1}
}

// collected is a Sink that keeps what it gets.
type collected struct {
	head   Head
	heads  int
	body   strings.Builder
	onBody func(chunk string)
}

func (c *collected) Head(head Head) error { c.head, c.heads = head, c.heads+1; return nil }

func (c *collected) Body(chunk []byte) error {
	c.body.Write(chunk)
	if c.onBody != nil {
		c.onBody(string(chunk))
	}
	return nil
}

func newTestClient(t *testing.T, options Options) *Client {
	options.Names = testNames
	client := NewClient(options)
	t.Cleanup(client.Close)
	return client
}

func do(client *Client, call *Call) (Outcome, *collected) {
	sink := &collected{}
	return client.Do(context.Background(), call, sink), sink
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func answerTo(request *http.Request, rest string) string {
	return "HTTP/1.1 200 OK\r\nAttempt: " + request.Header.Get("Attempt") + "\r\n" + rest
}

// resetConn makes the connection end with a reset.
func resetConn(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }
