package replica

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/loadreport"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestCallArrivesAsItWasMade checks that the replica receives the fields of a call under the site's names, and none of
// the fields that the client reserves, and that the answer and its load report are delivered.
func TestCallArrivesAsItWasMade(t *testing.T) {
	s := newStandinReplica(t, func(conn net.Conn, request *http.Request, body string, _ int) bool {
		write(conn, answerWith(request, "Load: 3, 1,8\r\nVersions: 7\r\nContent-Length: 5\r\n\r\nhello"))
		return true
	})
	call := s.call("one")
	call.Header = []Header{{"X-Kept", "yes"}, {"attempt", "smuggled"}, {"Transfer-Encoding", "chunked"}, {"Last-Event-Id", "2"}}
	call.Deadline, call.Urgency, call.ExpectedVersion, call.ResumeAfter = 1500*time.Millisecond, 0, 7, 9
	outcome, sink := do(newTestClient(t, Options{}), call)
	if !outcome.Complete || outcome.Verdict != verdict.Ran || outcome.Status != 200 || sink.body.String() != "hello" || sink.head.Version != 7 {
		t.Fatalf("got outcome %+v and head %+v, want the whole answer", outcome, sink.head)
	}
	if *outcome.Load != (loadreport.Report{Running: 3, Waiting: 1, Slots: 8}) {
		t.Errorf("got load %+v, want 3 running, 1 waiting and 8 slots", outcome.Load)
	}
	got := s.requests[0]
	want := map[string]string{"X-Kept": "yes", "Attempt": "one", "Left-Ms": "1500", "Urgency": "0", "Expected": "7",
		"Last-Event-Id": "9", "Target": "i-1", "Content-Length": "12"}
	for name, value := range want {
		if values := got.Header.Values(name); len(values) != 1 || values[0] != value {
			t.Errorf("field %s has the values %q, want the one value of the call", name, values)
		}
	}
	if got.RequestURI != "/a%2Fb?c=d" || got.Host != "shop.example" || len(got.TransferEncoding) != 0 {
		t.Errorf("got request %+v, want the call's path, query and host without a transfer encoding", got)
	}
}

// TestConnectionsAreKept checks that a connection is reused until the replica closes it.
func TestConnectionsAreKept(t *testing.T) {
	s := newStandinReplica(t, func(conn net.Conn, request *http.Request, body string, serial int) bool {
		if serial == 1 {
			write(conn, answerWith(request, "Connection: close\r\nContent-Length: 0\r\n\r\n"))
			return false
		}
		write(conn, answerWith(request, "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=60\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
		return true
	})
	client := newTestClient(t, Options{})
	for _, id := range []string{"one", "two", "three"} {
		if outcome, _ := do(client, s.call(id)); !outcome.Complete {
			t.Fatalf("%s: %+v", id, outcome)
		}
	}
	if got := s.connections(); got != 2 {
		t.Errorf("%d connections were opened, want 2: one until the replica closes it, and another one", got)
	}
}

// TestIdleConnectionsEndBeforeTheReplicasTime checks that an idle connection is no longer reused, and is closed by
// CloseIdle, before the Keep-Alive time of the replica is over.
func TestIdleConnectionsEndBeforeTheReplicasTime(t *testing.T) {
	s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
		write(conn, answerWith(request, "Keep-Alive: timeout=2, max=9\r\nContent-Length: 0\r\n\r\n"))
		return true
	})
	now := time.Unix(0, 0)
	client := newTestClient(t, Options{Now: func() time.Time { return now }})
	target := s.call("").Target
	for step, rest := range []time.Duration{0, time.Second, 1500 * time.Millisecond} {
		now = now.Add(rest)
		if outcome, _ := do(client, s.call("id")); !outcome.Complete {
			t.Fatal(outcome)
		}
		if want := []int{1, 1, 2}[step]; s.connections() != want {
			t.Errorf("after %v of idle time %d connections were opened, want %d", rest, s.connections(), want)
		}
	}
	now = now.Add(1500 * time.Millisecond)
	client.CloseIdle()
	if open := client.Load(target); open != 0 {
		t.Errorf("%d connections are open, want 0", open)
	}
}

