//go:build !linux

package gateway

import (
	"net"
	"time"
)

// isConnectionIdle reports whether a connection is open and has no bytes to read.
func isConnectionIdle(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now().Add(time.Millisecond)) != nil {
		return false
	}
	var buffer [1]byte
	_, err := conn.Read(buffer[:])
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout() && conn.SetReadDeadline(time.Time{}) == nil
}

// isCallerGone always returns false: closed connections are not detected on this platform.
func isCallerGone(net.Conn) bool { return false }
