package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/standin/spoiled"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestLineThatIsNoFieldIsNoAnswer guards against a back end's answer with a field whose name is none, of which the caller
// gets a body with another length than the back end meant.
func TestLineThatIsNoFieldIsNoAnswer(t *testing.T) {
	for _, kind := range spoiled.FieldKinds() {
		t.Run(kind.String(), func(t *testing.T) {
			backend := newRawBackend(t, func(conn net.Conn, request *http.Request, _ int64) {
				_ = spoiled.Write(conn, kind, spoiled.Names{RequestID: HeaderRequestID, Signature: "Signed"}, request.Header.Get(HeaderRequestID), rand.New(rand.NewPCG(1, 1)))
				_ = conn.Close()
			})
			f := newRawFixture(t, backend)
			got := f.push(t, 0, "k", "{}")
			if got.status != http.StatusBadGateway || got.header.Get(verdict.Header) != "may-have-run" || strings.Contains(got.body, "wrong") {
				t.Errorf("got %+v, want status 502 with the verdict may-have-run", got)
			}
		})
	}
}

// TestAnswerResetDuringUploadIsNotWhole guards against a part of an answer without a length that counts as all of it,
// because the back end reset the connection while the request was still being written.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	for _, status := range []string{"200 OK", "500 No"} {
		f := newRawFixture(t, &rawBackend{listener: serveConnections(t, func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\n\r\npart"))
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})})
		body := `{"text":"` + strings.Repeat("x", 1<<20) + `"}`
		for number := range 10 {
			got := f.push(t, 0, "k"+string(rune('a'+number)), body)
			if got.status != http.StatusBadGateway || strings.Contains(got.body, "part") {
				t.Fatalf("after %q: got %+v, want status 502", status, got)
			}
		}
	}
}
