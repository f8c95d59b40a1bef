package batchclient

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// measuredLedger records the size of the largest answer of a control node.
type measuredLedger struct {
	*fakeLedger
	largest int
}

func (l *measuredLedger) Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error) {
	view, err := l.fakeLedger.Query(ctx, group, query)
	l.largest = max(l.largest, proto.Size(view))
	return view, err
}

// TestResultsAreReadInPieces reads far more than one message may hold. Each position must be read once and in order,
// and no message of a control node may be larger than a piece and one result.
func TestResultsAreReadInPieces(t *testing.T) {
	_, ledger := newClient(t)
	measured := &measuredLedger{fakeLedger: ledger}
	store := New(measured, viewOf(t))
	const items, length = 200, 8 << 10
	job := exampleBatch()
	job.Items = nil
	results := &wire.JobResults{Job: "j"}
	for number := range items {
		id := fmt.Sprint("i", number)
		job.Items = append(job.Items, Item{ID: id, Path: "/a/x", Group: "g"})
		results.Results = append(results.Results, &wire.JobResult{Item: id, State: wire.JobItemState_JOB_ITEM_STATE_COMPLETED,
			Text: []byte(strings.Repeat(id+" ", length/len(id+" ")))})
	}
	if err := store.Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	ledger.index++
	ledger.machine.Apply(ledger.index, &wire.Command{Kind: &wire.Command_JobStore{JobStore: &wire.JobStore{Jobs: []*wire.JobResults{results}}}})
	reads := 0
	for from := uint64(0); from < items; reads++ {
		found, err := store.Results(t.Context(), Reference{ID: "j"}, from, 0)
		if err != nil || len(found.Results) == 0 || found.Total != items {
			t.Fatalf("results from %d: %v (%v)", from, found, err)
		}
		if found.Bytes() > answerBytes+pieceBytes {
			t.Fatalf("answer of %d bytes, want at most answerBytes+pieceBytes", found.Bytes())
		}
		for offset, result := range found.Results {
			if want := fmt.Sprint("i", from+uint64(offset)); result.ID != want || !strings.HasPrefix(result.Text, want+" ") {
				t.Fatalf("position %d is %s", from+uint64(offset), result.ID)
			}
		}
		from += uint64(len(found.Results))
	}
	if reads > items*length/(answerBytes-pieceBytes)+1 {
		t.Errorf("%d answers, which are more than the sizes require", reads)
	}
	if limit := pieceBytes + 2*length; measured.largest > limit {
		t.Errorf("message of %d bytes, want at most %d", measured.largest, limit)
	}
}