// TestAnswersThatAreNotWhole checks the outcome and the delivered part of answers that are missing, malformed, foreign or
// incomplete.
func TestAnswersThatAreNotWhole(t *testing.T) {
	for name, test := range map[string]struct {
		answer  string // ATTEMPT stands for the field that echoes the attempt ID
		reset   bool
		verdict verdict.Verdict
		status  int
		body    string
	}{
		"silence":             {verdict: verdict.MayHaveRun},
		"no answer":           {answer: "garbage\r\n\r\n", verdict: verdict.MayHaveRun},
		"head cut":            {answer: "HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-", verdict: verdict.MayHaveRun},
		"foreign":             {answer: "HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 2\r\n\r\nab", verdict: verdict.MayHaveRun},
		"cut within length":   {answer: "HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: 5\r\n\r\nab", verdict: verdict.Ran, status: 200, body: "ab"},
		"cut within chunk":    {answer: "HTTP/1.1 200 OK\r\nATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", verdict: verdict.Ran, status: 200, body: "ab"},
		"no last chunk":       {answer: "HTTP/1.1 200 OK\r\nATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", verdict: verdict.Ran, status: 200, body: "ab"},
		"reset after a piece": {answer: "HTTP/1.1 200 OK\r\nATTEMPT\r\n\r\nab", reset: true, verdict: verdict.Ran, status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
				write(conn, strings.Replace(test.answer, "ATTEMPT", "Attempt: "+request.Header.Get("Attempt"), 1))
				if test.reset {
					<-proceed
					resetOnClose(conn)
				}
				return false
			})
			sink := &recordingSink{onBody: func(string) {
				if test.reset {
					close(proceed)
				}
			}}
			outcome := newTestClient(t, Options{}).Do(context.Background(), s.call("one"), sink)
			if outcome.Complete || outcome.Err == nil || outcome.Verdict != test.verdict || outcome.Status != test.status || outcome.Refused != RefusedNone {
				t.Errorf("got outcome %+v, want an error, verdict and status of the test case", outcome)
			}
			if got := sink.body.String(); !test.reset && got != test.body {
				t.Errorf("got body %q, want the one of the test case", got)
			}
		})
	}
}

// TestAnswerWithoutLengthEndsWithItsConnection checks that an answer without a length is whole when the replica closes the
// connection, and that an interim answer is skipped.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
		write(conn, "HTTP/1.1 100 Continue\r\n\r\n"+answerWith(request, "\r\nall of it"))
		return false
	})
	outcome, sink := do(newTestClient(t, Options{}), s.call("one"))
	if !outcome.Complete || sink.body.String() != "all of it" || sink.head.Length != -1 || sink.heads != 1 {
		t.Fatalf("got outcome %+v and head %+v, want the whole answer", outcome, sink.head)
	}
}

// TestSurplusAnswers checks that bytes after a whole answer, whenever they arrive, are not delivered as the answer to a
// later request, and that their connection is not reused.
func TestSurplusAnswers(t *testing.T) {
	surplus := "HTTP/1.1 200 OK\r\nAttempt: old\r\nContent-Length: 3\r\n\r\nbad"
	sendLate := make(chan struct{})
	for name, answer := range map[string]func(conn net.Conn, request *http.Request, _ string, serial int) bool{
		"at once": func(conn net.Conn, request *http.Request, _ string, _ int) bool {
			write(conn, answerWith(request, "Content-Length: 2\r\n\r\nok")+surplus)
			return true
		},
		"in the place of the next": func(conn net.Conn, request *http.Request, _ string, serial int) bool {
			if serial == 1 {
				write(conn, surplus)
			}
			write(conn, answerWith(request, "Content-Length: 2\r\n\r\nok"))
			return true
		},
		"without an echo": func(conn net.Conn, request *http.Request, _ string, serial int) bool {
			if serial == 1 {
				write(conn, strings.Replace(surplus, "Attempt: old\r\n", "", 1))
			}
			write(conn, answerWith(request, "Content-Length: 2\r\n\r\nok"))
			return true
		},
		"while idle": func(conn net.Conn, request *http.Request, _ string, serial int) bool {
			write(conn, answerWith(request, "Content-Length: 2\r\n\r\nok"))
			if serial == 0 {
				go func() { <-sendLate; write(conn, surplus); sendLate <- struct{}{} }()
			}
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, client := newStandinReplica(t, answer), newTestClient(t, Options{IdleTimeout: time.Hour})
			if outcome, _ := do(client, s.call("one")); !outcome.Complete {
				t.Fatal(outcome)
			}
			if name == "while idle" {
				sendLate <- struct{}{}
				<-sendLate
				waitForSurplus(client, s.call("").Target)
			}
			second, sink := do(client, s.call("two"))
			if strings.Contains(sink.body.String(), "bad") || sink.head.Status == 0 && second.Verdict != verdict.MayHaveRun {
				t.Fatalf("got outcome %+v and body %q, want the answer to this request or none", second, sink.body.String())
			}
			third, sink := do(client, s.call("three"))
			if !third.Complete || sink.body.String() != "ok" {
				t.Errorf("got outcome %+v, want a whole answer on a new connection", third)
			}
		})
	}
}

