package batchrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestKeptTextsAreBoundedInBytes keeps texts of the greatest length, the same items again and again, and takes
// some of them out.
func TestKeptTextsAreBoundedInBytes(t *testing.T) {
	kept := newKeptTexts()
	for number := range 3 * maximumKeptBytes / maximumTextBytes {
		item := &wire.JobItem{Id: fmt.Sprint("i", number/2), Body: []byte("body")}
		kept.keep("", item, &text{data: make([]byte, maximumTextBytes), events: 1})
		if number%5 == 0 && kept.take("", item) == nil {
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

func TestEndedJobsStayLongPastRetention(t *testing.T) {
	for _, retention := range []time.Duration{time.Minute, DefaultRetention} {
		if longer := 2 * countInterval(retention); longer <= 0 || longer > retention/10 {
			t.Errorf("jobs kept for %s may stay %s longer", retention, longer)
		}
	}
}
