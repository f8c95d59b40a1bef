package gateway

import "sync/atomic"

// memoryBudget bounds the bytes that requests hold together.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// take reserves n bytes, or nothing when the limit would be passed.
func (b *memoryBudget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *memoryBudget) give(n int64) { b.used.Add(-n) }

// memoryStep is the unit in which a growing text is reserved.
const memoryStep = 16 << 10
