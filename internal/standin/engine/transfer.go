package engine

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// importLimit bounds the imported KV caches that no request has used yet.
const importLimit = 256

// KVCache stands for the exported KV blocks of one request.
type KVCache struct {
	ID        string    `json:"id"`
	RequestID string    `json:"request_id"`
	Tokens    int       `json:"tokens"`        // of the context it holds, prompt and answer
	Answer    int       `json:"answer_tokens"` // of the whole answer so far: the prefix_tokens of its continuation
	Segments  []Segment `json:"segments"`      // of the tokens generated at the exporter
}

// importedCaches hold what was imported until a request with kv_import uses it.
type importedCaches struct {
	byID  map[string]int
	order []string
}

// add keeps a cache, dropping the oldest above the limit.
func (c *importedCaches) add(cache KVCache) {
	if c.byID == nil {
		c.byID = make(map[string]int)
	}
	if _, known := c.byID[cache.ID]; !known {
		c.order = append(c.order, cache.ID)
	}
	c.byID[cache.ID] = cache.Tokens
	if len(c.order) > importLimit {
		delete(c.byID, c.order[0])
		c.order = c.order[1:]
	}
}

// take returns how many tokens the cache holds and forgets it; 0 when it is unknown.
func (c *importedCaches) take(id string) int {
	tokens := c.byID[id]
	delete(c.byID, id)
	return tokens
}

type exportOrder struct {
	RequestID string `json:"request_id"`
}

// handleExport stops a running stream and answers with its KV cache after the transfer's cost.
func (s *Server) handleExport(ctx *fasthttp.RequestCtx) {
	var order exportOrder
	if !endpoint.DecodeJSON(ctx, &order) {
		return
	}
	exported, running := s.export(order.RequestID)
	if !running {
		endpoint.Refuse(ctx, fasthttp.StatusNotFound, verdict.DidNotRun, "unknown_stream", "no such request is running", 0)
		return
	}
	s.pause(s.config.Parameters.TransferTime(exported.Tokens))
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, exported)
}

// export ends a running stream; its reader is cut and continues at the importer.
func (s *Server) export(requestID string) (KVCache, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.streams[requestID]
	if found == nil || s.byHandle[found.handle] != found {
		return KVCache{}, false
	}
	for _, event := range s.emulated.Advance(s.elapsed()) {
		s.apply(event)
	}
	cache, err := s.emulated.Export(s.elapsed(), found.handle)
	if err != nil {
		return KVCache{}, false
	}
	s.endStream(found, OutcomeExported)
	entry := found.execution()
	return KVCache{
		ID: s.config.Name + "-" + strconv.FormatUint(found.handle, 10), RequestID: requestID, Tokens: cache.Tokens,
		Answer: entry.Tokens, Segments: entry.Segments,
	}, true
}

// pause waits for an emulated duration, or until the server stops.
func (s *Server) pause(emulated time.Duration) {
	timer := time.NewTimer(s.realTime(emulated))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closed:
	}
}

// handleImport takes a KV cache; a request that names its id in kv_import skips that much prefill.
func (s *Server) handleImport(ctx *fasthttp.RequestCtx) {
	var cache KVCache
	if !endpoint.DecodeJSON(ctx, &cache) {
		return
	}
	if cache.ID == "" || cache.Tokens < 0 {
		endpoint.Refuse(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_cache", "id and tokens are required", 0)
		return
	}
	s.pause(s.config.Parameters.TransferTime(cache.Tokens))
	s.mutex.Lock()
	s.imports.add(cache)
	s.mutex.Unlock()
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, cache)
}
