package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/table"
)

// HTTP headers of the callers' API.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderRepeatable   = "Tamarindring-Repeatable"
	HeaderClass        = "Tamarindring-Class"
	HeaderDeadline     = "Tamarindring-Deadline"
	HeaderReplica      = "Tamarindring-Replica" // back end to prefer because it holds the request's KV cache
	HeaderRequestID    = "X-Request-Id"
	HeaderBackend      = "Tamarindring-Backend"
	HeaderTableVersion = "Tamarindring-Table-Version"
	HeaderStored       = "Tamarindring-Stored-Answer"
	HeaderServerTiming = "Server-Timing"
	HeaderRetryAfter   = "Retry-After"
)

// Caller classes that the gateway treats specially.
const (
	ClassLive    = "live"
	ClassRollout = "rollout"
)

const (
	maxKeyBytes       = 200
	maxIDBytes        = 200
	maxClassBytes     = 100
	defaultWorkTokens = 128.0 // tokens assumed for a request without max_tokens
	applicationWork   = 1.0
	bytesPerBlock     = 512 // bytes of prompt text per prefix block, about 128 tokens
	completionsPath   = "/v1/completions"
	chatPath          = "/v1/chat/completions"
	poolsPath         = "/v1/pools/"
	invokePath        = "/v1/invoke/"
	jsonType          = "application/json"
	eventStreamType   = "text/event-stream"
	applicationStream = "application/octet-stream"
)

// call is one request of a caller, parsed and validated.
type call struct {
	pool           string
	path           string // request path at the back end
	service        table.Service
	chat           bool
	class          string
	key            string
	repeatable     bool
	requestID      string
	preferred      string // back end to use if it can take the request
	contentType    string
	timeout        time.Duration // 0: the deadline of the pool
	fields         completionFields
	body           []byte     // the whole body, or its beginning when remainder is set
	remainder      io.Reader  // what follows body; nil when the whole body is buffered
	pacedRemainder *pacedBody // the same reader as remainder
	bodyLength     int64      // -1 when unknown
	reservedBytes  int64      // taken from the memory budget for the body
	prefixBlocks   []uint64   // chained hashes of the prompt, for prefix-aware routing
}

// completionFields holds the fields of a completion request that the gateway uses.
type completionFields struct {
	Model        string          `json:"model"`
	Prompt       json.RawMessage `json:"prompt"`
	Messages     json.RawMessage `json:"messages"`
	Stream       bool            `json:"stream"`
	MaxTokens    int             `json:"max_tokens"`
	N            int             `json:"n"`
	PrefixTokens int             `json:"prefix_tokens"`
	Priority     json.RawMessage `json:"priority"`
	RequestID    string          `json:"request_id"`
}

// callError rejects a call that is invalid or cannot be read. Its fields go into the answer.
type callError struct {
	status int
	code   string
	reason string
}

// Error implements error.
func (b *callError) Error() string { return b.reason }

func newCallError(status int, code, reason string) *callError {
	return &callError{status: status, code: code, reason: reason}
}

// readCall parses the headers and the body of a request. If it returns a *callError, the call holds what was parsed
// so far.
func (s *Server) readCall(ctx *fasthttp.RequestCtx) (*call, error) {
	c := &call{}
	if err := c.readHeaders(ctx); err != nil {
		return c, err
	}
	path := string(ctx.Path())
	switch {
	case path == completionsPath || path == chatPath:
		c.path, c.service, c.chat = path, table.Engine, path == chatPath
	case strings.HasPrefix(path, poolsPath):
		pool, operation, found := strings.Cut(path[len(poolsPath):], "/")
		if !found || pool == "" || !isValidOperation(operation) {
			return c, newCallError(http.StatusNotFound, "not_found", "the path is /v1/pools/{pool}/{operation}")
		}
		c.pool, c.path, c.service = pool, invokePath+operation, table.Application
	default:
		return c, newCallError(http.StatusNotFound, "not_found", "no such path")
	}
	if err := s.readBody(ctx, c); err != nil {
		return c, err
	}
	if c.service == table.Engine {
		if err := c.readCompletion(); err != nil {
			return c, err
		}
	}
	return c, c.readRepeatable(ctx)
}

