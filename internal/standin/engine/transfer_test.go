package engine

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine/text"
)

// TestExportedRequestContinuesElsewhereWithoutPrefill guards against an exported request that loses tokens, or that the
// importing engine prefills again.
func TestExportedRequestContinuesElsewhereWithoutPrefill(t *testing.T) {
	slow := func(config *Config) { config.TimeScale = 5 }
	from, to := startServer(t, slow), startServer(t, func(config *Config) { config.Name, config.TimeScale = "engine-2", 5 })
	prompt := strings.Repeat("word ", 400) + "[tokens=200]"
	response := post(t, from, "/v1/completions", map[string]any{"prompt": prompt, "stream": true, "request_id": "x"})
	for {
		if generated, _, _ := from.progress("x"); generated > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	var cache KVCache
	if err := json.NewDecoder(post(t, from, "/v1/kv/export", exportOrder{RequestID: "x"}).Body).Decode(&cache); err != nil {
		t.Fatal(err)
	}
	first := readStream(t, response.Body, 0)
	if first.done || first.failure != "exported" || first.next != cache.Answer || cache.Tokens < 400 {
		t.Fatalf("read %d tokens, exported %+v, want an error event exported after the exported tokens", first.next, cache)
	}
	post(t, to, "/v1/kv/import", cache)
	second := readStream(t, post(t, to, "/v1/completions", map[string]any{
		"prompt": prompt + first.content, "prefix_tokens": first.next, "stream": true, "kv_import": cache.ID,
	}).Body, first.next)
	if first.content+second.content != text.ExpectedText(prompt, 0) || second.checksum != text.Checksum(prompt, first.content+second.content) {
		t.Errorf("continued with %+v, want the rest of the answer", second)
	}
	to.mutex.Lock()
	defer to.mutex.Unlock()
	if prefilled := to.emulated.Load(to.elapsed()).Prefilled; prefilled > 2 {
		t.Errorf("the importing engine prefilled %d tokens, want at most 2", prefilled)
	}
}

// progress returns the number of tokens of a stream and its outcome, or false if the request is unknown.
func (s *Server) progress(requestID string) (int, Outcome, bool) {
	s.mutex.Lock()
	found := s.streams[requestID]
	s.mutex.Unlock()
	if found == nil {
		return 0, "", false
	}
	entry := found.execution()
	return entry.Tokens, entry.Outcome, true
}

// TestCacheEventsComeLateAndWithGaps checks that the configured lag and loss apply to cache events.
func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	server := startServer(t, func(config *Config) {
		config.CacheEventLoss, config.CacheEventLag, config.Seed = 0.5, time.Hour, 4
	})
	for number := range 4 {
		prompt := strings.Repeat("word"+itoa(number)+" ", 200) + "[tokens=1]"
		post(t, server, "/v1/completions", map[string]any{"prompt": prompt})
	}
	server.mutex.Lock()
	server.cache.collect(time.Now(), server.emulated)
	server.mutex.Unlock()
	if early := server.cache.after(0, time.Now()); len(early) != 0 {
		t.Errorf("%d events served before their lag, want none", len(early))
	}
	late := server.cache.after(0, time.Now().Add(2*time.Hour))
	last := uint64(0)
	for _, event := range late {
		if event.Sequence <= last || event.Kind != "stored" {
			t.Fatalf("event %+v after sequence number %d, want a higher one and kind stored", event, last)
		}
		last = event.Sequence
	}
	if len(late) == 0 || uint64(len(late)) >= last {
		t.Errorf("%d events up to sequence number %d, want some but fewer than that", len(late), last)
	}
	if rest := server.cache.after(last, time.Now().Add(2*time.Hour)); len(rest) != 0 {
		t.Errorf("%d events after the last, want none", len(rest))
	}
}
