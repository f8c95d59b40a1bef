package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/table"
)

// FuzzCall passes arbitrary headers and bodies as a completion call. The call must be refused with a client error,
// or the body for the back end must be JSON that names the same pool.
func FuzzCall(f *testing.F) {
	f.Add("key-1", "false", "1500ms", []byte(`{"model":"copy","prompt":"hello","stream":true}`), false)
	f.Add("", "", "250", []byte(` {"model":"copy","messages":[{"role":"user","content":"x"}],"priority":3,"max_tokens":9}`), false)
	f.Add("", "true", "", []byte(`{"model":"copy","stream":true,"prompt":"cut`), true)
	f.Fuzz(func(t *testing.T, key, repeatable, deadline string, body []byte, cut bool) {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.Set(HeaderKey, key)
		ctx.Request.Header.Set(HeaderRepeatable, repeatable)
		ctx.Request.Header.Set(HeaderDeadline, deadline)
		c := &call{service: table.Engine, path: completionsPath, body: body, bodyLength: int64(len(body))}
		if cut {
			c.pacedRemainder = &pacedBody{}
			c.remainder = c.pacedRemainder
		}
		if !requireClientError(t, c.readHeaders(ctx)) || !requireClientError(t, c.readCompletion()) || !requireClientError(t, c.readRepeatable(ctx)) {
			return
		}
		if c.timeout < 0 || c.estimateWork() < 0 || len(c.hashBody()) == 0 || c.pool == "" {
			t.Fatalf("an invalid call was accepted: %+v", c)
		}
		outgoing, err := c.buildBody("stream-1", 7)
		if err != nil {
			t.Fatalf("building the body for the back end failed: %v", err)
		}
		if cut {
			return
		}
		var sent struct {
			Model     string `json:"model"`
			RequestID string `json:"request_id"`
		}
		if err := json.Unmarshal(outgoing, &sent); err != nil || sent.Model != c.pool || sent.RequestID != "stream-1" {
			t.Fatalf("body %q became %q, parsed as %+v (%v), want the same pool and the request ID stream-1", body, outgoing, sent, err)
		}
	})
}

// requireClientError fails if err is not a client error. It reports whether err is nil.
func requireClientError(t *testing.T, err error) bool {
	t.Helper()
	var refused *callError
	if err != nil && (!errors.As(err, &refused) || refused.status < http.StatusBadRequest || refused.status >= http.StatusInternalServerError) {
		t.Fatalf("refused with %v, want a 4xx call error", err)
	}
	return err == nil
}

// FuzzEvents passes arbitrary bytes as a back end's stream. Splitting it into events must lose no bytes, and
// neither trimming nor naming a replica may panic.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"text\":\"a b \",\"token_offset\":3,\"token_count\":2,\"finish_reason\":null}]}\n\n"), uint64(1))
	f.Add([]byte("data: [DONE]\r\n\r\ndata: {\"error\":{}}\n\n"), uint64(0))
	f.Fuzz(func(t *testing.T, stream []byte, skip uint64) {
		total, rest := 0, stream
		for {
			event, following, ok := nextEvent(rest)
			if !ok {
				break
			}
			total += len(event)
			facts := parseChunk(event)
			if facts.hasTokenFields {
				trimTokens(nil, event, facts, skip%(facts.count+1))
			}
			appendWithReplica(nil, event, "replica-1")
			rest = following
		}
		if total+len(rest) != len(stream) {
			t.Fatalf("%d bytes were split into parts of %d bytes in total", len(stream), total+len(rest))
		}
	})
}
