package batchrun

import (
	"fmt"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestKeptTextsAreBoundedInBytes keeps texts of the greatest length, the same items again and again, and takes
// some of them out.
func TestKeptTextsAreBoundedInBytes(t *testing.T) {
	kept := newKeptTexts()
	for number := range 3 * maximumKeptBytes / maximumTextBytes {
		item := &wire.JobItem{Id: fmt.Sprint("i", number/2), Body: []byte("body")}
		kept.keep(item, &text{data: make([]byte, maximumTextBytes), events: 1})
		if number%5 == 0 && kept.take(item) == nil {
			t.Fatalf("the text that was kept last is gone")
		}
		held := 0
		for _, entry := range kept.texts {
			held += entry.size()
		}
		if held != kept.bytes || held > maximumKeptBytes {
			t.Fatalf("%d bytes are kept and %d counted, at most %d may be", held, kept.bytes, maximumKeptBytes)
		}
	}
}
