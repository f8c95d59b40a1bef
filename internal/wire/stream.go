package wire

// KeptBufferBytes is the size up to which a stream keeps the buffer of a message that it has sent for the next one. A
// process holds hundreds of streams, and each would keep a buffer as large as the largest message that ever went over it:
// a whole table, a snapshot's piece, a page of results.
const KeptBufferBytes = 16 << 10
