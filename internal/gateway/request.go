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

// The headers of the callers' interface.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderRepeatable   = "Tamarindring-Repeatable"
	HeaderClass        = "Tamarindring-Class"
	HeaderDeadline     = "Tamarindring-Deadline"
	HeaderReplica      = "Tamarindring-Replica" // back end to prefer, which holds the request's KV cache
	HeaderRequestID    = "X-Request-Id"
	HeaderBackend      = "Tamarindring-Backend"
	HeaderTableVersion = "Tamarindring-Table-Version"
	HeaderStored       = "Tamarindring-Stored-Answer"
	HeaderServerTiming = "Server-Timing"
	HeaderRetryAfter   = "Retry-After"
)

// Caller classes with a meaning of their own.
const (
	ClassLive    = "live"
	ClassRollout = "rollout"
)

const (
	maxKeyBytes       = 200
	maxIDBytes        = 200
	maxClassBytes     = 100
	defaultWork       = 128.0 // tokens expected of a request that names no bound
	applicationWork   = 1.0
	bytesPerBlock     = 512 // of prompt text per prefix block: about 128 tokens
	completionsPath   = "/v1/completions"
	chatPath          = "/v1/chat/completions"
	poolsPath         = "/v1/pools/"
	invokePath        = "/v1/invoke/"
	jsonType          = "application/json"
	eventStreamType   = "text/event-stream"
	applicationStream = "application/octet-stream"
)

// call is one caller's request, read and checked.
type call struct {
	pool        string
	path        string // at the back end
	service     table.Service
	chat        bool
	class       string
	key         string
	repeatable  bool
	requestID   string
	preferred   string // back end to choose first, if it may take the request
	contentType string
	timeout     time.Duration // 0: the pool's own
	fields      completionFields
	body        []byte     // the whole body, or its beginning when rest is set
	rest        io.Reader  // what follows body; nil when body is whole
	paced       *pacedBody // the same as rest
	bodyLength  int64      // -1 when not known
	reserved    int64      // bytes of the memory budget
	blocks      []uint64
}

// completionFields are the fields of a completion that the gateway looks at.
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

// badCall is a request that is refused before anything else is done with it.
type badCall struct {
	status int
	code   string
	reason string
}

// Error implements error.
func (b *badCall) Error() string { return b.reason }

func bad(status int, code, reason string) *badCall {
	return &badCall{status: status, code: code, reason: reason}
}

// readCall reads headers and body. On a *badCall the call holds what was understood so far.
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
		if !found || pool == "" || !validOperation(operation) {
			return c, bad(http.StatusNotFound, "not_found", "the path is /v1/pools/{pool}/{operation}")
		}
		c.pool, c.path, c.service = pool, invokePath+operation, table.Application
	default:
		return c, bad(http.StatusNotFound, "not_found", "no such path")
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

// validOperation accepts the names that can stand in a path as they are.
func validOperation(operation string) bool {
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
		return bad(http.StatusBadRequest, "header_too_long", "Idempotency-Key, X-Request-Id, Tamarindring-Class or Tamarindring-Replica is too long")
	}
	text := string(header.Peek(HeaderDeadline))
	if text == "" {
		return nil
	}
	timeout, err := parseDeadline(text)
	if err != nil {
		return bad(http.StatusBadRequest, "bad_deadline", "Tamarindring-Deadline must be a positive duration such as 1500ms, or a number of milliseconds")
	}
	c.timeout = timeout
	return nil
}

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

// readRepeatable decides whether the request may run twice.
func (c *call) readRepeatable(ctx *fasthttp.RequestCtx) error {
	c.repeatable = c.service == table.Engine
	switch text := string(ctx.Request.Header.Peek(HeaderRepeatable)); text {
	case "":
	case "true", "false":
		c.repeatable = text == "true"
	default:
		return bad(http.StatusBadRequest, "bad_repeatable", "Tamarindring-Repeatable must be true or false")
	}
	if !c.repeatable && c.key == "" {
		return bad(http.StatusBadRequest, "key_required", "a request that must not run twice needs an Idempotency-Key")
	}
	return nil
}

// whole tells whether the body is held and can be sent again.
func (c *call) whole() bool { return c.rest == nil }

// readCompletion reads the fields of an OpenAI request. Of a body that is not whole only the beginning is
// searched, so that model and stream have to stand before the large field.
func (c *call) readCompletion() error {
	if c.whole() {
		if err := json.Unmarshal(c.body, &c.fields); err != nil {
			return bad(http.StatusBadRequest, "bad_body", "the body is no valid JSON of this form: "+err.Error())
		}
	} else if err := c.scanBeginning(); err != nil {
		return err
	}
	if c.fields.Model == "" {
		return bad(http.StatusBadRequest, "bad_body", "the field model must name a pool")
	}
	if c.fields.PrefixTokens < 0 || c.fields.MaxTokens < 0 {
		return bad(http.StatusBadRequest, "bad_body", "prefix_tokens and max_tokens must not be negative")
	}
	c.pool = c.fields.Model
	if c.requestID == "" && len(c.fields.RequestID) <= maxIDBytes {
		c.requestID = c.fields.RequestID
	}
	c.blocks = promptBlocks(c.fields.Prompt, c.fields.Messages)
	return nil
}

// scanBeginning reads the top-level fields of an object whose end is not here.
func (c *call) scanBeginning() error {
	decoder := json.NewDecoder(bytes.NewReader(c.body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return bad(http.StatusBadRequest, "bad_body", "the body must be a JSON object")
	}
	for {
		name, err := decoder.Token()
		if err != nil {
			return nil // the end of what is held
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

// bodyHash identifies the request under its key: path and body, or path, length and beginning of a body
// that is not held.
func (c *call) bodyHash() []byte {
	digest := sha256.New()
	digest.Write([]byte(c.path))
	var length [9]byte
	binary.BigEndian.PutUint64(length[1:], uint64(c.bodyLength))
	digest.Write(length[:])
	digest.Write(c.body)
	return digest.Sum(nil)
}

// work estimates the tokens that the request will occupy a replica with.
func (c *call) work() float64 {
	if c.service == table.Application {
		return applicationWork
	}
	prefill := float64(len(c.body)) / 32 // four bytes a token, an eighth of a decode step each
	if c.fields.MaxTokens > 0 {
		return prefill + float64(max(c.fields.MaxTokens-c.fields.PrefixTokens, 1))
	}
	return prefill + defaultWork
}
