// Package servertest has what tests of several packages need to run servers and processes. Only tests import it.
package servertest

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
)

// Server is a role's or a stand-in's runtime.
type Server interface {
	// Run serves until ctx ends or the server is closed; nil after either.
	Run(ctx context.Context) error
	Close() error
}

// Run serves until the test ends, closes the server then, and fails the test if it had ended with an error.
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

// Output keeps what a process writes. It is safe for concurrent use.
type Output struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(content []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(content)
}

// Bytes returns a copy of everything that was written.
func (o *Output) Bytes() []byte {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return bytes.Clone(o.text.Bytes())
}

// String returns everything that was written.
func (o *Output) String() string { return string(o.Bytes()) }

// Tail returns the last bytes that were written, at most so many.
func (o *Output) Tail(most int) string {
	text := o.Bytes()
	return string(text[max(0, len(text)-most):])
}
