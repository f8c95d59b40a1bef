package gateway

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionQuiet tells whether a connection is open and nothing is waiting to be read from it.
func connectionQuiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, receiveErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = receiveErr == unix.EAGAIN || receiveErr == unix.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// callerGone tells whether the other side has closed the connection.
func callerGone(conn net.Conn) bool {
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
