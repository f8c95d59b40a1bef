package fleet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// cableAndPeer returns a connection over a cable and its other end.
func cableAndPeer(t *testing.T) (over *cable, ours, theirs net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	over = newCable()
	ours, err = over.dial(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	theirs, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		over.repair()
		for _, closer := range []io.Closer{ours, theirs, listener} {
			_ = closer.Close()
		}
	})
	return over, ours, theirs
}

// arrives reads one byte and reports whether one came within 50 ms.
func arrives(t *testing.T, connection net.Conn) bool {
	t.Helper()
	if err := connection.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, err := connection.Read(make([]byte, 1))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return err == nil
}

func TestACutCableLosesOrLeaksBytes(t *testing.T) {
	over, ours, theirs := cableAndPeer(t)
	over.cut(true, true)
	for _, connection := range []net.Conn{ours, theirs} {
		if _, err := connection.Write([]byte{1}); err != nil {
			t.Fatal(err)
		}
	}
	if arrives(t, ours) || arrives(t, theirs) {
		t.Fatal("a byte crossed a cut cable")
	}
	over.repair()
	if !arrives(t, ours) || !arrives(t, theirs) {
		t.Fatal("a byte was lost although the cable was repaired")
	}
}

func TestAOneWayCutHoldsBothWays(t *testing.T) {
	over, ours, theirs := cableAndPeer(t)
	over.cut(true, false)
	for _, connection := range []net.Conn{ours, theirs} {
		if _, err := connection.Write([]byte{1}); err != nil {
			t.Fatal(err)
		}
	}
	if arrives(t, ours) || !arrives(t, theirs) {
		t.Fatal("want incoming bytes held and outgoing bytes delivered")
	}
}

// TestACloseOverACutCableIsHeard closes one end while the cable is cut. The peer must see the close only after the
// repair.
func TestACloseOverACutCableIsHeard(t *testing.T) {
	over, ours, theirs := cableAndPeer(t)
	over.cut(true, true)
	read := make(chan error, 1)
	go func() {
		_, err := ours.Read(make([]byte, 1))
		read <- err
	}()
	if err := ours.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-read; !errors.Is(err, net.ErrClosed) {
		t.Fatalf("a read on a closed connection returned %v, want net.ErrClosed", err)
	}
	if arrives(t, theirs) {
		t.Fatal("the peer saw the close while the cable was cut")
	}
	over.repair()
	if err := theirs.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if _, err := theirs.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("after the repair the peer's read returned %v, want io.EOF", err)
	}
}

func TestADialOverACutCableConnects(t *testing.T) {
	over := newCable()
	over.cut(false, true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := over.dial(ctx, "tcp", "127.0.0.1:1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("dial over a cut cable returned %v, want context.DeadlineExceeded", err)
	}
}
