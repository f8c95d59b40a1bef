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

// checkStreamedText returns the text of a stream after checking its offsets, end mark and checksum.
func checkStreamedText(t *testing.T, prompt, body string) string {
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
			t.Fatalf("event %q is not a chunk with one choice: %v", event, err)
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

// TestCompletionStreamedAndWhole compares a streamed completion with one that is not streamed.
func TestCompletionStreamedAndWhole(t *testing.T) {
	f := newFixture(t, 2, 0, 1, nil)
	got := f.post(t, 0, "/v1/completions", completion(true))
	if got.status != 200 || got.header.Get(HeaderBackend) == "" || got.header.Get(HeaderTableVersion) != "1" {
		t.Fatalf("got %+v, want status 200 with the back end and table version 1", got)
	}
	streamed := checkStreamedText(t, prompt, got.body)
	whole := f.post(t, 0, "/v1/completions", completion(false))
	if whole.status != 200 || whole.header.Get(verdict.Header) != "ran" || !strings.Contains(whole.body, strings.TrimSpace(streamed)) {
		t.Fatalf("got %+v, want status 200, the verdict ran and the text of the stream", whole)
	}
}

// TestStreamSurvivesUpstreamCuts guards against lost and duplicate tokens when back ends cut streams or repeat
// chunks.
func TestStreamSurvivesUpstreamCuts(t *testing.T) {
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
			checkStreamedText(t, prompt, f.post(t, 0, "/v1/completions", completion(true)).body)
		})
	}
}

// TestStreamContinuesAfterEngineCrash crashes the engine of a stream whose caller has the first token. The proxy
// holds the rest back, so that the stream cannot have ended before. The other engine must complete it.
func TestStreamContinuesAfterEngineCrash(t *testing.T) {
	f, proxies := newProxiedFixture(t, 2, 0)
	for _, one := range proxies {
		one.holdAnswers.Store(true)
	}
	const long = "Write a long offer. [tokens=600]"
	begun, done := make(chan struct{}), make(chan answer)
	go func() {
		body, _ := json.Marshal(map[string]any{"model": "copy", "prompt": long, "stream": true})
		done <- f.postAndNotify(t, 0, "/v1/completions", string(body), func() { close(begun) })
	}()
	<-begun
	for _, one := range proxies {
		one.holdAnswers.Store(false)
	}
	victim := f.awaitDispatch(t)
	f.engines[victim].Crash()
	proxies[fmt.Sprint("e", victim)].closeAll()
	got := <-done
	checkStreamedText(t, long, got.body)
	if !strings.Contains(got.body, `"replica":"e`) {
		t.Fatal("no chunk names the replica that continued the stream")
	}
}

// awaitDispatch waits for the first dispatch and returns the number of its engine.
func (f *fixture) awaitDispatch(t *testing.T) int {
	t.Helper()
	f.awaitDispatches(t, 1)
	return int(f.gateways[0].Dispatches(0)[0].Backend[1] - '0')
}

// TestPushRunsOnceAndItsAnswerIsStored sends a key again at another gateway. The stored answer must be returned
// without a second execution, and the key must be refused with another body.
func TestPushRunsOnceAndItsAnswerIsStored(t *testing.T) {
	f := newFixture(t, 0, 2, 2, nil)
	first := f.push(t, 0, "k1", "{}")
	if first.status != 200 || first.header.Get(verdict.Header) != "ran" || f.executions("k1") != 1 {
		t.Fatalf("got %+v, ran %d times, want status 200 and one run", first, f.executions("k1"))
	}
	again := f.push(t, 1, "k1", "{}")
	if again.body != first.body || again.header.Get(HeaderStored) != "true" || f.executions("k1") != 1 {
		t.Fatalf("resend: got %+v, ran %d times, want the stored answer and one run", again, f.executions("k1"))
	}
	other := f.push(t, 1, "k1", `{"other":true}`)
	if other.status != 422 || f.executions("k1") != 1 {
		t.Fatalf("other body: got %+v, ran %d times, want status 422 and one run", other, f.executions("k1"))
	}
}

// TestPushWithLostAnswerIsNotSentAgain guards against a second execution of a non-repeatable request whose replica
// crashed after running it.
func TestPushWithLostAnswerIsNotSentAgain(t *testing.T) {
	f := newFixture(t, 0, 2, 2, nil)
	for _, app := range f.apps {
		app.SetFaults(application.Faults{CrashAfterRunProbability: 1})
	}
	got := f.push(t, 0, "k1", "{}")
	if got.status != 502 || got.header.Get(verdict.Header) != "may-have-run" || f.executions("k1") != 1 {
		t.Fatalf("got %+v, ran %d times, want status 502, may-have-run and one run", got, f.executions("k1"))
	}
	for _, app := range f.apps {
		app.SetFaults(application.Faults{})
	}
	got = f.push(t, 1, "k1", "{}")
	if got.status != 409 || got.header.Get(verdict.Header) != "may-have-run" || f.executions("k1") != 1 {
		t.Fatalf("resend: got %+v, ran %d times, want status 409, may-have-run and one run", got, f.executions("k1"))
	}
}

