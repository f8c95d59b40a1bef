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

// promptBlocks returns the chained hashes of the prompt's whole blocks, or none for a short one.
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

// outgoing is the beginning of a request body for a back end.
func (c *call) outgoing(streamID string, priority int) ([]byte, error) {
	if c.service != table.Engine {
		return c.body, nil
	}
	if c.whole() && (len(c.fields.Priority) > 0 || c.fields.RequestID != "") {
		return c.rewritten(streamID, priority, nil, 0)
	}
	return insertFields(c.body, streamID, priority)
}

// insertFields puts the gateway's fields first into a JSON object.
func insertFields(body []byte, streamID string, priority int) ([]byte, error) {
	start := bytes.IndexByte(body, '{')
	if start < 0 {
		return nil, trace.BadParameter("the body is no JSON object")
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

// rewritten returns the body with other fields; generated is text, escaped as in JSON, that continues the
// prompt, and tokens counts the whole continuation.
func (c *call) rewritten(streamID string, priority int, generated []byte, tokens uint64) ([]byte, error) {
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

// continuePrompt appends escaped text to a prompt, which is a string or a list of one string.
func continuePrompt(prompt json.RawMessage, generated []byte) (json.RawMessage, error) {
	text := bytes.TrimSpace(prompt)
	if len(text) > 0 && text[0] == '[' {
		var list []json.RawMessage
		if err := json.Unmarshal(text, &list); err != nil || len(list) != 1 {
			return nil, trace.BadParameter("only a single prompt can be continued")
		}
		text = list[0]
	}
	if len(text) < 2 || text[0] != '"' {
		return nil, trace.BadParameter("only a text prompt can be continued")
	}
	continued := append([]byte(nil), text[:len(text)-1]...)
	continued = append(continued, generated...)
	return append(continued, '"'), nil
}

// continueMessages appends escaped text to the last message, which is the assistant's when the caller
// brought a continuation, or as a new one.
func continueMessages(messages json.RawMessage, generated []byte, brought bool) (json.RawMessage, error) {
	var list []map[string]json.RawMessage
	if err := json.Unmarshal(messages, &list); err != nil || len(list) == 0 {
		return nil, trace.BadParameter("the messages cannot be continued")
	}
	if brought {
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
