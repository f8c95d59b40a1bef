package answerconn

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/standin/spoiled"
)

// spoiledServer starts a server that answers with spoiled bytes of a kind, and returns its URL.
func spoiledServer(t *testing.T, kind spoiled.Kind) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = spoiled.Write(conn, kind, spoiled.Names{RequestID: "Id", Signature: "Signed"}, "one", rand.New(rand.NewPCG(1, 1)))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// TestSpoiledAnswerIsNoneToAnHTTPClient guards against answers that the clients of the libraries take and that are none: of
// status 000, with names that are none, or without a length to a request that was not read.
func TestSpoiledAnswerIsNoneToAnHTTPClient(t *testing.T) {
	standard := &http.Client{Transport: &Transport{Base: &http.Transport{}}}
	t.Cleanup(standard.CloseIdleConnections)
	other := &fasthttp.Client{Dial: Dial(fasthttp.Dial), MaxIdemponentCallAttempts: 1}
	t.Cleanup(other.CloseIdleConnections)
	body := strings.Repeat("b", 1<<20)
	for _, kind := range []spoiled.Kind{spoiled.BadStatus, spoiled.BlankInName, spoiled.BlankBeforeColon, spoiled.ControlInName, spoiled.MisspelledLength,
		spoiled.MisspelledChunks, spoiled.ResetUnframed, spoiled.CutHead, spoiled.CutBody} {
		t.Run(kind.String(), func(t *testing.T) {
			address := spoiledServer(t, kind)
			if response, err := standard.Post(address, "text/plain", strings.NewReader(body)); err == nil {
				got, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if err == nil {
					t.Errorf("net/http: got status %d and body %q, want an error", response.StatusCode, got)
				}
			}
			request, response := &fasthttp.Request{}, &fasthttp.Response{}
			request.SetRequestURI(address)
			request.Header.SetMethod(http.MethodPost)
			request.SetBodyString(body)
			if err := other.DoTimeout(request, response, time.Second); err == nil {
				t.Errorf("fasthttp: got status %d and body %q, want an error", response.StatusCode(), response.Body())
			}
		})
	}
}

// TestAnswersOnOneConnectionAreChecked checks that each answer on a kept connection is checked, and no body.
func TestAnswersOnOneConnectionAreChecked(t *testing.T) {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _, _ = ours.Close(), theirs.Close() })
	go func() {
		buffer := make([]byte, 64)
		for _, answer := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "X Odd: body\r\n", "HTTP/1.1 200 OK\r\nX Odd: v\r\n\r\n"} {
			if answer[0] == 'H' {
				_, _ = theirs.Read(buffer)
			}
			_, _ = io.WriteString(theirs, answer)
		}
	}()
	conn, buffer := Wrap(ours), make([]byte, 64)
	_, _ = io.WriteString(conn, "request")
	for range 2 {
		if _, err := conn.Read(buffer); err != nil {
			t.Fatalf("the first answer: %v", err)
		}
	}
	_, _ = io.WriteString(conn, "request")
	if _, err := conn.Read(buffer); !errors.Is(err, answercheck.BadField) {
		t.Errorf("the second answer: got %v, want %v", err, answercheck.BadField)
	}
}
