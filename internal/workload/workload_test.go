package workload

import (
	"math/rand"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const example = `
sources:
  - name: copy
    pool: copywriting
    arrival: {process: bursts, per_second: 100, burst_every: 2s, burst_size: 50}
    output_tokens: {median: 40, sigma: 0.5, tail_share: 0.05, tail_alpha: 1.2, max: 2000}
    sharing: {prefixes: 4}
    streamed_share: 0.5
  - name: push
    pool: gateways
    service: application
    operation: push
    class: live
    deadline: 500ms
    arrival: {per_second: 20}
`

func TestParseFillsDefaults(t *testing.T) {
	parsed, err := Parse("w.yaml", []byte(example))
	if err != nil {
		t.Fatal(err)
	}
	copying, push := parsed.Sources[0], parsed.Sources[1]
	if copying.Sharing.PrefixTokens != 256 || copying.Sharing.Share != 1 || copying.Deadline != 30*time.Second {
		t.Errorf("got defaults %+v for the first source, want 256 prefix tokens, share 1 and a deadline of 30s", copying)
	}
	if push.Arrival.Process != ProcessPoisson || push.Deadline != 500*time.Millisecond {
		t.Errorf("got %+v for the second source, want Poisson arrivals and a deadline of 500ms", push)
	}
}

func TestParseErrorNamesField(t *testing.T) {
	cases := []struct{ from, to, want string }{
		{"streamed_share: 0.5", "streamed_shore: 0.5", "streamed_shore"},
		{"streamed_share: 0.5", "streamed_share: 1.5", "streamed_share"},
		{"per_second: 20", "per_second: 0", "arrival.per_second"},
		{"operation: push", "operation: dance", "operation"},
		{"name: push", "name: copy", "w.yaml:9: sources[1].name"},
		{"process: bursts", "process: waves", "arrival.process"},
		{"deadline: 500ms", "deadline: soon", "w.yaml:14: sources[1].deadline"},
		{"median: 40", "median: -1", "w.yaml:6: sources[0].output_tokens.median"},
		{"service: application", "service: other", "service"},
	}
	for _, test := range cases {
		_, err := Parse("w.yaml", []byte(strings.Replace(example, test.from, test.to, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want one that names %s", test.to, err, test.want)
		}
	}
}

func TestGeneratorKeepsRateAndOrder(t *testing.T) {
	parsed, err := Parse("w.yaml", []byte(example))
	if err != nil {
		t.Fatal(err)
	}
	generator := parsed.Generators(1)[0]
	again := parsed.Generators(1)[0]
	last := time.Duration(0)
	count := 0
	for {
		call := generator.Next()
		if call != again.Next() {
			t.Fatal("got different calls for equal seeds")
		}
		if call.At < last {
			t.Fatalf("got a call at %v after one at %v, want ascending times", call.At, last)
		}
		last = call.At
		if last > 200*time.Second {
			break
		}
		count++
	}
	// The mean rate is 100 calls per second plus 25 per second in bursts. The standard deviation of the count is about 525.
	if count < 23000 || count > 27000 {
		t.Errorf("got %d calls in 200 s, want about 25000", count)
	}
}

func TestDrawStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := Length{
			Median: rapid.Float64Range(1, 1000).Draw(t, "median"), Sigma: rapid.Float64Range(0, 3).Draw(t, "sigma"),
			TailShare: rapid.Float64Range(0, 1).Draw(t, "share"), TailAlpha: rapid.Float64Range(0.1, 3).Draw(t, "alpha"),
			Max: rapid.IntRange(1, 5000).Draw(t, "max"),
		}
		length.SetDefaults(10)
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		for range 100 {
			if drawn := length.Draw(random); drawn < 1 || drawn > length.Max {
				t.Fatalf("got length %d, want one from 1 to Max", drawn)
			}
		}
	})
}

func TestPromptsShareTheirPrefix(t *testing.T) {
	parsed, err := Parse("w.yaml", []byte(example))
	if err != nil {
		t.Fatal(err)
	}
	source := parsed.Sources[0]
	first := source.PromptText(Call{Number: 1, Prefix: 2, PromptTokens: 3, OutputTokens: 9}, "run")
	second := source.PromptText(Call{Number: 2, Prefix: 2, PromptTokens: 3, OutputTokens: 9}, "run")
	if first == second || first[:1000] != second[:1000] || !strings.HasSuffix(first, "[tokens=9]") {
		t.Errorf("got prompts %q and %q, want different prompts with a common prefix and the suffix [tokens=9]", first, second)
	}
}

// TestDocumentedExampleIsValid guards against an example on the operators' page that the load tool rejects.
func TestDocumentedExampleIsValid(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/load-testing.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), "```yaml\n")
	example, _, closed := strings.Cut(rest, "```")
	if !found || !closed {
		t.Fatal("load-testing.md has no YAML example")
	}
	parsed, err := Parse("load-testing.md", []byte(example))
	if err != nil || len(parsed.Sources) != 2 {
		t.Errorf("got %d sources and error %v, want 2 sources", len(parsed.Sources), err)
	}
}
