package controlclient

import "storj.io/drpc"

// streamHolder is implemented by generated drpc clients, whose underlying stream it returns.
type streamHolder interface{ GetStream() drpc.Stream }

// flusher is implemented by drpc streams that are flushed manually.
type flusher interface{ RawFlush() error }

// flush sends the buffered messages of a stream. It does nothing for streams that are not flushed manually.
func flush(stream drpc.Stream) error {
	if holder, ok := stream.(streamHolder); ok {
		stream = holder.GetStream()
	}
	if out, ok := stream.(flusher); ok {
		return out.RawFlush()
	}
	return nil
}
