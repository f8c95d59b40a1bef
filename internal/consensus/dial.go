package consensus

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialFunc connects to a peer's listener.
type DialFunc func(ctx context.Context, peer Peer) (net.Conn, error)

const (
	dialTimeout = time.Second
	// unacknowledgedTimeout ends a connection whose data nobody acknowledges, so that a healed network
	// is used at once, not after TCP's own backed-off retransmission.
	unacknowledgedTimeout = 2 * time.Second
	firstBackoff          = 20 * time.Millisecond
	lastBackoff           = 500 * time.Millisecond
	// steadyTime is how long a connection lasts that counts as one that works; maximumDoublings bounds the shift.
	steadyTime       = time.Second
	maximumDoublings = 10
)

func dialTCP(ctx context.Context, peer Peer) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: limitUnacknowledged}
	return dialer.DialContext(ctx, "tcp", peer.Address)
}

func limitUnacknowledged(_, _ string, connection syscall.RawConn) error {
	var optionError error
	err := connection.Control(func(descriptor uintptr) {
		optionError = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionError
}
