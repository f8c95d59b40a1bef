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
	ExpectedVersion: "Expected", Version: "Versions", NotExecuted: "Not-Run", Load: "Load"}

// standinReplica is a replica whose answers a test determines.
type standinReplica struct {
	listener net.Listener
	// answer answers one request; serial counts the requests on its connection from 0. The connection is closed if it
	// returns false.
	answer   func(conn net.Conn, request *http.Request, body string, serial int) (more bool)
	mu       sync.Mutex
	conns    int             // guarded by mu
	requests []*http.Request // guarded by mu
}

func newStandinReplica(t *testing.T, answer func(conn net.Conn, request *http.Request, body string, serial int) bool) *standinReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standinReplica{listener: listener, answer: answer}
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

// serveConnections accepts connections until the test ends, has each served by a goroutine of its own, and returns the address.
func serveConnections(t *testing.T, serve func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (s *standinReplica) serve(conn net.Conn) {
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

// connections returns the number of connections that were opened to the replica.
func (s *standinReplica) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// call returns a call to the replica with this attempt ID.
func (s *standinReplica) call(id string) *Call {
	return &Call{Target: Target{Instance: "i-1", Address: s.listener.Addr().String()}, AttemptID: id, Method: "POST",
		Path: "/a%2Fb?c=d", Host: "shop.example", Body: []byte("question " + id), Urgency: -1, ResumeAfter: -1}
}

// recordingSink is a Sink that records the answer.
type recordingSink struct {
	head   Head
	heads  int
	body   strings.Builder
	onBody func(chunk string)
}

func (c *recordingSink) Head(head Head) error { c.head, c.heads = head, c.heads+1; return nil }

func (c *recordingSink) Body(chunk []byte) error {
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

func do(client *Client, call *Call) (Outcome, *recordingSink) {
	sink := &recordingSink{}
	return client.Do(context.Background(), call, sink), sink
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// answerWith returns an answer that echoes the attempt ID, with the given rest of head and body.
func answerWith(request *http.Request, rest string) string {
	return "HTTP/1.1 200 OK\r\nAttempt: " + request.Header.Get("Attempt") + "\r\n" + rest
}

// resetOnClose makes closing the connection send a reset.
func resetOnClose(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }
