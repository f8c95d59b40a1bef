package batch

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestTextsSurviveCompression: a text must be read back unchanged, never take more bytes than before, and take far
// fewer if it is repetitive.
func TestTextsSurviveCompression(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 0, 3*minDeflatedBytes).Draw(t, "text")
		text = bytes.Repeat(text, rapid.IntRange(1, 4).Draw(t, "repeats"))
		result := Completed("i", text, []uint64{4})
		got, err := Text(result)
		if err != nil || !bytes.Equal(got, text) || len(result.Text) > len(text) || checkResult(result) != nil {
			t.Fatalf("%d bytes were stored as %d and read as %d: %v", len(text), len(result.Text), len(got), err)
		}
	})
	if words := Completed("i", []byte(strings.Repeat("a rollout's words come again; ", 50)), nil); len(words.Text) > 150 {
		t.Errorf("1500 repetitive bytes are stored as %d, want at most 150", len(words.Text))
	}
}

func TestDamagedTextsAreRejected(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	good := Completed("i", []byte(strings.Repeat("words ", 100)), nil)
	for _, change := range []func(*wire.JobResult){
		func(r *wire.JobResult) { r.DeflatedFrom++ },
		func(r *wire.JobResult) { r.DeflatedFrom-- },
		func(r *wire.JobResult) { r.DeflatedFrom = MaximumResultBytes + 1 },
		func(r *wire.JobResult) { r.Text = r.Text[:len(r.Text)-2] },
		func(r *wire.JobResult) {
			for position := range r.Text {
				r.Text[position] = byte(random.Uint32())
			}
		},
	} {
		damaged := &wire.JobResult{Item: "i", Text: bytes.Clone(good.Text), DeflatedFrom: good.DeflatedFrom}
		change(damaged)
		if text, err := Text(damaged); err == nil {
			t.Errorf("%d bytes were read from a damaged text", len(text))
		}
	}
	store := New()
	if _, err := store.Store(&wire.JobStore{Jobs: []*wire.JobResults{{Job: "j", Results: []*wire.JobResult{
		{Item: "i", State: good.State, Text: make([]byte, 9), DeflatedFrom: 3}}}}}); err == nil {
		t.Error("a text that is longer compressed than decompressed was accepted")
	}
}

// TestResultsAreBoundedByReadLength: MaxBytes is a promise to the reader, so that it must limit the decompressed
// length, whatever the stored one is.
func TestResultsAreBoundedByReadLength(t *testing.T) {
	store := New()
	submit := &wire.JobSubmit{Id: "j", Digest: []byte("d"), Items: []*wire.JobItem{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
	if _, err := store.Submit(submit); err != nil {
		t.Fatal(err)
	}
	results := &wire.JobResults{Job: "j"}
	for _, item := range submit.Items {
		results.Results = append(results.Results, Completed(item.Id, bytes.Repeat([]byte("x"), 1000), nil))
	}
	if _, err := store.Store(&wire.JobStore{Jobs: []*wire.JobResults{results}}); err != nil {
		t.Fatal(err)
	}
	if view := readNow(t, store.Results(&wire.JobResultsQuery{Job: "j", MaxBytes: 2100})); len(view.Results) != 2 {
		t.Errorf("%d results of 1000 bytes for a limit of 2100 bytes, want 2", len(view.Results))
	}
}
