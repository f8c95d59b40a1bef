package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// streamHead returns the beginning of a streamed answer that names a request, or names none if id is empty.
func streamHead(id string) string {
	if id == "" {
		return sseHeader
	}
	return strings.TrimSuffix(sseHeader, "\r\n") + HeaderRequestID + ": " + id + "\r\n\r\n"
}

const streamFinish = "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\",\"token_offset\":1,\"token_count\":0}]}\n\n" +
	"data: [DONE]\n\n"

func streamBody(words string) string {
	return formatChunk(formatTokenEvent(0, words)) + formatChunk(streamFinish) + "0\r\n\r\n"
}

// checkStreams sends requests one after another, fails if an answer contains tokens of another request, and returns
// the number of complete answers.
func checkStreams(t *testing.T, f *fixture, requests int) int {
	t.Helper()
	complete := 0
	for range requests {
		got := f.post(t, 0, "/v1/completions", completion(true))
		if strings.Contains(got.body, "stale") {
			t.Fatalf("got another request's tokens: %s", got.body)
		}
		if strings.Contains(got.body, "[DONE]") {
			complete++
			if strings.Count(got.body, "own") != 1 {
				t.Fatalf("want the request's own tokens exactly once, got %s", got.body)
			}
		}
	}
	return complete
}

// TestBytesAfterStreamEndAreNotDelivered guards against tokens that reach another request because the back end goes
// on writing after the end of a stream.
func TestBytesAfterStreamEndAreNotDelivered(t *testing.T) {
	for name, naming := range map[string]bool{"names no request": false, "names the request": true} {
		t.Run(name, func(t *testing.T) {
			backend := newRawBackend(t, func(conn net.Conn, request *http.Request, n int64) {
				head := streamHead("")
				if naming {
					head = streamHead(request.Header.Get(HeaderRequestID))
				}
				late := streamBody("stale ")
				fmt.Fprint(conn, head+formatChunk(formatTokenEvent(0, fmt.Sprintf("own%d ", n))+streamFinish))
				switch n % 3 {
				case 0:
					fmt.Fprint(conn, late) // within the same body
				case 1:
					fmt.Fprint(conn, "0\r\n\r\n"+head+late) // as an answer without a request
				default:
					fmt.Fprint(conn, "0\r\n\r\n")
					go func() {
						time.Sleep(time.Duration(n) * time.Millisecond / 4)
						fmt.Fprint(conn, head+late)
					}()
				}
			})
			if complete := checkStreams(t, newRawFixture(t, backend), 40); complete < 20 {
				t.Fatalf("%d of 40 streams were complete, want at least 20", complete)
			}
		})
	}
}

// TestLateStreamBeforeAnswerIsNotDelivered guards against a second answer to an earlier request that is taken for
// the next one's. The back end writes it only after it has read the next request, so that no check of the idle
// connection can detect it.
func TestLateStreamBeforeAnswerIsNotDelivered(t *testing.T) {
	for name, heads := range map[string]struct{ own, late func(id string) string }{
		"no answer names its request":   {func(string) string { return sseHeader }, func(string) string { return sseHeader }},
		"the late answer names none":    {streamHead, func(string) string { return sseHeader }},
		"the late answer names its own": {streamHead, streamHead},
	} {
		t.Run(name, func(t *testing.T) {
			var mutex sync.Mutex
			earlier := map[net.Conn]string{}
			backend := newRawBackend(t, func(conn net.Conn, request *http.Request, _ int64) {
				id := request.Header.Get(HeaderRequestID)
				mutex.Lock()
				before, reused := earlier[conn]
				earlier[conn] = id
				mutex.Unlock()
				if reused {
					fmt.Fprint(conn, heads.late(before)+streamBody("stale "))
				}
				fmt.Fprint(conn, heads.own(id)+streamBody("own "))
			})
			if complete := checkStreams(t, newRawFixture(t, backend), 10); complete < 5 {
				t.Fatalf("%d of 10 streams were complete, want at least 5", complete)
			}
		})
	}
}

