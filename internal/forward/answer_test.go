package forward

import (
	"errors"
	"testing"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/eventstream"
)

// TestEventWithoutEndIsCutOff guards against an event without an end that fills the memory of a gateway.
func TestEventWithoutEndIsCutOff(t *testing.T) {
	splitter := &eventSplitter{}
	chunk := make([]byte, 8<<10)
	for total := 0; total <= 2*eventstream.MaximumEventBytes; total += len(chunk) {
		if _, err := splitter.feed(chunk); err != nil {
			if !errors.Is(err, answercheck.Endless) || total < eventstream.MaximumEventBytes-len(chunk) {
				t.Errorf("after %d bytes: got %v, want the fault of a message without an end beyond the largest event", total, err)
			}
			return
		}
	}
	t.Errorf("%d bytes of one event are held, want at most %d", len(splitter.pending), eventstream.MaximumEventBytes)
}
