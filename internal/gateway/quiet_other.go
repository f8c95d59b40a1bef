//go:build !linux

package gateway

import (
	"net"
	"time"
)

// connectionQuiet tells whether a connection is open and nothing is waiting to be read from it.
func connectionQuiet(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now().Add(time.Millisecond)) != nil {
		return false
	}
	var buffer [1]byte
	_, err := conn.Read(buffer[:])
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout() && conn.SetReadDeadline(time.Time{}) == nil
}

// callerGone tells whether the other side has closed the connection; it is not known here.
func callerGone(net.Conn) bool { return false }
