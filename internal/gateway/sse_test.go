package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// chunkForTest is a chunk as an engine writes it.
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

// drawWords draws tokens; among them are texts that look like the marks of the chunk form.
func drawWords(t *rapid.T) []string {
	word := rapid.OneOf(rapid.StringMatching(`[^ ]{1,12}`),
		rapid.SampledFrom([]string{`"token_offset":7`, `"text":"`, "\n\n", `\"`, "data:", "[DONE]", `{"error"`, "é中", `"finish_reason":"x"`}))
	return rapid.SliceOfN(word, 1, 8).Draw(t, "words")
}

func eventOf(t *rapid.T, words []string, offset uint64) []byte {
	body, err := json.Marshal(chunkForTest{Choices: []choiceForTest{{Text: strings.Join(words, " ") + " ", Offset: offset, Count: uint64(len(words))}}})
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Appendf(nil, "data: %s\n\n", body)
}

// TestTrimmedChunkKeepsOtherTokens trims chunks of any text and decodes the rest.
func TestTrimmedChunkKeepsOtherTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := drawWords(t)
		offset := rapid.Uint64Range(0, 1<<40).Draw(t, "offset")
		event := eventOf(t, words, offset)
		facts := inspect(event)
		if !facts.measured || facts.offset != offset || facts.count != uint64(len(words)) || facts.finished || facts.done || facts.failed {
			t.Fatalf("%q: %+v", event, facts)
		}
		skip := rapid.IntRange(0, len(words)-1).Draw(t, "skip")
		trimmed, ok := trim(nil, event, facts, uint64(skip))
		if !ok {
			t.Fatalf("%q cannot be trimmed by %d", event, skip)
		}
		named := appendWithReplica(nil, trimmed, "e1")
		var got chunkForTest
		if err := json.Unmarshal(bytes.TrimPrefix(named, []byte("data: ")), &got); err != nil {
			t.Fatalf("%q: %v", named, err)
		}
		want := choiceForTest{Replica: "e1", Text: strings.Join(words[skip:], " ") + " ", Offset: offset + uint64(skip), Count: uint64(len(words) - skip)}
		if choice := got.Choices[0]; choice != want {
			t.Fatalf("got %+v, want %+v", choice, want)
		}
	})
}

// TestAnyBytesAreCutTheSameWayHoweverTheyArrive feeds bytes of any kind whole and in parts.
func TestAnyBytesAreCutTheSameWayHoweverTheyArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.OneOf(rapid.SliceOfN(rapid.Byte(), 0, 20), rapid.SampledFrom([][]byte{[]byte("\n\n"), []byte("\r\n\r\n"),
			[]byte("data:"), offsetMark, countMark, textMark, finishMark, choiceMark, []byte("[DONE]"), []byte("99999999999999999999"), []byte(`"\`)}))
		input := bytes.Join(rapid.SliceOfN(piece, 0, 20).Draw(t, "pieces"), nil)
		whole := cutAll(input, len(input)+1)
		parts := cutAll(input, rapid.IntRange(1, 7).Draw(t, "part"))
		if len(whole) != len(parts) {
			t.Fatalf("%d events whole, %d in parts", len(whole), len(parts))
		}
		for i := range whole {
			if !bytes.Equal(whole[i], parts[i]) {
				t.Fatalf("event %d: %q whole, %q in parts", i, whole[i], parts[i])
			}
		}
	})
}

// cutAll feeds input in parts and returns the events; none of the readers of an event may panic on it.
func cutAll(input []byte, part int) [][]byte {
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
			facts := inspect(event)
			_, _ = trim(nil, event, facts, 1)
			_ = unmeasuredCount(event)
			_ = appendWithReplica(nil, event, "e1")
			events = append(events, bytes.Clone(event))
			held = bytes.Clone(rest)
		}
	}
	return events
}
