package forward

import "github.com/tamarindring/tamarindring/internal/bytebudget"

// initialBufferBytes is the initial capacity of the buffer for an answer of unknown length.
const initialBufferBytes = 8 << 10

// answerBuffer buffers one answer within the process's memory budget.
type answerBuffer struct {
	budget   bytebudget.Reserver
	maxBytes int // of one answer
	bytes    []byte
	reserved int64
}

// add appends a chunk of an answer with the given length (-1: unknown). It returns false, and appends nothing, if the
// answer exceeds maxBytes or the budget.
func (h *answerBuffer) add(chunk []byte, length int64) bool {
	needed := len(h.bytes) + len(chunk)
	if needed > h.maxBytes {
		return false
	}
	if needed > cap(h.bytes) && !h.grow(h.capacityFor(needed, length)) {
		return false
	}
	h.bytes = append(h.bytes, chunk...)
	return true
}

// capacityFor returns the capacity for needed bytes of an answer with the given length. If the length is known, it is
// the whole answer's.
func (h *answerBuffer) capacityFor(needed int, length int64) int {
	if length >= int64(needed) {
		return int(min(length, int64(h.maxBytes)))
	}
	return max(needed, min(2*cap(h.bytes), h.maxBytes), initialBufferBytes)
}

// grow grows the buffer to the given capacity in bytes. It returns false if the budget does not permit it.
func (h *answerBuffer) grow(capacity int) bool {
	more := int64(capacity) - h.reserved
	if !h.budget.Reserve(bytebudget.Answer, more) {
		return false
	}
	h.reserved += more
	h.bytes = append(make([]byte, 0, capacity), h.bytes...)
	return true
}

// release drops the buffered data and returns its bytes to the budget.
func (h *answerBuffer) release() {
	h.bytes = nil
	if h.reserved > 0 {
		h.budget.Release(bytebudget.Answer, h.reserved)
		h.reserved = 0
	}
}