// waitForSurplus returns once the idle connection has something to read.
func waitForSurplus(client *Client, target Target) {
	for {
		client.mu.Lock()
		surplus := !isReusable(client.replicas[target].idle[0].Conn)
		client.mu.Unlock()
		if surplus {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestRefusals checks that an answer which means that the request did not run is reported as a refusal, is not passed to
// the sink and leaves the connection reusable, and that a plain status 503 does not count as a refusal.
func TestRefusals(t *testing.T) {
	for name, test := range map[string]struct {
		answer  string
		refused Refusal
	}{
		"full":         {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", RefusedFull},
		"other target": {"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", RefusedWrongTarget},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
				write(conn, strings.Replace(test.answer, "\r\n", "\r\nAttempt: "+request.Header.Get("Attempt")+"\r\n", 1))
				return true
			})
			client := newTestClient(t, Options{IdleTimeout: time.Hour})
			for range 2 {
				outcome, sink := do(client, s.call("one"))
				if outcome.Verdict != verdict.DidNotRun || outcome.Refused != test.refused || outcome.Complete || sink.heads != 0 {
					t.Fatalf("got outcome %+v, want a refusal of the test case's kind", outcome)
				}
			}
			if s.connections() != 1 {
				t.Errorf("the connection of a refusal was not reused")
			}
		})
	}
	plain := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
		write(conn, strings.Replace(answerWith(request, "Content-Length: 0\r\n\r\n"), "200 OK", "503 Failed", 1))
		return true
	})
	if outcome, sink := do(newTestClient(t, Options{}), plain.call("one")); outcome.Verdict != verdict.Ran || sink.head.Status != 503 {
		t.Errorf("got outcome %+v for a status 503 that is not marked as not executed, want Ran", outcome)
	}
}

// TestCallsThatNeverLeave checks that a call which Admit refuses, or whose replica is not reachable, is not sent and is
// reported as not run.
func TestCallsThatNeverLeave(t *testing.T) {
	s := newStandinReplica(t, func(net.Conn, *http.Request, string, int) bool { t.Error("the request was sent"); return false })
	reason := errors.New("no longer")
	call := s.call("one")
	call.Admit = func() error { return reason }
	if outcome, _ := do(newTestClient(t, Options{}), call); outcome.Verdict != verdict.DidNotRun || !errors.Is(outcome.Err, reason) {
		t.Errorf("got outcome %+v, want DidNotRun with Admit's error", outcome)
	}
	_ = s.listener.Close()
	if outcome, _ := do(newTestClient(t, Options{}), s.call("two")); outcome.Verdict != verdict.DidNotRun || outcome.Refused != RefusedUnreachable {
		t.Errorf("got outcome %+v, want DidNotRun and RefusedUnreachable", outcome)
	}
}

// TestPiecesCancelAndBound checks that the pieces of an answer are delivered as they arrive, that the connection is closed
// when the context is done, and that MaxConnections bounds the connections to a replica.
func TestPiecesCancelAndBound(t *testing.T) {
	gone, next := make(chan struct{}), make(chan struct{})
	s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
		write(conn, answerWith(request, "Content-Type: text/event-stream; charset=utf-8\r\n\r\nfirst"))
		<-next
		write(conn, "second")
		_, _ = conn.Read(make([]byte, 1)) // returns when the client closes the connection
		close(gone)
		return false
	})
	client := newTestClient(t, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	call := s.call("one")
	call.MaxConnections = 1
	sink := &recordingSink{onBody: func(chunk string) {
		switch chunk {
		case "first":
			if outcome, _ := do(client, call); outcome.Verdict != verdict.DidNotRun || outcome.Refused != RefusedFull {
				t.Errorf("got outcome %+v for a second connection, want RefusedFull", outcome)
			}
			close(next)
		case "second":
			cancel()
		}
	}}
	outcome := client.Do(ctx, call, sink)
	if !sink.head.Stream || outcome.Complete || !errors.Is(outcome.Err, context.Canceled) || outcome.Verdict != verdict.Ran {
		t.Errorf("got outcome %+v and head %+v, want a stream that was cancelled after it ran", outcome, sink.head)
	}
	<-gone
}