// isValidOperation reports whether an operation name can be used in a URL path without escaping.
func isValidOperation(operation string) bool {
	if operation == "" || len(operation) > maxIDBytes {
		return false
	}
	for _, r := range operation {
		plain := r == '-' || r == '_' || (r >= '0' && r <= '9') || (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')
		if !plain {
			return false
		}
	}
	return true
}

func (c *call) readHeaders(ctx *fasthttp.RequestCtx) error {
	header := &ctx.Request.Header
	c.key = string(header.Peek(HeaderKey))
	c.requestID = string(header.Peek(HeaderRequestID))
	c.class = string(header.Peek(HeaderClass))
	c.preferred = string(header.Peek(HeaderReplica))
	c.contentType = string(header.ContentType())
	if c.class == "" {
		c.class = ClassLive
	}
	if len(c.key) > maxKeyBytes || len(c.requestID) > maxIDBytes || len(c.class) > maxClassBytes ||
		len(c.preferred) > maxIDBytes {
		c.key = ""
		return newCallError(http.StatusBadRequest, "header_too_long", "Idempotency-Key, X-Request-Id, Tamarindring-Class or Tamarindring-Replica is too long")
	}
	text := string(header.Peek(HeaderDeadline))
	if text == "" {
		return nil
	}
	timeout, err := parseDeadline(text)
	if err != nil {
		return newCallError(http.StatusBadRequest, "bad_deadline", "Tamarindring-Deadline must be a positive duration such as 1500ms, or a number of milliseconds")
	}
	c.timeout = timeout
	return nil
}

// parseDeadline parses a positive number of milliseconds or a positive Go duration.
func parseDeadline(text string) (time.Duration, error) {
	if millis, err := strconv.ParseInt(text, 10, 32); err == nil {
		if millis <= 0 {
			return 0, strconv.ErrRange
		}
		return time.Duration(millis) * time.Millisecond, nil
	}
	timeout, err := time.ParseDuration(text)
	if err == nil && timeout <= 0 {
		return 0, strconv.ErrRange
	}
	return timeout, err
}

// readRepeatable determines whether the request may run more than once. Completions may by default. A request that
// may not must have an idempotency key.
func (c *call) readRepeatable(ctx *fasthttp.RequestCtx) error {
	c.repeatable = c.service == table.Engine
	switch text := string(ctx.Request.Header.Peek(HeaderRepeatable)); text {
	case "":
	case "true", "false":
		c.repeatable = text == "true"
	default:
		return newCallError(http.StatusBadRequest, "bad_repeatable", "Tamarindring-Repeatable must be true or false")
	}
	if !c.repeatable && c.key == "" {
		return newCallError(http.StatusBadRequest, "key_required", "a request that must not run twice needs an Idempotency-Key")
	}
	return nil
}

// isBuffered reports whether the whole body is held in memory, so that it can be sent again.
func (c *call) isBuffered() bool { return c.remainder == nil }

// readCompletion parses the fields of an OpenAI completion request. If the body is not fully buffered, only its
// beginning is searched, so the fields model and stream must come before the large field.
func (c *call) readCompletion() error {
	if c.isBuffered() {
		if err := json.Unmarshal(c.body, &c.fields); err != nil {
			return newCallError(http.StatusBadRequest, "bad_body", "the body is no valid JSON of this form: "+err.Error())
		}
	} else if err := c.scanPartialBody(); err != nil {
		return err
	}
	if c.fields.Model == "" {
		return newCallError(http.StatusBadRequest, "bad_body", "the field model must name a pool")
	}
	if c.fields.PrefixTokens < 0 || c.fields.MaxTokens < 0 {
		return newCallError(http.StatusBadRequest, "bad_body", "prefix_tokens and max_tokens must not be negative")
	}
	c.pool = c.fields.Model
	if c.requestID == "" && len(c.fields.RequestID) <= maxIDBytes {
		c.requestID = c.fields.RequestID
	}
	c.prefixBlocks = promptBlocks(c.fields.Prompt, c.fields.Messages)
	return nil
}

// scanPartialBody parses the top-level fields of a JSON object of which only the beginning is buffered.
func (c *call) scanPartialBody() error {
	decoder := json.NewDecoder(bytes.NewReader(c.body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return newCallError(http.StatusBadRequest, "bad_body", "the body must be a JSON object")
	}
	for {
		name, err := decoder.Token()
		if err != nil {
			return nil // end of the buffered part
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil
		}
		text, isText := name.(string)
		if !isText {
			return nil
		}
		switch text {
		case "model":
			_ = json.Unmarshal(value, &c.fields.Model)
		case "stream":
			_ = json.Unmarshal(value, &c.fields.Stream)
		case "max_tokens":
			_ = json.Unmarshal(value, &c.fields.MaxTokens)
		}
	}
}

// hashBody returns a digest that identifies the request under its idempotency key. It covers the path, the length
// and the buffered part of the body, which is the whole body where it is buffered.
func (c *call) hashBody() []byte {
	digest := sha256.New()
	digest.Write([]byte(c.path))
	var length [9]byte
	binary.BigEndian.PutUint64(length[1:], uint64(c.bodyLength))
	digest.Write(length[:])
	digest.Write(c.body)
	return digest.Sum(nil)
}

// estimateWork returns the expected cost of the request at a replica, in tokens.
func (c *call) estimateWork() float64 {
	if c.service == table.Application {
		return applicationWork
	}
	prefill := float64(len(c.body)) / 32 // four bytes per token, and an eighth of a decode step per token
	if c.fields.MaxTokens > 0 {
		return prefill + float64(max(c.fields.MaxTokens-c.fields.PrefixTokens, 1))
	}
	return prefill + defaultWorkTokens
}
