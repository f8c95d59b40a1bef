package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/replica"
)

// memoryServer is a replica on a TCP connection that crashes when its requests exceed a number of bytes. Another one
// takes over its address after one second.
type memoryServer struct {
	memory  int64
	address string
	crashes *atomic.Int64
	held    atomic.Int64
	once    sync.Once
	server  *httptest.Server
}

func startMemoryServer(t *testing.T, address string, memory int64, crashes *atomic.Int64) *memoryServer {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Error(err)
		return nil
	}
	made := &memoryServer{memory: memory, address: listener.Addr().String(), crashes: crashes}
	made.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if made.held.Add(r.ContentLength) > memory {
			made.once.Do(func() {
				crashes.Add(1)
				_ = listener.Close()
				made.server.CloseClientConnections()
				time.AfterFunc(time.Second, func() { startMemoryServer(t, made.address, memory, crashes) })
			})
		}
		defer made.held.Add(-r.ContentLength)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength > 1<<20 {
			time.Sleep(300 * time.Millisecond)
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		_, _ = io.WriteString(w, "good")
	}))
	_ = made.server.Listener.Close()
	made.server.Listener = listener
	made.server.Start()
	t.Cleanup(func() { made.server.CloseClientConnections(); made.server.Close() })
	return made
}

// TestReplicasOverTCPCrashOnce checks over real TCP connections that one crash caused by the total size of large bodies
// suffices to learn the limit, that every body is served, and that no concurrent small request fails.
func TestReplicasOverTCPCrashOnce(t *testing.T) {
	if testing.Short() {
		t.Skip("sends some hundred megabytes")
	}
	const body = 16 << 20
	var crashes atomic.Int64
	rows := "p kind pool;r kind route;r host h;r path_prefix /;r pools p:1;r max_attempts 3;r route_kind repeatable;r timeout_millis 60000"
	for i := range 2 {
		rows += fmt.Sprintf(";p%d kind backend;p%d pool p;p%d address %s", i, i, i, startMemoryServer(t, "127.0.0.1:0", 40<<20, &crashes).address)
	}
	f := newFixture(t, rows, good).withSpreadBytes()
	client := replica.NewClient(replica.Options{Names: replica.Names{AttemptID: "X-Attempt-Id"}})
	t.Cleanup(client.Close)
	f.config.Caller = client
	f.config.Clock = func() time.Duration { return time.Since(f.start) }
	var small atomic.Int64
	stop := make(chan struct{})
	var beside sync.WaitGroup
	beside.Go(func() {
		for serial := 0; ; serial++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			request := &Request{AttemptID: fmt.Sprint("small-", serial), Method: "POST", Path: "/", Host: "h", Body: []byte(strings.Repeat("x", 300)), Received: time.Now(), Deadline: 10 * time.Second}
			if failure := f.Serve(t.Context(), request, &recordedReply{}); failure != nil {
				t.Errorf("a small request failed: %v", failure)
			}
			small.Add(1)
		}
	})
	for round := range 2 {
		for _, failure := range f.serveConcurrently(t.Context(), 8, body, 50*time.Second) {
			if failure != nil {
				t.Errorf("round %d: a large request failed: %v", round, failure)
			}
		}
	}
	close(stop)
	beside.Wait()
	t.Logf("%d crashes, %d small requests", crashes.Load(), small.Load())
	if crashes.Load() != 1 {
		t.Errorf("got %d crashes, want 1", crashes.Load())
	}
}
