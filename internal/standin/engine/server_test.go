package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	emulator "github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/engine/text"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/servertest"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

func TestMain(m *testing.M) {
	// Goroutines of fasthttp that outlive a server: its process-wide clock, and the cleaner of the worker pool, which
	// ends only after its sleep.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// startServer runs a stand-in until the end of the test, fifty times faster than real time unless change sets another
// scale.
func startServer(t *testing.T, change func(*Config)) *Server {
	t.Helper()
	config := Config{
		Name: "engine-1", Listen: "127.0.0.1:0", InitialVersion: "v1", InitialVersionNumber: 1, TimeScale: 50, Log: logging.Discard(),
	}
	if change != nil {
		change(&config)
	}
	server, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	servertest.Run(t, server)
	return server
}

func post(t *testing.T, server *Server, path string, body any) *http.Response {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+server.Address()+path, "application/json", bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func TestStreamedAnswerIsWhole(t *testing.T) {
	server := startServer(t, nil)
	prompt := "offer for shoes [tokens=40]"
	response := post(t, server, "/v1/completions", map[string]any{"model": "copy", "prompt": prompt, "stream": true, "request_id": "r1"})
	read := readStream(t, response.Body, 0)
	if !read.done || read.finish != "stop" || read.content != text.ExpectedText(prompt, 0) {
		t.Fatalf("read %+v, want the whole text, finish reason stop and [DONE]", read)
	}
	if read.checksum != text.Checksum(prompt, read.content) {
		t.Error("the checksum does not match the content")
	}
	log := server.Log()
	if len(log) != 1 || log[0].Outcome != OutcomeFinished || log[0].Tokens != 40 || log[0].RequestID != "r1" {
		t.Errorf("log %+v, want one finished request r1 with 40 tokens", log)
	}
}

func TestWholeAndChatAnswers(t *testing.T) {
	server := startServer(t, nil)
	messages := []text.Message{{Role: "user", Content: "summary [tokens=12]"}}
	prompt, err := text.RenderChat(messages, false)
	if err != nil {
		t.Fatal(err)
	}
	expected := text.ExpectedText(prompt, 8)
	response := post(t, server, "/v1/chat/completions", map[string]any{"messages": messages, "max_tokens": 8})
	var whole completionAnswer
	if err := json.NewDecoder(response.Body).Decode(&whole); err != nil {
		t.Fatal(err)
	}
	choice := whole.Choices[0]
	if choice.Message.Content != expected || choice.FinishReason != "length" || choice.Checksum != text.Checksum(prompt, expected) {
		t.Errorf("answer without streaming %+v, want the expected text, finish reason length and its checksum", choice)
	}
	if len(choice.Segments) != 1 || choice.Segments[0].Version != "v1" || choice.Segments[0].Count != 8 {
		t.Errorf("segments %+v, want one of 8 tokens under v1", choice.Segments)
	}
	streamed := post(t, server, "/v1/chat/completions", map[string]any{"messages": messages, "max_tokens": 8, "stream": true})
	if read := readStream(t, streamed.Body, 0); read.content != expected || !read.done {
		t.Errorf("streamed chat %+v, want the expected text and [DONE]", read)
	}
}

// TestCutStreamResumesAndReplays guards against a cut answer that cannot be completed with the same text and checksum,
// either by resuming it on its replica or by sending prompt and prefix to another one.
func TestCutStreamResumesAndReplays(t *testing.T) {
	server := startServer(t, nil)
	other := startServer(t, func(config *Config) {
		config.Name, config.InitialVersion, config.InitialVersionNumber = "engine-2", "v2", 2
	})
	prompt := "long answer [tokens=60]"
	expected := text.ExpectedText(prompt, 0)
	server.SetFaults(Faults{CutAfterTokens: 20})
	first := readStream(t, post(t, server, "/v1/completions", map[string]any{"prompt": prompt, "stream": true, "request_id": "cut"}).Body, 0)
	if first.done || first.next > 20 {
		t.Fatalf("the cut stream gave %+v, want at most 20 tokens and no [DONE]", first)
	}
	server.SetFaults(Faults{})
	resumed := readStream(t, post(t, server, "/v1/streams/cut/resume?from="+itoa(first.next), nil).Body, first.next)
	if first.content+resumed.content != expected || resumed.checksum != text.Checksum(prompt, expected) || !resumed.done {
		t.Errorf("resumed %+v, want the rest of the answer", resumed)
	}
	replayed := readStream(t, post(t, other, "/v1/completions", map[string]any{
		"prompt": prompt + first.content, "stream": true, "prefix_tokens": first.next,
	}).Body, first.next)
	if first.content+replayed.content != expected || replayed.checksum != text.Checksum(prompt, expected) {
		t.Errorf("replayed %+v, want the rest of the answer", replayed)
	}
	if replayed.segments[0].Version != "v2" || replayed.segments[0].From != first.next {
		t.Errorf("segments of the replay %+v, want v2 from the first missing token", replayed.segments)
	}
}

func itoa(number int) string {
	encoded, _ := json.Marshal(number)
	return string(encoded)
}

// TestCleanCutDoesNotLookFinished guards against a cut answer that a client takes for a complete one because the HTTP
// body ends properly.
func TestCleanCutDoesNotLookFinished(t *testing.T) {
	server := startServer(t, nil)
	server.SetFaults(Faults{CutAfterTokens: 5, CutCleanly: true})
	response := post(t, server, "/v1/completions", map[string]any{"prompt": "[tokens=20]", "stream": true})
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("a clean cut ended in %v, want a complete HTTP body", err)
	}
	if read := readStream(t, bytes.NewReader(body), 0); read.done || read.finish != "" || read.next != 5 {
		t.Errorf("read %+v, want 5 tokens, no finish reason and no [DONE]", read)
	}
}

// TestSwapSplitsSegmentsAsLogged guards against tokens that a client attributes to another version than the log does.
func TestSwapSplitsSegmentsAsLogged(t *testing.T) {
	server := startServer(t, func(config *Config) {
		config.Parameters = emulator.DefaultParameters()
		config.Parameters.SwapTime, config.Parameters.StageTime = time.Millisecond, time.Millisecond
	})
	response := post(t, server, "/v1/completions", map[string]any{"prompt": "[tokens=400]", "stream": true, "request_id": "s"})
	ordered := post(t, server, "/v1/admin/weights", map[string]any{"version": "v2", "version_number": 2, "fence": 1})
	if ordered.StatusCode != http.StatusOK {
		t.Fatalf("weight order: status %d, want 200", ordered.StatusCode)
	}
	read := readStream(t, response.Body, 0)
	if len(read.segments) != 2 || read.segments[1].Version != "v2" {
		t.Fatalf("segments %+v, want two, the second under v2", read.segments)
	}
	logged := server.Log()[0].Segments
	for index, segment := range read.segments {
		if logged[index] != segment {
			t.Errorf("segment %d: read %+v, logged %+v", index, segment, logged[index])
		}
	}
	stale := post(t, server, "/v1/admin/weights", map[string]any{"version": "v1", "version_number": 1, "fence": 1})
	if stale.StatusCode != http.StatusConflict {
		t.Errorf("stale order: status %d, want 409", stale.StatusCode)
	}
}

func TestFailedSwapIsReported(t *testing.T) {
	server := startServer(t, nil)
	server.FailNextSwap(emulator.SwapKeepsOld)
	failed := post(t, server, "/v1/admin/weights", map[string]any{"version": "v2", "version_number": 2, "fence": 1})
	if failed.StatusCode != http.StatusInternalServerError {
		t.Errorf("failed swap: status %d, want 500", failed.StatusCode)
	}
	if version, _ := server.Served(); version != "v1" {
		t.Errorf("served %q after a failed swap, want v1", version)
	}
	repaired := post(t, server, "/v1/admin/weights", map[string]any{"version": "v2", "version_number": 2, "fence": 1})
	if version, _ := server.Served(); repaired.StatusCode != http.StatusOK || version != "v2" {
		t.Errorf("repeated order: status %d, served %q, want 200 and v2", repaired.StatusCode, version)
	}
}

// TestLeavingRejectsAndLogsNewRequests checks that a request after the leave mark is rejected as not run, and logged
// with the time since the mark.
func TestLeavingRejectsAndLogsNewRequests(t *testing.T) {
	server := startServer(t, nil)
	post(t, server, "/v1/admin/leave", nil)
	refused := post(t, server, "/v1/completions", map[string]any{"prompt": "x"})
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get(verdict.Header) != verdict.DidNotRun.String() {
		t.Errorf("rejected with status %d and verdict %q, want 503 and did-not-run", refused.StatusCode, refused.Header.Get(verdict.Header))
	}
	log := server.Log()
	if len(log) != 1 || log[0].Outcome != OutcomeRefused || log[0].AfterLeave <= 0 {
		t.Errorf("log %+v, want one rejected request after the leave mark", log)
	}
}

func TestCancel(t *testing.T) {
	server := startServer(t, func(config *Config) { config.TimeScale = 1 })
	response := post(t, server, "/v1/completions", map[string]any{"prompt": "[tokens=4000]", "stream": true, "request_id": "c"})
	var cancelled cancelledStream
	if err := json.NewDecoder(post(t, server, "/v1/streams/c/cancel", nil).Body).Decode(&cancelled); err != nil {
		t.Fatal(err)
	}
	if cancelled.Outcome != OutcomeCancelled {
		t.Errorf("answer of the cancellation %+v, want outcome cancelled", cancelled)
	}
	if read := readStream(t, response.Body, 0); read.done || read.finish != "" || read.next != cancelled.Tokens || read.failure != "cancelled" {
		t.Errorf("read %d tokens, cancelled at %d, [DONE] %v, want equal tokens, an error event and no [DONE]", read.next, cancelled.Tokens, read.done)
	}
}

func TestCrashCutsStreamsAndRestarts(t *testing.T) {
	server := startServer(t, func(config *Config) { config.TimeScale = 1 })
	response := post(t, server, "/v1/completions", map[string]any{"prompt": "[tokens=4000]", "stream": true})
	server.Crash()
	if read := readStream(t, response.Body, 0); read.done {
		t.Error("the stream of the crashed engine ended with [DONE]")
	}
	if log := server.Log(); len(log) != 1 || log[0].Outcome != OutcomeCrashed {
		t.Errorf("log %+v, want one crashed request", log)
	}
	server.Restart("v3", 3)
	whole := post(t, server, "/v1/completions", map[string]any{"prompt": "[tokens=2]"})
	if whole.StatusCode != http.StatusOK {
		t.Errorf("request after the restart: status %d, want 200", whole.StatusCode)
	}
}

func TestBadBodiesAreRefused(t *testing.T) {
	server := startServer(t, nil)
	bodies := []string{`{`, `{"prompt":5}`, `{"prompt":"x","n":2}`, `{"prompt":"x y","prefix_tokens":3}`, `{"prompt":"x","max_tokens":-1}`}
	for _, body := range bodies {
		response, err := http.Post("http://"+server.Address()+"/v1/completions", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != http.StatusBadRequest || response.Header.Get(verdict.Header) != "did-not-run" {
			t.Errorf("body %s: status %d, want 400 with verdict did-not-run", body, response.StatusCode)
		}
	}
}

// TestStalledStreamContinuesWhenFaultsChange guards against a stalled stream that loses tokens or never ends.
func TestStalledStreamContinuesWhenFaultsChange(t *testing.T) {
	server := startServer(t, nil)
	server.SetFaults(Faults{StallAfterTokens: 5})
	prompt := "[tokens=20]"
	response := post(t, server, "/v1/completions", map[string]any{"prompt": prompt, "stream": true})
	await(func() bool { return len(server.Log()) > 0 && server.Log()[0].Outcome == OutcomeFinished })
	var body bytes.Buffer
	for !bytes.Contains(body.Bytes(), []byte(`"token_count":`)) {
		if _, err := io.CopyN(&body, response.Body, 1); err != nil {
			t.Fatal(err)
		}
	}
	server.SetFaults(Faults{})
	if _, err := body.ReadFrom(response.Body); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(body.Bytes(), []byte(`"token_offset":5,`)) {
		t.Errorf("the stream did not stop at token 5: %s", body.Bytes())
	}
	if read := readStream(t, &body, 0); !read.done || read.content != text.ExpectedText(prompt, 0) {
		t.Errorf("read %+v, want the whole answer", read)
	}
}
