package controlclient

import "storj.io/drpc"

// streamHolder is what generated drpc clients offer to reach the stream below.
type streamHolder interface{ GetStream() drpc.Stream }

// flusher is the manual flush of a drpc stream.
type flusher interface{ RawFlush() error }

// flush sends what a stream has buffered.
func flush(stream drpc.Stream) error {
	if holder, ok := stream.(streamHolder); ok {
		stream = holder.GetStream()
	}
	if out, ok := stream.(flusher); ok {
		return out.RawFlush()
	}
	return nil
}
