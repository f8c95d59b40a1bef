package replica

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// probeTime bounds the question whether a replica still listens. A refusal comes within one round trip; a machine without power says
// nothing, and whoever waits for the answer is a request that could be sent elsewhere meanwhile.
const probeTime = 100 * time.Millisecond

// brokeOff tells whether a call ended with its connection, and not by what came on it.
func brokeOff(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// Dial opens a connection to an IP:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Examine tells what became of a replica whose connection ended with a cause: it asks whether anything listens at the address. Replicas
// that lose an answer or reset a connection live on; without the question they can't be told from those that crashed, which look alike
// on the connection.
func Examine(ctx context.Context, dial Dial, address string, cause error) Peer {
	if !brokeOff(cause) {
		return PeerUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	conn, err := dial(ctx, address)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent on it
		return PeerListening
	case errors.Is(err, syscall.ECONNREFUSED):
		return PeerGone
	}
	return PeerUnknown
}
