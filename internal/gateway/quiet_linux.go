package gateway

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isConnectionIdle reports whether a connection is open and has no bytes to read.
func isConnectionIdle(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, receiveErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = receiveErr == unix.EAGAIN || receiveErr == unix.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}

// isCallerGone reports whether the caller has closed the connection.
func isCallerGone(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		n, _, receiveErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = (receiveErr == nil && n == 0) || receiveErr == unix.ECONNRESET
		return true
	})
	return err == nil && gone
}
