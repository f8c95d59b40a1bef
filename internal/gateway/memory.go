package gateway

import "sync/atomic"

// memoryBudget bounds the bytes that all requests together hold.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes from the budget. It takes nothing and returns false if the limit would be exceeded.
func (b *memoryBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *memoryBudget) release(n int64) { b.used.Add(-n) }

// memoryStep is the smallest size of a body buffer and the unit in which memory for stream text is reserved.
const memoryStep = 16 << 10
