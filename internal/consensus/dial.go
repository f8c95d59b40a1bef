package consensus

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection to a peer's listener.
type DialFunc func(ctx context.Context, peer Peer) (net.Conn, error)

const (
	dialTimeout = time.Second
	// unacknowledgedTimeout closes a connection whose data is not acknowledged. A new connection is then made as soon
	// as the network works again, without waiting for TCP's exponential retransmission backoff.
	unacknowledgedTimeout = 2 * time.Second
	minBackoff            = 20 * time.Millisecond
	maxBackoff            = 500 * time.Millisecond
	// stableConnectionTime is the minimum duration of a connection that counts as successful. maxDoublings limits the
	// shift in the computation of the backoff.
	stableConnectionTime = time.Second
	maxDoublings         = 10
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
