//go:build !linux

package replica

import (
	"net"
	"time"
)

func quiet(net.Conn) bool { return true }

func setUserTimeout(*net.TCPConn, time.Duration) {}
