package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

// Prompt is one prompt of a step.
type Prompt struct {
	ID        string `json:"id"`
	Text      string `json:"text"`
	MaxTokens int    `json:"max_tokens"`
}

// stepBody is the body of PUT /v1/trainers/{trainer}/steps/{step}, which opens a step.
type stepBody struct {
	Pool             string   `json:"pool"`
	SamplesPerPrompt int      `json:"samples_per_prompt"`
	Prompts          []Prompt `json:"prompts"`
}

// fetchBody is the body of POST /v1/trainers/{trainer}/fetch. Cursor is the number of the requested batch, Acknowledge
// that of the last one received.
type fetchBody struct {
	Cursor         uint64 `json:"cursor"`
	Acknowledge    uint64 `json:"acknowledge"`
	TrainerVersion uint64 `json:"trainer_version"`
	MaxSamples     int    `json:"max_samples"`
	WaitMillis     int64  `json:"wait_millis"`
	WholeStep      bool   `json:"whole_step"`
	Fetch          uint64 `json:"fetch"` // number of the call, higher for each further one
}

// Segment is a run of a sample's tokens that one replica generated under one weight version.
type Segment struct {
	WeightVersion string `json:"weight_version"`
	VersionNumber uint64 `json:"version_number"`
	FirstToken    int    `json:"first_token"`
	TokenCount    int    `json:"token_count"`
	Replica       string `json:"replica"`
}

// Sample is one sample in the reply to a fetch.
type Sample struct {
	ID       string    `json:"id"`
	PromptID string    `json:"prompt_id"`
	Index    int       `json:"index"`
	Text     string    `json:"text"`
	Segments []Segment `json:"segments"`
	Score    float64   `json:"score"`
	Age      uint64    `json:"age"`
	Edition  uint32    `json:"edition"`
}

// fetchReply is the answer to a fetch. Cursor is 0 if it has no batch.
type fetchReply struct {
	Cursor         uint64   `json:"cursor"`
	Step           uint64   `json:"step"`
	StepComplete   bool     `json:"step_complete"`
	Samples        []Sample `json:"samples"`
	StalenessBound *uint64  `json:"staleness_bound"`
}

// versionBody is the body of POST /v1/trainers/{trainer}/versions, which announces a weight version.
type versionBody struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
	Pool          string `json:"pool,omitempty"`
}

// storedVersion is the body of PUT /v1/versions/{version} at the weight store.
type storedVersion struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
	Trainer       string `json:"trainer"`
}

const (
	callMargin   = 15 * time.Second // timeout of a call beyond the time for which a fetch waits
	maxErrorBody = 4096             // bytes read of an error's body
)

// callError is an answer with an error status.
type callError struct {
	status int
	code   string // of the error body
	fetch  uint64 // number that the next fetch must exceed
	body   string
}

func (e *callError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// conflictCode is the error code of a conflict that a retry cannot solve, such as a version number that is taken.
const conflictCode = "conflict"

// errorBody is the part of an error's body that the trainer reads.
type errorBody struct {
	Error struct {
		Code  string `json:"code"`
		Fetch uint64 `json:"fetch"`
	} `json:"error"`
}

// isPermanent reports whether a retry cannot succeed.
func (e *callError) isPermanent() bool {
	return e.status == http.StatusBadRequest || (e.status == http.StatusConflict && e.code == conflictCode)
}

// call sends one request to an address, follows redirects and decodes the answer. An error status gives a callError.
// The call times out callMargin after wait.
func (t *Trainer) call(ctx context.Context, method, address, path string, body, answer any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if t.config.Authorization != "" {
		request.Header.Set("Authorization", t.config.Authorization)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		content, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
		var parsed errorBody
		_ = json.Unmarshal(content, &parsed)
		return &callError{status: response.StatusCode, code: parsed.Error.Code, fetch: parsed.Error.Fetch, body: string(content)}
	}
	if answer == nil {
		_, err = io.Copy(io.Discard, response.Body)
		return trace.Wrap(err)
	}
	return trace.Wrap(json.NewDecoder(response.Body).Decode(answer))
}

// path returns a path of the trainers' API for this trainer.
func (t *Trainer) path(rest string) string {
	return "/v1/trainers/" + url.PathEscape(t.config.Name) + rest
}
