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

// streamHead begins a streamed answer that names a request, or none when id is empty.
func streamHead(id string) string {
	if id == "" {
		return sseHeader
	}
	return strings.TrimSuffix(sseHeader, "\r\n") + HeaderRequestID + ": " + id + "\r\n\r\n"
}

const streamFinish = "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\",\"token_offset\":1,\"token_count\":0}]}\n\n" +
	"data: [DONE]\n\n"

func streamBody(words string) string {
	return chunkOf(tokenEvent(0, words)) + chunkOf(streamFinish) + "0\r\n\r\n"
}

// checkStreams sends requests one after the other; each whole answer must be its own. It returns how many
// were whole.
func checkStreams(t *testing.T, f *fixture, requests int) int {
	t.Helper()
	wholeOnes := 0
	for range requests {
		got := f.post(t, 0, "/v1/completions", completion(true))
		if strings.Contains(got.body, "stale") {
			t.Fatalf("another request's tokens: %s", got.body)
		}
		if strings.Contains(got.body, "[DONE]") {
			wholeOnes++
			if strings.Count(got.body, "own") != 1 {
				t.Fatalf("not its own tokens once: %s", got.body)
			}
		}
	}
	return wholeOnes
}

// TestBytesBehindAStreamReachNobodyElse has a back end that goes on writing behind a stream's end.
func TestBytesBehindAStreamReachNobodyElse(t *testing.T) {
	for name, naming := range map[string]bool{"names no request": false, "names the request": true} {
		t.Run(name, func(t *testing.T) {
			backend := newRawBackend(t, func(conn net.Conn, request *http.Request, n int64) {
				head := streamHead("")
				if naming {
					head = streamHead(request.Header.Get(HeaderRequestID))
				}
				late := streamBody("stale ")
				fmt.Fprint(conn, head+chunkOf(tokenEvent(0, fmt.Sprintf("own%d ", n))+streamFinish))
				switch n % 3 {
				case 0:
					fmt.Fprint(conn, late) // in the same body
				case 1:
					fmt.Fprint(conn, "0\r\n\r\n"+head+late) // as an answer that nobody asked for
				default:
					fmt.Fprint(conn, "0\r\n\r\n")
					go func() {
						time.Sleep(time.Duration(n) * time.Millisecond / 4)
						fmt.Fprint(conn, head+late)
					}()
				}
			})
			if wholeOnes := checkStreams(t, rawFixture(t, backend), 40); wholeOnes < 20 {
				t.Fatalf("only %d of 40 streams were whole", wholeOnes)
			}
		})
	}
}

// TestLateStreamInFrontOfAnAnswerReachesNobody has a back end that answers the earlier request of a connection
// once more when it has read the next one: behind every check of the idle connection.
func TestLateStreamInFrontOfAnAnswerReachesNobody(t *testing.T) {
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
			if wholeOnes := checkStreams(t, rawFixture(t, backend), 10); wholeOnes < 5 {
				t.Fatalf("only %d of 10 streams were whole", wholeOnes)
			}
		})
	}
}

// TestChunkOfAnotherRequestEndsTheStream has chunks that name another request within one answer.
func TestChunkOfAnotherRequestEndsTheStream(t *testing.T) {
	named := func(id, event string) string { return strings.Replace(event, "{", `{"id":"`+id+`",`, 1) }
	for name, ids := range map[string]func(own string) (string, string){
		"changes":                func(string) (string, string) { return "cmpl-a", "cmpl-b" },
		"an earlier one of ours": func(own string) (string, string) { return own, "cmpl-" + own + "9" },
	} {
		t.Run(name, func(t *testing.T) {
			backend := newRawBackend(t, func(conn net.Conn, request *http.Request, _ int64) {
				own, other := ids(request.Header.Get(HeaderRequestID))
				fmt.Fprint(conn, sseHeader+chunkOf(named(own, tokenEvent(0, "own ")))+
					chunkOf(named(other, tokenEvent(1, "stale ")))+chunkOf(streamFinish)+"0\r\n\r\n")
			})
			got := rawFixture(t, backend).post(t, 0, "/v1/completions", completion(true))
			if strings.Contains(got.body, "stale") || strings.Contains(got.body, "[DONE]") || !strings.Contains(got.body, `"error"`) {
				t.Fatalf("%+v", got)
			}
		})
	}
}

// TestChunkIdentityIsComparedWhole covers the forms in which engines give a request's identity back.
func TestChunkIdentityIsComparedWhole(t *testing.T) {
	const prefix, own = "p-", "p-1"
	for id, other := range map[string]bool{"p-1": false, "cmpl-p-1": false, "cmpl-p-1-0": false, "chatcmpl-x": false,
		"p-12": true, "p-1.1": true, "cmpl-p-2": true} {
		if namesOther([]byte(id), prefix, own) != other {
			t.Errorf("%s: named as another's: %v", id, !other)
		}
	}
}

// TestConnectionIsKeptOnlyWhenAnswersNameTheirRequest counts connections.
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
				whole(conn, request, "{}")
			})
			f := rawFixture(t, backend)
			for i := range requests {
				if got := f.push(t, 0, fmt.Sprint("key-", i), "{}"); got.status != http.StatusOK {
					t.Fatalf("%+v", got)
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
