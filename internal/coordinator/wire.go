package coordinator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Codes of refusals, as in the error body.
const (
	CodeBadRequest      = "bad_request"
	CodeConflict        = "conflict" // asking again does not help
	CodeDraining        = "draining"
	CodeUnavailable     = "unavailable"
	CodeNoLease         = "no_lease"
	CodeSuperseded      = "superseded" // a newer fetch of the same trainer took over
	CodeNotInStore      = "not_in_store"
	CodeUnauthenticated = "unauthenticated"
	CodeForbidden       = "forbidden"
	CodeNotFound        = "not_found"
	CodeOtherOwner      = "other_coordinator" // with status 307 and the owner's address
)

// promptBody is one prompt of a step.
type promptBody struct {
	ID        string `json:"id"`
	Text      string `json:"text"`
	MaxTokens uint32 `json:"max_tokens"`
}

// stepBody is the body of PUT /v1/trainers/{trainer}/steps/{step}.
type stepBody struct {
	Pool             string       `json:"pool"`
	SamplesPerPrompt uint32       `json:"samples_per_prompt"`
	Prompts          []promptBody `json:"prompts"`
}

// fetchBody is the body of POST /v1/trainers/{trainer}/fetch.
type fetchBody struct {
	Cursor         uint64 `json:"cursor"`
	Acknowledge    uint64 `json:"acknowledge"`
	TrainerVersion uint64 `json:"trainer_version"`
	MaxSamples     int    `json:"max_samples"`
	WaitMillis     int64  `json:"wait_millis"`
	WholeStep      bool   `json:"whole_step"`
	Fetch          uint64 `json:"fetch"` // rises with every call of the trainer; 0 when it has no numbers
}

// versionBody is the body of POST /v1/trainers/{trainer}/versions.
type versionBody struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
	Pool          string `json:"pool"`
}

// segmentReply is a run of tokens that one weight version on one replica made.
type segmentReply struct {
	WeightVersion string `json:"weight_version"`
	VersionNumber uint64 `json:"version_number"`
	FirstToken    uint32 `json:"first_token"`
	TokenCount    uint32 `json:"token_count"`
	Replica       string `json:"replica"`
}

// sampleReply is one sample as handed over.
type sampleReply struct {
	ID       string         `json:"id"`
	PromptID string         `json:"prompt_id"`
	Index    uint32         `json:"index"`
	Text     string         `json:"text"`
	Segments []segmentReply `json:"segments"`
	Score    float64        `json:"score"`
	Age      uint64         `json:"age"` // versions between the oldest segment and the trainer
	Edition  uint32         `json:"edition"`
}

// fetchReply answers a fetch; cursor 0 says that nothing was ready in time.
type fetchReply struct {
	Cursor         uint64        `json:"cursor"`
	Step           uint64        `json:"step"`
	StepComplete   bool          `json:"step_complete"`
	Samples        []sampleReply `json:"samples"`
	StalenessBound *uint64       `json:"staleness_bound,omitempty"`
}

func newSampleReply(sample *wire.Sample, trainerVersion uint64) sampleReply {
	reply := sampleReply{
		ID: sample.GetId(), PromptID: sample.GetPromptId(), Index: sample.GetIndex(), Text: sample.GetText(),
		Score: sample.GetScore(), Age: sampleAge(sample, trainerVersion), Edition: sample.GetEdition(),
		Segments: newSegmentReplies(sample.GetSegments()),
	}
	return reply
}

func newSegmentReplies(segments []*wire.Segment) []segmentReply {
	replies := make([]segmentReply, 0, len(segments))
	for _, segment := range segments {
		replies = append(replies, segmentReply{
			WeightVersion: segment.GetWeightVersion(), VersionNumber: segment.GetVersionNumber(),
			FirstToken: segment.GetFirstToken(), TokenCount: segment.GetTokenCount(), Replica: segment.GetReplica(),
		})
	}
	return replies
}

// errorBody is the OpenAI form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
	Fetch   uint64 `json:"fetch,omitempty"` // that the trainer's next fetch has to pass
}

// refusal is a request that is not served, as its caller learns it.
type refusal struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
	location   string // of another coordinator, with status 307
	fetch      uint64 // newest one known, with CodeSuperseded; 0 when a newer call took over here
}

// Error implements error.
func (r *refusal) Error() string { return r.message }

func badRequest(message string) *refusal {
	return &refusal{status: http.StatusBadRequest, code: CodeBadRequest, message: message}
}

func conflict(message string) *refusal {
	return &refusal{status: http.StatusConflict, code: CodeConflict, message: message}
}

func unavailable(code, message string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: code, message: message, retryAfter: time.Second}
}

// write answers with the refusal. Every call of the trainers' interface may be sent again.
func (r *refusal) write(writer http.ResponseWriter) {
	if r.location != "" {
		writer.Header().Set("Location", r.location)
	}
	if r.retryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int((r.retryAfter+time.Second-1)/time.Second)))
	}
	kind := "server_error"
	if r.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	known := verdict.DidNotRun.String()
	writer.Header().Set(verdict.Header, known)
	writeJSON(writer, r.status, errorBody{Error: errorDetail{Message: r.message, Type: kind, Code: r.code, Verdict: known, Fetch: r.fetch}})
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// decode reads a request's body strictly.
func decode(writer http.ResponseWriter, request *http.Request, limit int64, target any) *refusal {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return badRequest("the body is no valid JSON of this form: " + err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return badRequest("the body holds more than one JSON object")
	}
	return nil
}
