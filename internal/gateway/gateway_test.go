package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/engine/text"
	"github.com/tamarindring/tamarindring/internal/standin/application"
	enginestandin "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

const prompt = "Write an offer for a scarf. [tokens=40]"

// streamedText puts a stream's text together and checks offsets, end mark and checksum.
func streamedText(t *testing.T, prompt, body string) string {
	t.Helper()
	var content strings.Builder
	checksum, finished, tokens := "", false, 0
	for _, event := range strings.Split(strings.TrimSpace(body), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			finished = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Text        string `json:"text"`
				TokenOffset int    `json:"token_offset"`
				TokenCount  int    `json:"token_count"`
				Checksum    string `json:"checksum"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
			t.Fatalf("event %q: %v", event, err)
		}
		if choice := chunk.Choices[0]; choice.TokenOffset != tokens {
			t.Fatalf("chunk at token %d, want %d", choice.TokenOffset, tokens)
		} else {
			tokens += choice.TokenCount
			content.WriteString(choice.Text)
			checksum += choice.Checksum
		}
	}
	if !finished {
		t.Fatalf("the stream has no end mark: %s", body)
	}
	if want := (text.Request{Prompt: prompt}).Checksum(content.String()); checksum != want {
		t.Fatalf("checksum %s, want %s of %q", checksum, want, content.String())
	}
	return content.String()
}

func completion(stream bool) string {
	body, _ := json.Marshal(map[string]any{"model": "copy", "prompt": prompt, "stream": stream})
	return string(body)
}

func TestCompletionStreamedAndWhole(t *testing.T) {
	f := newFixture(t, 2, 0, 1, nil)
	got := f.post(t, 0, "/v1/completions", completion(true))
	if got.status != 200 || got.header.Get(HeaderBackend) == "" || got.header.Get(HeaderTableVersion) != "1" {
		t.Fatalf("%+v", got)
	}
	streamed := streamedText(t, prompt, got.body)
	whole := f.post(t, 0, "/v1/completions", completion(false))
	if whole.status != 200 || whole.header.Get(verdict.Header) != "ran" || !strings.Contains(whole.body, strings.TrimSpace(streamed)) {
		t.Fatalf("%+v", whole)
	}
}

func TestStreamSurvivesCuts(t *testing.T) {
	for name, faults := range map[string]enginestandin.Faults{
		"reset":      {CutAfterTokens: 7},
		"clean end":  {CutAfterTokens: 7, CutCleanly: true},
		"duplicates": {DuplicateProbability: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, 0, 1, nil)
			for _, engine := range f.engines {
				engine.SetFaults(faults)
			}
			streamedText(t, prompt, f.post(t, 0, "/v1/completions", completion(true)).body)
		})
	}
}

// TestStreamMovesWhenItsEngineDies kills the engine of a stream whose caller has the first token; the freezer
// holds the rest back, so that the stream cannot have ended.
func TestStreamMovesWhenItsEngineDies(t *testing.T) {
	f, freezers := frozenFixture(t, 2, 0)
	for _, one := range freezers {
		one.holding.Store(true)
	}
	const long = "Write a long offer. [tokens=600]"
	begun, done := make(chan struct{}), make(chan answer)
	go func() {
		body, _ := json.Marshal(map[string]any{"model": "copy", "prompt": long, "stream": true})
		done <- f.postNoting(t, 0, "/v1/completions", string(body), func() { close(begun) })
	}()
	<-begun
	for _, one := range freezers {
		one.holding.Store(false)
	}
	victim := f.awaitDispatch(t)
	f.engines[victim].Crash()
	freezers[fmt.Sprint("e", victim)].cut()
	got := <-done
	streamedText(t, long, got.body)
	if !strings.Contains(got.body, `"replica":"e`) {
		t.Fatal("no chunk names the replica that went on")
	}
}

// awaitDispatch returns which engine got the first dispatch.
func (f *fixture) awaitDispatch(t *testing.T) int {
	t.Helper()
	f.awaitDispatches(t, 1)
	return int(f.gateways[0].Dispatches(0)[0].Backend[1] - '0')
}

func TestPushRunsOnceAndItsAnswerIsKept(t *testing.T) {
	f := newFixture(t, 0, 2, 2, nil)
	first := f.push(t, 0, "k1", "{}")
	if first.status != 200 || first.header.Get(verdict.Header) != "ran" || f.ran("k1") != 1 {
		t.Fatalf("%+v, ran %d times", first, f.ran("k1"))
	}
	again := f.push(t, 1, "k1", "{}")
	if again.body != first.body || again.header.Get(HeaderStored) != "true" || f.ran("k1") != 1 {
		t.Fatalf("%+v, ran %d times", again, f.ran("k1"))
	}
	other := f.push(t, 1, "k1", `{"other":true}`)
	if other.status != 422 || f.ran("k1") != 1 {
		t.Fatalf("%+v, ran %d times", other, f.ran("k1"))
	}
}