// TestEarlyAnswerToLongBody checks that a connection is closed after an answer that came before the replica had read the
// body. On a reused connection the replica would take the next request for the rest of the body.
func TestEarlyAnswerToLongBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		write(conn, "HTTP/1.1 200 OK\r\nAttempt: long\r\nContent-Length: 2\r\n\r\nok")
	}()
	client := newTestClient(t, Options{})
	call := &Call{Target: Target{Instance: "i", Address: listener.Addr().String()}, AttemptID: "long", Method: "POST",
		Path: "/", Body: make([]byte, 64<<20), Urgency: -1, ResumeAfter: -1}
	outcome, _ := do(client, call)
	if !outcome.Complete || client.Load(call.Target) != 0 {
		t.Errorf("got outcome %+v and %d open connections, want a whole answer and none", outcome, client.Load(call.Target))
	}
}

// TestConnectionsBelongToOneStart checks that connections to a replica are not reused after it was restarted under the
// same ID and address, and that calls name the replica by its ID alone, because a replica does not know its start time.
func TestConnectionsBelongToOneStart(t *testing.T) {
	s := newStandinReplica(t, func(conn net.Conn, request *http.Request, body string, _ int) bool {
		write(conn, answerWith(request, "Keep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n"))
		return true
	})
	client := newTestClient(t, Options{})
	for number, instance := range []string{"i-1@1000", "i-1@1000", "i-1@2000"} {
		call := s.call(instance)
		call.Instance = instance
		if outcome, _ := do(client, call); !outcome.Complete {
			t.Fatalf("got outcome %+v, want a whole answer", outcome)
		}
		if target := s.requests[number].Header.Get("Target"); target != "i-1" {
			t.Errorf("got target %q, want the ID without the start time", target)
		}
	}
	if got := s.connections(); got != 2 {
		t.Errorf("%d connections were opened, want one for each start", got)
	}
}

// TestSuccessWithoutProofIsNotDelivered guards against bytes that are no answer reaching a caller as a success: what does
// not name the request, or is a success without a signature, is not delivered, and the request may have run. It also
// checks that a failure needs no signature.
func TestSuccessWithoutProofIsNotDelivered(t *testing.T) {
	for name, test := range map[string]struct {
		answer string // ATTEMPT stands for the field that echoes the attempt ID
		fault  error  // nil: the answer is delivered
	}{
		"bare success":          {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", answercheck.Unnamed},
		"bare 204":              {"HTTP/1.1 204 No Content\r\n\r\n", answercheck.Unnamed},
		"bare refusal":          {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", answercheck.Unnamed},
		"bare failure":          {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", answercheck.Unnamed},
		"foreign success":       {"HTTP/1.1 200 OK\r\nAttempt: two\r\nSigned: s\r\nContent-Length: 0\r\n\r\n", answercheck.Foreign},
		"unsigned success":      {"HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: 2\r\n\r\nab", answercheck.Unsigned},
		"unsigned 204":          {"HTTP/1.1 204 No Content\r\nATTEMPT\r\n\r\n", answercheck.Unsigned},
		"unsigned event stream": {"HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", answercheck.Unsigned},
		"signed success":        {"HTTP/1.1 200 OK\r\nATTEMPT\r\nSigned: s\r\nContent-Length: 2\r\n\r\nab", nil},
		"unsigned failure":      {"HTTP/1.1 500 Failed\r\nATTEMPT\r\nContent-Length: 2\r\n\r\nab", nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
				write(conn, strings.Replace(test.answer, "ATTEMPT", "Attempt: "+request.Header.Get("Attempt"), 1))
				return false
			})
			names := testNames
			names.Signature = "Signed"
			client := NewClient(Options{Names: names})
			t.Cleanup(client.Close)
			outcome, sink := do(client, s.call("one"))
			if test.fault == nil {
				if !outcome.Complete || sink.body.String() != "ab" {
					t.Fatalf("got outcome %+v and body %q, want the whole answer", outcome, sink.body.String())
				}
				return
			}
			if outcome.Verdict != verdict.MayHaveRun || outcome.Refused != RefusedNone || !errors.Is(outcome.Err, test.fault) || sink.heads != 0 {
				t.Errorf("got outcome %+v and %d heads, want MayHaveRun with %v and nothing delivered", outcome, sink.heads, test.fault)
			}
		})
	}
}
