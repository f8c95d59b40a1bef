package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/table"
)

// FuzzCall takes any headers and body as a completion call: it is refused with a client error, or the body
// for the back end is JSON that still names the same pool.
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
			c.paced = &pacedBody{}
			c.rest = c.paced
		}
		if !clientErrorOnly(t, c.readHeaders(ctx)) || !clientErrorOnly(t, c.readCompletion()) || !clientErrorOnly(t, c.readRepeatable(ctx)) {
			return
		}
		if c.timeout < 0 || c.work() < 0 || len(c.bodyHash()) == 0 || c.pool == "" {
			t.Fatalf("a call that cannot be served was taken: %+v", c)
		}
		outgoing, err := c.outgoing("stream-1", 7)
		if err != nil {
			t.Fatalf("no body for the back end: %v", err)
		}
		if cut {
			return
		}
		var sent struct {
			Model     string `json:"model"`
			RequestID string `json:"request_id"`
		}
		if err := json.Unmarshal(outgoing, &sent); err != nil || sent.Model != c.pool || sent.RequestID != "stream-1" {
			t.Fatalf("%q became %q: %+v, %v", body, outgoing, sent, err)
		}
	})
}

func clientErrorOnly(t *testing.T, err error) bool {
	t.Helper()
	var refused *badCall
	if err != nil && (!errors.As(err, &refused) || refused.status < http.StatusBadRequest || refused.status >= http.StatusInternalServerError) {
		t.Fatalf("refused with %v", err)
	}
	return err == nil
}

// FuzzEvents takes any bytes as a back end's stream: events are cut without loss, and trimming never panics
// or makes an event longer.
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
			facts := inspect(event)
			if facts.measured {
				trim(nil, event, facts, skip%(facts.count+1))
			}
			appendWithReplica(nil, event, "replica-1")
			rest = following
		}
		if total+len(rest) != len(stream) {
			t.Fatalf("%d bytes became %d", len(stream), total+len(rest))
		}
	})
}
