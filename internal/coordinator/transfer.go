package coordinator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
)

// Engine endpoints that move KV caches.
const (
	exportPath = "/v1/kv/export"
	importPath = "/v1/kv/import"
)

// kvCache identifies a KV cache and the replica that has imported it. A continuation there needs no prefill.
type kvCache struct {
	id      string
	replica string
}

// exportBody requests the KV cache of a running request, which ends the request.
type exportBody struct {
	RequestID string `json:"request_id"`
}

// cacheBody is the part of an exported cache that the coordinator reads. The rest is opaque to it.
type cacheBody struct {
	ID string `json:"id"`
}

// transfer ends a run's request and moves its KV cache to another replica in the background. If any part of it fails,
// the run still ends and resumes from its tokens, which costs a prefill. The run's goroutine waits for the transfer.
// The caller holds the mutex.
func (s *Server) transfer(r *run, view *table.View, stop context.CancelCauseFunc) {
	from, to := r.pool.replicas[r.replica], s.leastLoaded(r.pool, view)
	if from == nil || to == "" || r.requestID == "" {
		stop(errMoved)
		return
	}
	target := r.pool.replicas[to]
	target.report.Running++ // counts the transferred request until the next load report includes it
	done, requestID, fromAddress, toAddress := make(chan struct{}), r.requestID, from.address, target.address
	r.transferDone = done
	s.start(func() {
		defer close(done)
		defer stop(errMoved)
		id, err := s.moveCache(r.context, requestID, fromAddress, toAddress)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if err != nil {
			s.config.Log.Debugf("could not move the KV cache of sample %s from %s to %s: %v", r.id, r.replica, to, err)
			return
		}
		r.partial.cache = &kvCache{id: id, replica: to}
		s.stats.Transferred++
	})
}

// moveCache exports a request's KV cache from one engine and imports it into another. It returns the cache's id.
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

// leastLoaded returns the name of the serving replica of the pool with the fewest requests, leaving replicas excluded.
// It is empty if there is none. The caller holds the mutex.
func (s *Server) leastLoaded(p *pool, view *table.View) string {
	best := ""
	for name, replica := range p.replicas {
		if !replica.isServing(s.now()) || s.isReplicaLeaving(p, view, name) {
			continue
		}
		if best == "" || isLessLoaded(name, replica, best, p.replicas[best]) {
			best = name
		}
	}
	return best
}

func isLessLoaded(name string, replica *replicaState, otherName string, other *replicaState) bool {
	load, otherLoad := replica.report.Running+replica.report.Waiting, other.report.Running+other.report.Waiting
	return load < otherLoad || (load == otherLoad && name < otherName)
}

// awaitTransfer waits until a transfer of the run's KV cache has ended, if there is one. The wait is bounded because
// the transfer's calls have timeouts.
func (s *Server) awaitTransfer(r *run) {
	s.mutex.Lock()
	done := r.transferDone
	s.mutex.Unlock()
	if done != nil {
		<-done
	}
}
