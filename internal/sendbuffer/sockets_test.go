package sendbuffer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// connectOverSockets returns a TCP peer and the wrapped connection to it, with small buffers in the system.
func (f *fixture) connectOverSockets(t *testing.T, listener net.Listener) (net.Conn, *Conn) {
	t.Helper()
	reader, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.(*net.TCPConn).SetWriteBuffer(8 << 10)
	_ = reader.(*net.TCPConn).SetReadBuffer(8 << 10)
	return reader, f.Wrap(raw)
}

// TestNothingIsReadAfterClose checks that reads fail after Close while the buffer is still being sent. A request that was
// read then would run without being answered.
func TestNothingIsReadAfterClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	f := newFixture()
	caller, conn := f.connectOverSockets(t, listener)
	defer caller.Close()
	unsent := func() int64 {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.queue.unsentBytes()
	}
	for unsent() < 64<<10 { // more than the system accepts later
		if _, err = conn.Write(sample(8 << 10)); err != nil {
			t.Fatal(err)
		}
	}
	read := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	if err = conn.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err = caller.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	if err = <-read; err == nil {
		t.Error("a pending read returned no error after Close")
	}
	if n, err := conn.Read(make([]byte, 10)); err == nil {
		t.Errorf("%d bytes were read after Close, want an error", n)
	}
	if unsent() == 0 {
		t.Error("the buffer was empty before the reads, so the test checked nothing")
	}
}

// TestOverSockets checks over TCP that everything arrives at a slow peer, and that a connection fails and its buffer is
// freed when the peer closes.
func TestOverSockets(t *testing.T) {
	f := newFixture()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	reader, conn := f.connectOverSockets(t, listener)
	want := sample(150 << 10)
	go func(conn *Conn) { // a parameter, because the variable is assigned another connection below
		for at := 0; at < len(want); at += 10 << 10 {
			if _, err := conn.Write(want[at : at+10<<10]); err != nil {
				t.Error(err)
			}
		}
		_ = conn.Close()
	}(conn)
	var got bytes.Buffer
	if _, err := got.ReadFrom(reader); err != nil || !bytes.Equal(got.Bytes(), want) {
		t.Errorf("%d bytes arrived, error %v; want all", got.Len(), err)
	}
	reader, conn = f.connectOverSockets(t, listener)
	for f.Slow() == 0 {
		if _, err := conn.Write(want[:10<<10]); err != nil {
			t.Fatal(err)
		}
	}
	_ = reader.Close()
	if err := f.Wait(t.Context()); err != nil {
		t.Error(err)
	}
	if _, err := conn.Write(want); err == nil {
		t.Error("a write to a peer that has closed returned no error")
	}
	f.isEmpty(t)
}

// TestCutsAreVisible checks that a peer that is cut off gets a reset, so that it does not take the bytes that it has read
// for a complete answer.
func TestCutsAreVisible(t *testing.T) {
	f := newFixture()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	reader, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := f.Wrap(raw)
	for f.Slow() == 0 {
		if _, err := conn.Write(sample(10 << 10)); err != nil {
			t.Fatal(err)
		}
	}
	if !conn.cutOff(ErrShed) {
		t.Fatal("the connection was not cut off")
	}
	if _, err := io.Copy(io.Discard, reader); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer got error %v, want a connection reset", err)
	}
	if err := f.Wait(t.Context()); err != nil {
		t.Error(err)
	}
	f.isEmpty(t)
}
