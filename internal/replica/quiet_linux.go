package replica

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// quiet reports whether an idle connection is open and has nothing to read: no close and no surplus bytes.
func quiet(conn net.Conn) bool {
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

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(conn *net.TCPConn, timeout time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