func TestLostAnswerOfAPushIsNeverRepeated(t *testing.T) {
	f := newFixture(t, 0, 2, 2, nil)
	for _, app := range f.apps {
		app.SetFaults(application.Faults{CrashAfterRunProbability: 1})
	}
	got := f.push(t, 0, "k1", "{}")
	if got.status != 502 || got.header.Get(verdict.Header) != "may-have-run" || f.ran("k1") != 1 {
		t.Fatalf("%+v, ran %d times", got, f.ran("k1"))
	}
	for _, app := range f.apps {
		app.SetFaults(application.Faults{})
	}
	got = f.push(t, 1, "k1", "{}")
	if got.status != 409 || got.header.Get(verdict.Header) != "may-have-run" || f.ran("k1") != 1 {
		t.Fatalf("%+v, ran %d times", got, f.ran("k1"))
	}
}

func TestRefusingReplicasLeadToDidNotRun(t *testing.T) {
	f := newFixture(t, 0, 2, 1, nil)
	for _, app := range f.apps {
		app.SetFaults(application.Faults{RefuseProbability: 1})
	}
	got := f.push(t, 0, "k1", "{}")
	if got.status != 503 || got.header.Get(verdict.Header) != "did-not-run" || got.header.Get(HeaderRetryAfter) == "" || f.ran("k1") != 0 {
		t.Fatalf("%+v, ran %d times", got, f.ran("k1"))
	}
	for _, app := range f.apps {
		app.SetFaults(application.Faults{})
	}
	if got = f.push(t, 0, "k1", "{}"); got.status != 200 || f.ran("k1") != 1 {
		t.Fatalf("%+v, ran %d times", got, f.ran("k1"))
	}
}

func TestLostBeginIsReleasedAndTriedAgain(t *testing.T) {
	f := newFixture(t, 0, 1, 1, nil)
	f.controls[0].loseReplies("begin", 1)
	if got := f.push(t, 0, "k1", "{}"); got.status != 200 || f.ran("k1") != 1 {
		t.Fatalf("%+v, ran %d times", got, f.ran("k1"))
	}
}

func TestLapsedLeaseSendsNothing(t *testing.T) {
	f := newFixture(t, 1, 1, 1, nil)
	f.controls[0].set(func() { f.controls[0].leased = false })
	got := f.push(t, 0, "k1", "{}")
	if got.status != 503 || got.header.Get(verdict.Header) != "did-not-run" || f.ran("k1") != 0 {
		t.Fatalf("%+v, ran %d times", got, f.ran("k1"))
	}
	got = f.post(t, 0, "/v1/completions", completion(true))
	if got.status != 503 || got.header.Get(verdict.Header) != "did-not-run" || len(f.engines[0].Log()) != 0 {
		t.Fatalf("%+v", got)
	}
	f.expectNotReady(t, errNoLease)
}

// expectNotReady fails unless the first gateway says on the callers' listener that it takes no work and why.
func (f *fixture) expectNotReady(t *testing.T, reason error) {
	t.Helper()
	response, err := http.Get("http://" + f.gateways[0].Address() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), reason.Error()) {
		t.Fatalf("%d %q %v", response.StatusCode, body, err)
	}
}

func TestUnreachableLedgerAnswersBeforeTheDeadline(t *testing.T) {
	f := newFixture(t, 0, 1, 1, nil)
	f.controls[0].set(func() { f.controls[0].down = true })
	got := f.push(t, 0, "k1", "{}", HeaderDeadline, "200ms")
	if got.header.Get(verdict.Header) != "may-have-run" || f.ran("k1") != 0 {
		t.Fatalf("%+v, ran %d times", got, f.ran("k1"))
	}
}

// TestANewGatewaySendsWorkToBackendsThatLeftBeforeItStarted starts a gateway when four of five engines have
// left by a mark of their own, which the table does not tell.
func TestANewGatewaySendsWorkToBackendsThatLeftBeforeItStarted(t *testing.T) {
	f := newFixture(t, 5, 0, 0, nil)
	for _, leaving := range f.engines[1:] {
		leaving.Leave()
	}
	started, err := New(Config{Name: "late", Listen: "127.0.0.1:0", Control: f.cluster.control("late")})
	if err != nil {
		t.Fatal(err)
	}
	run(t, started)
	f.gateways = append(f.gateways, started)
	if got := f.post(t, 0, "/v1/completions", completion(false)); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	for _, dispatch := range started.Dispatches(0) {
		if dispatch.Backend != "e0" {
			t.Errorf("sent to %s, which had left", dispatch.Backend)
		}
	}
}

// TestPoolsNeverGoBack: a gateway that looks at its group again has read the table before a newer one came; it went back to it.
func TestPoolsNeverGoBack(t *testing.T) {
	f := newFixture(t, 1, 0, 1, nil)
	gateway := f.gateways[0]
	before := f.controls[0].View()
	f.cluster.change(t, [3]string{"later", table.ColumnKind, string(table.Pool)})
	if gateway.pool("later") == nil {
		t.Fatal("the new pool is not known")
	}
	gateway.update(before, true)
	if gateway.pool("later") == nil {
		t.Error("the table before is acted on again")
	}
}
