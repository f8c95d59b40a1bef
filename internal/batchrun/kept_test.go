package batchrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// The byte count of the text cache must stay correct and bounded while texts of the maximum length are stored, replaced
// and taken.
func TestTextCacheIsBoundedInBytes(t *testing.T) {
	cache := newTextCache()
	for number := range 3 * maximumCachedBytes / maximumTextBytes {
		item := &wire.JobItem{Id: fmt.Sprint("i", number/2), Body: []byte("body")}
		cache.store("", item, &text{data: make([]byte, maximumTextBytes), events: 1})
		if number%5 == 0 && cache.take("", item) == nil {
			t.Fatalf("the text that was stored last is not in the cache")
		}
		stored := 0
		for _, entry := range cache.texts {
			stored += entry.size()
		}
		if stored != cache.bytes || stored > maximumCachedBytes {
			t.Fatalf("%d bytes are cached and %d are counted, want equal and at most %d", stored, cache.bytes, maximumCachedBytes)
		}
	}
}

// Expiry commands must be so frequent that ended jobs stay at most 10% longer than their retention.
func TestEndedJobsExpireSoonAfterRetention(t *testing.T) {
	for _, retention := range []time.Duration{time.Minute, DefaultRetention} {
		if longer := 2 * expiryInterval(retention); longer <= 0 || longer > retention/10 {
			t.Errorf("with a retention of %s jobs may stay %s longer, want at most a tenth", retention, longer)
		}
	}
}