// TestRefusingReplicasLeadToDidNotRun guards against a key that stays claimed after every replica has refused its
// request.
func TestRefusingReplicasLeadToDidNotRun(t *testing.T) {
	f := newFixture(t, 0, 2, 1, nil)
	for _, app := range f.apps {
		app.SetFaults(application.Faults{RefuseProbability: 1})
	}
	got := f.push(t, 0, "k1", "{}")
	if got.status != 503 || got.header.Get(verdict.Header) != "did-not-run" || got.header.Get(HeaderRetryAfter) == "" || f.executions("k1") != 0 {
		t.Fatalf("got %+v, ran %d times, want status 503, did-not-run, a Retry-After and no run", got, f.executions("k1"))
	}
	for _, app := range f.apps {
		app.SetFaults(application.Faults{})
	}
	if got = f.push(t, 0, "k1", "{}"); got.status != 200 || f.executions("k1") != 1 {
		t.Fatalf("resend: got %+v, ran %d times, want status 200 and one run", got, f.executions("k1"))
	}
}

// TestLostClaimBeginIsReleasedAndRetried guards against a key that stays claimed, or runs twice, after the ledger's
// reply to its claim was lost.
func TestLostClaimBeginIsReleasedAndRetried(t *testing.T) {
	f := newFixture(t, 0, 1, 1, nil)
	f.controls[0].loseReplies("begin", 1)
	if got := f.push(t, 0, "k1", "{}"); got.status != 200 || f.executions("k1") != 1 {
		t.Fatalf("got %+v, ran %d times, want status 200 and one run", got, f.executions("k1"))
	}
}

// TestLapsedLeaseSendsNothing guards against dispatches without a lease on the table.
func TestLapsedLeaseSendsNothing(t *testing.T) {
	f := newFixture(t, 1, 1, 1, nil)
	f.controls[0].set(func() { f.controls[0].leased = false })
	got := f.push(t, 0, "k1", "{}")
	if got.status != 503 || got.header.Get(verdict.Header) != "did-not-run" || f.executions("k1") != 0 {
		t.Fatalf("got %+v, ran %d times, want status 503, did-not-run and no run", got, f.executions("k1"))
	}
	got = f.post(t, 0, "/v1/completions", completion(true))
	if got.status != 503 || got.header.Get(verdict.Header) != "did-not-run" || len(f.engines[0].Log()) != 0 {
		t.Fatalf("got %+v, want status 503, did-not-run and no request at the engine", got)
	}
	f.requireNotReady(t, errNoLease)
}

// requireNotReady fails unless the first gateway reports on the callers' listener that it is not ready, for the
// given reason.
func (f *fixture) requireNotReady(t *testing.T, reason error) {
	t.Helper()
	response, err := http.Get("http://" + f.gateways[0].Address() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), reason.Error()) {
		t.Fatalf("readiness: got status %d, body %q, error %v, want 503 with the reason", response.StatusCode, body, err)
	}
}

// TestUnreachableLedgerAnswersBeforeTheDeadline checks that a request whose claim gets no reply is not run and is
// answered with the verdict "may have run".
func TestUnreachableLedgerAnswersBeforeTheDeadline(t *testing.T) {
	f := newFixture(t, 0, 1, 1, nil)
	f.controls[0].set(func() { f.controls[0].ledgerDown = true })
	got := f.push(t, 0, "k1", "{}", HeaderDeadline, "200ms")
	if got.header.Get(verdict.Header) != "may-have-run" || f.executions("k1") != 0 {
		t.Fatalf("got %+v, ran %d times, want may-have-run and no run", got, f.executions("k1"))
	}
}

// TestNewGatewaySendsNothingToLeavingBackEnds guards against work for back ends that were leaving before the
// gateway started. Four of five engines report that they are leaving, which the table does not show.
func TestNewGatewaySendsNothingToLeavingBackEnds(t *testing.T) {
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
		t.Fatalf("got %+v, want status 200", got)
	}
	for _, dispatch := range started.Dispatches(0) {
		if dispatch.Backend != "e0" {
			t.Errorf("sent to %s, which was leaving", dispatch.Backend)
		}
	}
}

// TestOlderTableDoesNotReplaceNewer guards against a return to an older table. It comes about when the check of the
// live gateways has read the table view before a newer one was applied, and applies it afterwards.
func TestOlderTableDoesNotReplaceNewer(t *testing.T) {
	f := newFixture(t, 1, 0, 1, nil)
	gateway := f.gateways[0]
	before := f.controls[0].View()
	f.cluster.change(t, [3]string{"later", table.ColumnKind, string(table.Pool)})
	if gateway.pool("later") == nil {
		t.Fatal("the new pool is missing after its table update")
	}
	gateway.applyTable(before, true)
	if gateway.pool("later") == nil {
		t.Error("the new pool is missing after an older table was applied")
	}
}
