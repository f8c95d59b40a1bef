package raft

// Parts is an encoded state in parts: their concatenation is the encoding. Parts are never modified, so the state machine, a
// node, its disk and its messages may share them.
type Parts [][]byte

// Size returns the size of the encoding in bytes.
func (p Parts) Size() int {
	size := 0
	for _, part := range p {
		size += len(part)
	}
	return size
}

// Join returns the encoding in one piece.
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
