package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// chunkForTest is a chunk as an engine encodes it.
type chunkForTest struct {
	Choices []choiceForTest `json:"choices"`
}

type choiceForTest struct {
	Replica string  `json:"replica,omitempty"`
	Text    string  `json:"text"`
	Finish  *string `json:"finish_reason"`
	Offset  uint64  `json:"token_offset"`
	Count   uint64  `json:"token_count"`
}

// drawTokens draws tokens, some of which look like the patterns of the chunk format.
func drawTokens(t *rapid.T) []string {
	word := rapid.OneOf(rapid.StringMatching(`[^ ]{1,12}`),
		rapid.SampledFrom([]string{`"token_offset":7`, `"text":"`, "\n\n", `\"`, "data:", "[DONE]", `{"error"`, "é中", `"finish_reason":"x"`}))
	return rapid.SliceOfN(word, 1, 8).Draw(t, "words")
}

func formatEvent(t *rapid.T, words []string, offset uint64) []byte {
	body, err := json.Marshal(chunkForTest{Choices: []choiceForTest{{Text: strings.Join(words, " ") + " ", Offset: offset, Count: uint64(len(words))}}})
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Appendf(nil, "data: %s\n\n", body)
}

// TestTrimmedChunkKeepsOtherTokens trims chunks of arbitrary text and decodes the result. The remaining tokens must
// be unchanged.
func TestTrimmedChunkKeepsOtherTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := drawTokens(t)
		offset := rapid.Uint64Range(0, 1<<40).Draw(t, "offset")
		event := formatEvent(t, words, offset)
		facts := parseChunk(event)
		if !facts.hasTokenFields || facts.offset != offset || facts.count != uint64(len(words)) || facts.finished || facts.done || facts.failed {
			t.Fatalf("event %q was parsed as %+v, want its offset and count", event, facts)
		}
		skip := rapid.IntRange(0, len(words)-1).Draw(t, "skip")
		trimmed, ok := trimTokens(nil, event, facts, uint64(skip))
		if !ok {
			t.Fatalf("%q cannot be trimmed by %d", event, skip)
		}
		named := appendWithReplica(nil, trimmed, "e1")
		var got chunkForTest
		if err := json.Unmarshal(bytes.TrimPrefix(named, []byte("data: ")), &got); err != nil {
			t.Fatalf("trimmed event %q is not valid JSON: %v", named, err)
		}
		want := choiceForTest{Replica: "e1", Text: strings.Join(words[skip:], " ") + " ", Offset: offset + uint64(skip), Count: uint64(len(words) - skip)}
		if choice := got.Choices[0]; choice != want {
			t.Fatalf("got %+v, want %+v", choice, want)
		}
	})
}

// TestEventSplittingIsIndependentOfReadSizes feeds arbitrary bytes whole and in parts. Both must give the same
// events.
func TestEventSplittingIsIndependentOfReadSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.OneOf(rapid.SliceOfN(rapid.Byte(), 0, 20), rapid.SampledFrom([][]byte{[]byte("\n\n"), []byte("\r\n\r\n"),
			[]byte("data:"), offsetMark, countMark, textMark, finishMark, choiceMark, []byte("[DONE]"), []byte("99999999999999999999"), []byte(`"\`)}))
		input := bytes.Join(rapid.SliceOfN(piece, 0, 20).Draw(t, "pieces"), nil)
		whole := splitEvents(input, len(input)+1)
		parts := splitEvents(input, rapid.IntRange(1, 7).Draw(t, "part"))
		if len(whole) != len(parts) {
			t.Fatalf("got %d events from the whole input and %d from its parts", len(whole), len(parts))
		}
		for i := range whole {
			if !bytes.Equal(whole[i], parts[i]) {
				t.Fatalf("event %d: got %q from the whole input and %q from its parts", i, whole[i], parts[i])
			}
		}
	})
}

// splitEvents feeds input in parts of the given size and returns the events. It also checks that none of the
// functions that parse an event panics.
func splitEvents(input []byte, part int) [][]byte {
	var events [][]byte
	var held []byte
	for len(input) > 0 {
		n := min(part, len(input))
		held, input = append(held, input[:n]...), input[n:]
		for {
			event, rest, ok := nextEvent(held)
			if !ok {
				break
			}
			facts := parseChunk(event)
			_, _ = trimTokens(nil, event, facts, 1)
			_ = estimateTokenCount(event)
			_ = appendWithReplica(nil, event, "e1")
			events = append(events, bytes.Clone(event))
			held = bytes.Clone(rest)
		}
	}
	return events
}
