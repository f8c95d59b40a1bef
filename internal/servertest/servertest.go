// Package servertest contains helpers that tests of several packages use to run servers and processes. Only tests may
// import it.
package servertest

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
)

// Server is a server of the system, or the stand-in for an external one, that a test can run.
type Server interface {
	// Run serves until ctx ends or the server is closed, and returns nil in both cases.
	Run(ctx context.Context) error
	// Close ends Run and releases the server's resources.
	Close() error
}

// Run serves in the background until the end of the test, when it closes the server and waits for it. The test fails
// if the server's Run returned an error. Idle connections of http.DefaultClient are closed too.
func Run(t testing.TB, server Server) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- server.Run(context.Background()) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
	})
}

// Output is an io.Writer that collects the output of a process in memory. It is safe for concurrent use.
type Output struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(content []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.buffer.Write(content)
}

// Bytes returns a copy of the output so far.
func (o *Output) Bytes() []byte {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return bytes.Clone(o.buffer.Bytes())
}

// String returns the output so far.
func (o *Output) String() string { return string(o.Bytes()) }

// Tail returns the last limit bytes of the output, or all of it if it is shorter.
func (o *Output) Tail(limit int) string {
	text := o.Bytes()
	return string(text[max(0, len(text)-limit):])
}
