package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"testing"
)

// chunk holds the fields of a server-sent event that the tests check.
type chunk struct {
	Error   struct{ Code string }
	Choices []struct {
		Text          string
		Delta         struct{ Content string }
		FinishReason  *string `json:"finish_reason"`
		WeightVersion string  `json:"weight_version"`
		VersionNumber uint64  `json:"version_number"`
		TokenOffset   int     `json:"token_offset"`
		TokenCount    int     `json:"token_count"`
		Checksum      string
	}
}

// answer is a streamed answer as assembled by a client.
type answer struct {
	content  string
	next     int // position after the last token read
	segments []Segment
	finish   string
	checksum string
	failure  string // code of an error event
	done     bool   // [DONE] was read
}

// readStream reads server-sent events until the body ends. The first token must be at position next, and every chunk
// must begin where the chunk before it ended.
func readStream(t *testing.T, body io.Reader, next int) answer {
	t.Helper()
	read := answer{next: next}
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			read.done = true
			continue
		}
		var parsed chunk
		if err := json.Unmarshal([]byte(data), &parsed); err != nil {
			t.Fatalf("%q: %v", data, err)
		}
		if parsed.Error.Code != "" {
			read.failure = parsed.Error.Code
			continue
		}
		choice := parsed.Choices[0]
		if choice.TokenOffset != read.next {
			t.Fatalf("token offset %d, want %d", choice.TokenOffset, read.next)
		}
		read.content += choice.Text + choice.Delta.Content
		read.next += choice.TokenCount
		if choice.TokenCount > 0 {
			read.addSegment(choice.WeightVersion, choice.VersionNumber, choice.TokenOffset, choice.TokenCount)
		}
		if choice.FinishReason != nil {
			read.finish, read.checksum = *choice.FinishReason, choice.Checksum
		}
	}
	return read
}

func (a *answer) addSegment(version string, number uint64, from, count int) {
	if last := len(a.segments) - 1; last >= 0 && a.segments[last].VersionNumber == number {
		a.segments[last].Count += count
		return
	}
	a.segments = append(a.segments, Segment{Version: version, VersionNumber: number, From: from, Count: count})
}