// TestChunkOfAnotherRequestEndsTheStream guards against tokens of another request within one answer. The second
// chunk names another request than the first.
func TestChunkOfAnotherRequestEndsTheStream(t *testing.T) {
	named := func(id, event string) string { return strings.Replace(event, "{", `{"id":"`+id+`",`, 1) }
	for name, ids := range map[string]func(own string) (string, string){
		"changes":                func(string) (string, string) { return "cmpl-a", "cmpl-b" },
		"an earlier one of ours": func(own string) (string, string) { return own, "cmpl-" + own + "9" },
	} {
		t.Run(name, func(t *testing.T) {
			backend := newRawBackend(t, func(conn net.Conn, request *http.Request, _ int64) {
				own, other := ids(request.Header.Get(HeaderRequestID))
				fmt.Fprint(conn, sseHeader+formatChunk(named(own, formatTokenEvent(0, "own ")))+
					formatChunk(named(other, formatTokenEvent(1, "stale ")))+formatChunk(streamFinish)+"0\r\n\r\n")
			})
			got := newRawFixture(t, backend).post(t, 0, "/v1/completions", completion(true))
			if strings.Contains(got.body, "stale") || strings.Contains(got.body, "[DONE]") || !strings.Contains(got.body, `"error"`) {
				t.Fatalf("got %+v, want an error event and neither foreign tokens nor an end mark", got)
			}
		})
	}
}

// TestChunkIDIsComparedWhole covers the forms in which engines return a request's ID, and IDs of which the
// request's own ID is a prefix.
func TestChunkIDIsComparedWhole(t *testing.T) {
	const prefix, own = "p-", "p-1"
	for id, other := range map[string]bool{"p-1": false, "cmpl-p-1": false, "cmpl-p-1-0": false, "chatcmpl-x": false,
		"p-12": true, "p-1.1": true, "cmpl-p-2": true} {
		if namesOtherRequest([]byte(id), prefix, own) != other {
			t.Errorf("ID %s: got %v for naming another request, want the opposite", id, !other)
		}
	}
}

// TestConnectionIsKeptOnlyWhenAnswersNameTheirRequest guards against the reuse of a connection on which a late
// answer could not be recognized.
func TestConnectionIsKeptOnlyWhenAnswersNameTheirRequest(t *testing.T) {
	const requests = 5
	for name, want := range map[string]int{"names the request": 1, "names no request": requests} {
		t.Run(name, func(t *testing.T) {
			var mutex sync.Mutex
			connections := map[net.Conn]bool{}
			backend := newRawBackend(t, func(conn net.Conn, request *http.Request, _ int64) {
				mutex.Lock()
				connections[conn] = true
				mutex.Unlock()
				if want > 1 {
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
					return
				}
				writeAnswer(conn, request, "{}")
			})
			f := newRawFixture(t, backend)
			for i := range requests {
				if got := f.push(t, 0, fmt.Sprint("key-", i), "{}"); got.status != http.StatusOK {
					t.Fatalf("got %+v, want status 200", got)
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			if len(connections) != want {
				t.Fatalf("%d connections for %d requests, want %d", len(connections), requests, want)
			}
		})
	}
}

// TestSpoiledSuccessIsNotDelivered guards against bytes that are no answer reaching a caller as a success. The back end
// names its requests, but every second answer on a new connection is a success that names none.
func TestSpoiledSuccessIsNotDelivered(t *testing.T) {
	backend := newRawBackend(t, func(conn net.Conn, request *http.Request, n int64) {
		if n%2 == 0 {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 7\r\nConnection: close\r\n\r\n\"wrong\"")
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: 7\r\nConnection: close\r\n\r\n\"right\"",
			HeaderRequestID, request.Header.Get(HeaderRequestID))
	})
	f := newRawFixture(t, backend)
	right := 0
	for range 20 {
		got := f.post(t, 0, "/v1/completions", completion(false))
		if strings.Contains(got.body, "wrong") {
			t.Fatalf("got bytes that are no answer with status %d: %s", got.status, got.body)
		}
		if got.status == http.StatusOK {
			right++
		}
	}
	if right < 5 {
		t.Errorf("%d of 20 requests were answered, want at least 5", right)
	}
}

// TestInvalidStatusIsNoSuccess guards against a status that no answer has reaching a caller: fasthttp takes a status of
// 000 for 200.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for name, streamed := range map[string]bool{"whole": false, "streamed": true} {
			t.Run(status+" "+name, func(t *testing.T) {
				backend := newRawBackend(t, func(conn net.Conn, request *http.Request, _ int64) {
					fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\nContent-Type: %s\r\n%s: %s\r\nContent-Length: 7\r\n\r\n\"wrong\"",
						status, eventStreamType, HeaderRequestID, request.Header.Get(HeaderRequestID))
				})
				got := newRawFixture(t, backend).post(t, 0, "/v1/completions", completion(streamed))
				if got.status < http.StatusInternalServerError || got.status > 599 || strings.Contains(got.body, "wrong") {
					t.Errorf("got status %d and %s, want a failure without the back end's bytes", got.status, got.body)
				}
			})
		}
	}
}
