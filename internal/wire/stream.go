package wire

// MaximumRetainedBufferBytes is the largest buffer of a sent message that a stream retains for the next one. A process
// has hundreds of streams, and without this limit each would retain a buffer as large as the largest message it ever
// sent: a whole table, a snapshot part, or a page of results.
const MaximumRetainedBufferBytes = 16 << 10

// RequestFrameBytes is the size of the frames into which a client splits a large request. A server retains, for each
// connection, a buffer that has held the largest frame.
const RequestFrameBytes = 16 << 10
