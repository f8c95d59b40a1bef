package replica

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// isReusable reports whether an idle connection was not closed by the peer and has no surplus bytes to read.
func isReusable(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
		return true
	})
	return err == nil && silent
}

// readSendState returns the system's send state of a connection. A connection that has ended has nothing to send.
func readSendState(conn *net.TCPConn) (found sendState) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return found
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		found = sendState{acknowledged: info.Bytes_acked, pending: info.Unacked > 0 || info.Notsent_bytes > 0, inFlight: info.Unacked > 0,
			silence: time.Duration(info.Last_ack_recv) * time.Millisecond}
	})
	return found
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged before the system closes the connection. 0 selects
// the system's default.
func setUserTimeout(conn *net.TCPConn, timeout time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
