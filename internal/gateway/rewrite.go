package gateway

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/routing"
	"github.com/tamarindring/tamarindring/internal/table"
)

// promptBlocks returns the chained hashes of the prompt's complete blocks. A prompt shorter than a block has none.
func promptBlocks(prompt, messages json.RawMessage) []uint64 {
	text := []byte(prompt)
	if len(text) == 0 {
		text = messages
	}
	count := min(len(text)/bytesPerBlock, routing.MaxBlocks)
	if count == 0 {
		return nil
	}
	blocks := make([]uint64, count)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.Write(text[i*bytesPerBlock : (i+1)*bytesPerBlock])
		blocks[i] = digest.Sum64()
	}
	return blocks
}

// buildBody returns the buffered part of the request body as it is sent to a back end.
func (c *call) buildBody(streamID string, priority int) ([]byte, error) {
	if c.service != table.Engine {
		return c.body, nil
	}
	if c.isBuffered() && (len(c.fields.Priority) > 0 || c.fields.RequestID != "") {
		return c.rewriteBody(streamID, priority, nil, 0)
	}
	return insertFields(c.body, streamID, priority)
}

// insertFields inserts the gateway's fields at the beginning of a JSON object.
func insertFields(body []byte, streamID string, priority int) ([]byte, error) {
	start := bytes.IndexByte(body, '{')
	if start < 0 {
		return nil, trace.BadParameter("request body is not a JSON object")
	}
	out := make([]byte, 0, len(body)+len(streamID)+48)
	out = append(out, body[:start+1]...)
	out = append(out, `"request_id":`...)
	out = strconv.AppendQuote(out, streamID)
	out = append(out, `,"priority":`...)
	out = strconv.AppendInt(out, int64(priority), 10)
	out = append(out, ',')
	return append(out, body[start+1:]...), nil
}

// rewriteBody returns the body with the gateway's fields replaced. generated is JSON-escaped text that is appended
// to the prompt, and tokens is the length of the whole continuation.
func (c *call) rewriteBody(streamID string, priority int, generated []byte, tokens uint64) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(c.body, &fields); err != nil {
		return nil, trace.Wrap(err)
	}
	fields["request_id"] = strconv.AppendQuote(nil, streamID)
	fields["priority"] = strconv.AppendInt(nil, int64(priority), 10)
	if len(generated) > 0 {
		fields["prefix_tokens"] = strconv.AppendUint(nil, tokens, 10)
		var err error
		if c.chat {
			fields["messages"], err = continueMessages(fields["messages"], generated, c.fields.PrefixTokens > 0)
		} else {
			fields["prompt"], err = continuePrompt(fields["prompt"], generated)
		}
		if err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// continuePrompt appends escaped text to a prompt, which is a string or a list with one string.
func continuePrompt(prompt json.RawMessage, generated []byte) (json.RawMessage, error) {
	text := bytes.TrimSpace(prompt)
	if len(text) > 0 && text[0] == '[' {
		var list []json.RawMessage
		if err := json.Unmarshal(text, &list); err != nil || len(list) != 1 {
			return nil, trace.BadParameter("prompt list cannot be continued: want exactly one string")
		}
		text = list[0]
	}
	if len(text) < 2 || text[0] != '"' {
		return nil, trace.BadParameter("prompt cannot be continued: want a JSON string")
	}
	continued := append([]byte(nil), text[:len(text)-1]...)
	continued = append(continued, generated...)
	return append(continued, '"'), nil
}

// continueMessages appends escaped text to a conversation. If the caller's last message already is a continuation,
// the text is appended to it. Otherwise it becomes a new assistant message.
func continueMessages(messages json.RawMessage, generated []byte, hasContinuation bool) (json.RawMessage, error) {
	var list []map[string]json.RawMessage
	if err := json.Unmarshal(messages, &list); err != nil || len(list) == 0 {
		return nil, trace.BadParameter("messages cannot be continued: want a non-empty list of objects")
	}
	if hasContinuation {
		last := list[len(list)-1]
		continued, err := continuePrompt(last["content"], generated)
		if err != nil {
			return nil, err
		}
		last["content"] = continued
		return json.Marshal(list)
	}
	content := append([]byte{'"'}, generated...)
	list = append(list, map[string]json.RawMessage{"role": json.RawMessage(`"assistant"`), "content": append(content, '"')})
	return json.Marshal(list)
}
