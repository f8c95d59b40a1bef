package coordinator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
)

// The engines' calls that move KV caches.
const (
	exportPath = "/v1/kv/export"
	importPath = "/v1/kv/import"
)

// kvCache is an exported KV cache at a replica that has imported it: a continuation there needs no prefill.
type kvCache struct {
	id      string
	replica string
}

// exportBody asks an engine for a running request's KV cache, which ends the request.
type exportBody struct {
	RequestID string `json:"request_id"`
}

// cacheBody is what the coordinator reads of an exported cache; the rest is the engines' own.
type cacheBody struct {
	ID string `json:"id"`
}

// transfer takes a run off its replica with its KV cache. Whatever fails, the run ends and goes on from its tokens,
// which costs a prefill. The run's routine waits for it. The caller holds the mutex.
func (s *Server) transfer(one *run, view *table.View, stop context.CancelCauseFunc) {
	from, to := one.pool.replicas[one.replica], s.roomiest(one.pool, view)
	if from == nil || to == "" || one.requestID == "" {
		stop(errMoved)
		return
	}
	target := one.pool.replicas[to]
	target.report.Running++ // until the next report says so
	moved, requestID, fromAddress, toAddress := make(chan struct{}), one.requestID, from.address, target.address
	one.moved = moved
	s.start(func() {
		defer close(moved)
		defer stop(errMoved)
		id, err := s.moveCache(one.context, requestID, fromAddress, toAddress)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if err != nil {
			s.config.Log.Debugf("the KV cache of sample %s could not be moved from %s to %s: %v", one.id, one.replica, to, err)
			return
		}
		one.partial.cache = &kvCache{id: id, replica: to}
		s.stats.Transferred++
	})
}

// moveCache exports a request's KV cache at one engine and imports it at another.
func (s *Server) moveCache(ctx context.Context, requestID, from, to string) (string, error) {
	order, err := json.Marshal(exportBody{RequestID: requestID})
	if err != nil {
		return "", trace.Wrap(err)
	}
	var exported json.RawMessage
	if err := s.call(ctx, http.MethodPost, from, exportPath, order, s.config.LoadTimeout, &exported); err != nil {
		return "", err
	}
	var cache cacheBody
	if err := json.Unmarshal(exported, &cache); err != nil {
		return "", trace.Wrap(err)
	}
	return cache.ID, s.call(ctx, http.MethodPost, to, importPath, exported, s.config.LoadTimeout, &cache)
}

// roomiest returns the pool's replica with the fewest requests among those that stay; empty when there is none. The
// caller holds the mutex.
func (s *Server) roomiest(p *pool, view *table.View) string {
	best := ""
	for name, replica := range p.replicas {
		if !replica.serves(s.now()) || s.leavingReplica(p, view, name) {
			continue
		}
		if best == "" || lessLoaded(name, replica, best, p.replicas[best]) {
			best = name
		}
	}
	return best
}

func lessLoaded(name string, replica *replicaState, otherName string, other *replicaState) bool {
	load, otherLoad := replica.report.Running+replica.report.Waiting, other.report.Running+other.report.Waiting
	return load < otherLoad || (load == otherLoad && name < otherName)
}

// awaitMove waits for a transfer of the run's KV cache that is under way; its calls are bounded in time.
func (s *Server) awaitMove(one *run) {
	s.mutex.Lock()
	moved := one.moved
	s.mutex.Unlock()
	if moved != nil {
		<-moved
	}
}
