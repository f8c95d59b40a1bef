//go:build !linux

package replica

import (
	"net"
	"time"
)

// isReusable returns true, because this system provides no check for surplus bytes or a close.
func isReusable(net.Conn) bool { return true }

// setUserTimeout does nothing on this system.
func setUserTimeout(*net.TCPConn, time.Duration) {}

// readSendState reports that nothing is pending, because the send state is not available on this system.
func readSendState(*net.TCPConn) sendState { return sendState{} }
