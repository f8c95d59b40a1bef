//go:build !linux

package replica

import (
	"net"
	"time"
)

func isReusable(net.Conn) bool { return true }

func setUserTimeout(*net.TCPConn, time.Duration) {}

// readSendState reports that nothing is pending, because the send state is not available on this system.
func readSendState(*net.TCPConn) sendState { return sendState{} }
