package text

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestContinuationIsIdenticalToUninterruptedAnswer guards against a replica that continues an answer with other tokens
// than the replica that began it.
func TestContinuationIsIdenticalToUninterruptedAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := Request{
			Prompt: rapid.String().Draw(t, "prompt"),
			Seed:   rapid.Uint64().Draw(t, "seed"),
		}
		whole := request.Text()
		total := CountTokens(whole)
		kept := rapid.IntRange(0, total).Draw(t, "kept")
		generator := request.Start()
		prefix := string(generator.Append(nil, kept))

		original, generated, err := SplitContinuation(request.Prompt+prefix, kept)
		if err != nil {
			t.Fatal(err)
		}
		if original != request.Prompt || generated != prefix {
			t.Fatalf("split %q into %q and %q, want the prompt and the generated prefix", request.Prompt+prefix, original, generated)
		}
		replay := Request{Prompt: original, Seed: request.Seed}
		second := replay.Start()
		second.Skip(generated)
		answer := generated + string(second.Append(nil, total-kept))
		if answer != whole {
			t.Fatalf("continued answer differs: %q, want %q", answer, whole)
		}
		if replay.Checksum(answer) != request.Checksum(whole) {
			t.Fatal("the continued answer has another checksum than the uninterrupted one")
		}
	})
}

func TestLengths(t *testing.T) {
	cases := []struct {
		request   Request
		tokens    int
		truncated bool
	}{
		{Request{Prompt: "a [tokens=12] b"}, 12, false},
		{Request{Prompt: "[tokens=12]", MaxTokens: 5}, 5, true},
		{Request{Prompt: "[tokens=12]", MaxTokens: 12}, 12, false},
		{Request{Prompt: "[tokens=99999999]"}, DefaultMaxTokens, true},
	}
	for _, test := range cases {
		tokens, truncated := test.request.Length()
		if tokens != test.tokens || truncated != test.truncated {
			t.Errorf("%+v: got %d tokens, truncated %v", test.request, tokens, truncated)
		}
		if got := CountTokens(test.request.Text()); got != test.tokens {
			t.Errorf("%+v: text of %d tokens differs from the expected length", test.request, got)
		}
	}
	if tokens, _ := (Request{Prompt: "[tokens=x] hello"}).Length(); tokens < smallestDrawn {
		t.Errorf("a malformed directive gave %d tokens, want a drawn length", tokens)
	}
}

func TestAnswersDifferByPromptAndSeed(t *testing.T) {
	base := Request{Prompt: "[tokens=20] offer"}.Text()
	if base == (Request{Prompt: "[tokens=20] offes"}).Text() {
		t.Error("another prompt gave the same answer")
	}
	if base == (Request{Prompt: "[tokens=20] offer", Seed: 1}).Text() {
		t.Error("another seed gave the same answer")
	}
	if Checksum("a", base) == Checksum("b", base) {
		t.Error("the same content has the same checksum for two different requests")
	}
}

func TestSplitContinuationRefusesTooFewWords(t *testing.T) {
	if _, _, err := SplitContinuation("one two", 1); err == nil || !strings.Contains(err.Error(), "prefix_tokens") {
		t.Errorf("got error %v, want one that names prefix_tokens", err)
	}
}

func TestRenderChatContinuation(t *testing.T) {
	plain, err := RenderChat([]Message{{Role: "user", Content: "hi"}}, false)
	if err != nil {
		t.Fatal(err)
	}
	continued, err := RenderChat([]Message{{Role: "user", Content: "hi"}, {Role: "assistant", Content: "oak "}}, true)
	if err != nil {
		t.Fatal(err)
	}
	if continued != plain+"oak " {
		t.Errorf("continued prompt is %q, want the plain prompt followed by the continuation", continued)
	}
	if _, err := RenderChat([]Message{{Role: "user", Content: "hi"}}, true); err == nil {
		t.Error("a continuation without the assistant's message was accepted")
	}
}
