package raft

// Parts is an encoded state that is split into parts; the encoding is their concatenation. Parts are immutable, so
// that the state machine, a node, its disk and its messages can share them.
type Parts [][]byte

// Size returns the size of the encoding in bytes.
func (p Parts) Size() int {
	size := 0
	for _, part := range p {
		size += len(part)
	}
	return size
}

// Join returns the encoding as one slice, which the caller must not modify: with a single part it is that part
// itself.
func (p Parts) Join() []byte {
	if len(p) == 1 {
		return p[0]
	}
	joined := make([]byte, 0, p.Size())
	for _, part := range p {
		joined = append(joined, part...)
	}
	return joined
}
