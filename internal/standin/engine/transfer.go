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
	ID        string `json:"id"`
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"` // of the context it holds, prompt and answer
	Answer    int    `json:"answer"` // of the answer generated so far
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

// handleExport stops a running stream and answers with its KV cache after the transfer's cost.
func (s *Server) handleExport(ctx *fasthttp.RequestCtx) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if !endpoint.DecodeJSON(ctx, &body) {
		return
	}
	s.mutex.Lock()
	found := s.streams[body.RequestID]
	running := found != nil && s.byHandle[found.handle] == found
	s.mutex.Unlock()
	if !running {
		endpoint.Refuse(ctx, fasthttp.StatusNotFound, verdict.DidNotRun, "unknown_stream", "no such request is running", 0)
		return
	}
	s.cancel(found)
	entry := found.execution()
	context := len(entry.Prompt)/averageWordBytes + entry.Tokens
	time.Sleep(s.realTime(s.config.Parameters.TransferTime(context)))
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, KVCache{
		ID: s.config.Name + "-" + strconv.FormatUint(found.handle, 10), RequestID: body.RequestID, Tokens: context, Answer: entry.Tokens,
	})
}

// averageWordBytes estimates a prompt's tokens from its bytes.
const averageWordBytes = 6

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
	time.Sleep(s.realTime(s.config.Parameters.TransferTime(cache.Tokens)))
	s.mutex.Lock()
	s.imports.add(cache)
	s.mutex.Unlock()
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, cache)
}
