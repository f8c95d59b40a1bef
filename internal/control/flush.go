package control

import (
	"context"
	"errors"
	"io"

	"storj.io/drpc"
)

// flush sends what a stream has buffered. The writers of the server's streams call it explicitly, so that many messages
// share one system call.
func flush(stream drpc.Stream) error {
	if holder, ok := stream.(interface{ GetStream() drpc.Stream }); ok {
		stream = holder.GetStream()
	}
	if out, ok := stream.(interface{ RawFlush() error }); ok {
		return out.RawFlush()
	}
	return nil
}

// endOfStream returns nil for errors that mark a planned end of a stream, and err otherwise.
func endOfStream(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
