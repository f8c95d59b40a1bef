package sendbuffer

import (
	"errors"
	"net"
	"syscall"
)

// wrapTransport adds TryWrite to a connection. For a connection that gives no access to its file descriptor, TryWrite
// accepts nothing.
func wrapTransport(conn net.Conn) transport {
	if made, ok := conn.(transport); ok {
		return made
	}
	if system, ok := conn.(syscall.Conn); ok {
		if raw, err := system.SyscallConn(); err == nil {
			return newSocket(conn, raw)
		}
	}
	return plainConn{conn}
}

// plainConn is a connection without access to its file descriptor.
type plainConn struct{ net.Conn }

// TryWrite implements transport.
func (plainConn) TryWrite([]byte) (int, error) { return 0, nil }

// socket is a connection with a file descriptor. TryWrite is not safe for concurrent use.
type socket struct {
	net.Conn
	raw       syscall.RawConn
	writeFunc func(descriptor uintptr) bool // writeOnce, stored so that a write does not allocate
	data      []byte
	n         int
	err       error
}

func newSocket(conn net.Conn, raw syscall.RawConn) *socket {
	made := &socket{Conn: conn, raw: raw}
	made.writeFunc = made.writeOnce
	return made
}

// resetConnection closes the connection with a reset, so that the peer can't take an incomplete answer for a complete one
// and the system discards unsent bytes.
func resetConnection(conn net.Conn) {
	if made, ok := conn.(*socket); ok {
		if tcp, ok := made.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = conn.Close()
}

// writeOnce makes one write call with the data, which is repeated only if a signal interrupts it.
func (s *socket) writeOnce(descriptor uintptr) bool {
	for {
		s.n, s.err = syscall.Write(int(descriptor), s.data)
		if !errors.Is(s.err, syscall.EINTR) {
			return true
		}
	}
}

// TryWrite implements transport.
func (s *socket) TryWrite(data []byte) (int, error) {
	s.data, s.n, s.err = data, 0, nil
	err := s.raw.Write(s.writeFunc)
	s.data = nil
	switch {
	case err != nil:
		return 0, err
	case errors.Is(s.err, syscall.EAGAIN):
		return 0, nil
	case s.err != nil:
		return 0, &net.OpError{Op: "write", Net: "tcp", Source: s.LocalAddr(), Addr: s.RemoteAddr(), Err: s.err}
	}
	return s.n, nil
}
