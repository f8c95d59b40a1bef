package replica

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// probeTimeout bounds the attempt to connect to a replica in Examine. A refused connection is reported within one round
// trip. A machine without power does not respond, and the request that waits for the result could be sent elsewhere
// meanwhile.
const probeTimeout = 100 * time.Millisecond

// isConnectionError reports whether a call ended because its connection failed or was closed, not because of the content
// of the answer.
func isConnectionError(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// Dial opens a connection to an IP:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Examine determines the state of a replica after one of its connections ended with the error cause, by opening another
// connection to its address. Replicas that lose an answer or reset a connection continue to run. On the broken connection
// they can't be distinguished from replicas that crashed.
func Examine(ctx context.Context, dial Dial, address string, cause error) Peer {
	if !isConnectionError(cause) {
		return PeerUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	switch {
	case err == nil:
		_ = conn.Close() // an error does not matter, because nothing was sent on the connection
		return PeerListening
	case errors.Is(err, syscall.ECONNREFUSED):
		return PeerGone
	}
	return PeerUnknown
}
