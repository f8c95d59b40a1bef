package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/release"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wave"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// waveState is a pool's weight wave at its owner. Guarded by the server's mutex.
type waveState struct {
	pool    string
	fence   uint64
	planner *wave.Planner
	refence bool // a replica knows a higher token
	told    uint64
}

const (
	storePath      = "/v1/versions/"
	storeTimeout   = 2 * time.Second
	throttledPause = time.Second // of a store that does not say how long to wait
)

// handleVersion serves POST /v1/trainers/{trainer}/versions.
func (s *Server) handleVersion(writer http.ResponseWriter, request *http.Request, name string) *refusal {
	var body versionBody
	if refused := decode(writer, request, s.config.MaxBodyBytes, &body); refused != nil {
		return refused
	}
	if body.Version == "" || body.VersionNumber == 0 {
		return badRequest("version and version_number are required")
	}
	row := s.session.View().Pool(body.Pool)
	if row == nil || row.Service != table.Engine {
		return badRequest("pool must name a model pool of the table")
	}
	if moved := s.elsewhere(poolResource(body.Pool), request); moved != nil {
		return moved
	}
	if refused := s.checkStore(request.Context(), &body); refused != nil {
		return refused
	}
	owned, err := s.ownWave(request.Context(), body.Pool)
	if err != nil {
		return unanswered(err)
	}
	if refused := s.release(request.Context(), owned, name, &body); refused != nil {
		return refused
	}
	s.driveWaves()
	writeJSON(writer, http.StatusOK, versionReply{Version: body.Version, VersionNumber: body.VersionNumber})
	return nil
}

// versionReply answers an announced version.
type versionReply struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
}

// checkStore refuses a version that the weight store definitely does not have. A store that is slow or
// throttles is left to the engines.
func (s *Server) checkStore(ctx context.Context, body *versionBody) *refusal {
	if s.config.WeightStore == "" {
		return nil
	}
	var stored versionReply
	err := s.call(ctx, http.MethodGet, s.config.WeightStore, storePath+url.PathEscape(body.Version), nil, storeTimeout, &stored)
	var answered *refusedError
	switch {
	case errors.As(err, &answered) && answered.status == http.StatusNotFound:
		return unavailable(CodeNotInStore, "the weight store has no version "+body.Version+" yet")
	case err == nil && stored.VersionNumber != body.VersionNumber:
		return conflict("the weight store knows the version under another number")
	}
	return nil
}

// ownWave returns the pool's wave, and makes this coordinator its owner first.
func (s *Server) ownWave(ctx context.Context, name string) (*waveState, error) {
	s.mutex.Lock()
	known := s.pool(name).wave
	s.mutex.Unlock()
	if known != nil {
		return known, nil
	}
	results := s.adoption.DoChan(poolResource(name), func() (any, error) { return s.takeWave(s.context, name) })
	select {
	case result := <-results:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*waveState), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// takeWave acquires a pool's fence and then reads its versions: a former owner can release none any more.
func (s *Server) takeWave(ctx context.Context, name string) (*waveState, error) {
	token, err := s.acquire(ctx, poolResource(name))
	if err != nil {
		return nil, err
	}
	newest, err := s.newestVersion(ctx, name)
	if err != nil {
		return nil, err
	}
	made := &waveState{pool: name, fence: token, planner: wave.New(s.config.Wave)}
	if newest.Name != "" {
		made.planner.Release(s.now(), newest)
		s.config.Log.Infof("took over pool %s at version %s under token %d", name, newest.Name, token)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.pool(name)
	if p.wave == nil {
		p.wave = made
	}
	return p.wave, nil
}

// newestVersion reads a pool's newest released version; its name is empty when there is none.
func (s *Server) newestVersion(ctx context.Context, pool string) (wave.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.StoreTimeout)
	defer cancel()
	view, err := s.client.Query(ctx, controlclient.ControlGroup, &wire.Query{Kind: &wire.Query_Versions{
		Versions: &wire.VersionsQuery{Pool: pool}}})
	if err != nil {
		return wave.Version{}, err
	}
	versions := view.GetVersions().GetVersions()
	if len(versions) == 0 {
		return wave.Version{}, nil
	}
	last := versions[len(versions)-1]
	return wave.Version{Name: last.GetVersion(), Number: last.GetVersionNumber()}, nil
}

// release records the version durably and makes it the pool's target. A resend changes nothing.
func (s *Server) release(ctx context.Context, owned *waveState, trainer string, body *versionBody) *refusal {
	s.mutex.Lock()
	fence := owned.fence
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.config.StoreTimeout)
	defer cancel()
	result, err := s.client.Execute(ctx, controlclient.ControlGroup, &wire.Command{Kind: &wire.Command_VersionRelease{
		VersionRelease: &wire.VersionRelease{Pool: body.Pool, Version: body.Version, VersionNumber: body.VersionNumber,
			Trainer: trainer, Fence: fence}}})
	if err != nil {
		return unanswered(err)
	}
	answer := result.GetVersion()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case answer == nil:
		return badRequest(result.GetInvalid())
	case answer.GetReason() == release.ReasonStaleFence:
		s.dropWave(s.pool(body.Pool), owned)
		return unavailable(CodeUnavailable, "another coordinator takes this pool over; send the same call again")
	case !answer.GetAccepted():
		return conflict(answer.GetReason())
	}
	if owned.planner.Release(s.now(), wave.Version{Name: body.Version, Number: body.VersionNumber}) {
		s.stats.VersionsReleased++
		s.config.Log.Infof("trainer %s released version %s (%d) for pool %s", trainer, body.Version, body.VersionNumber, body.Pool)
	}
	return nil
}

// dropWave gives a wave up and keeps its counts. The caller holds the mutex.
func (s *Server) dropWave(p *pool, owned *waveState) {
	if p.wave == owned {
		s.stats.add(owned.planner.Status().Counters)
		p.wave = nil
	}
}

// driveWaves sends the orders that are due.
func (s *Server) driveWaves() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, p := range s.pools {
		if p.wave == nil {
			continue
		}
		if !s.owns(poolResource(p.name)) || s.leaving.Load() {
			s.dropWave(p, p.wave)
			continue
		}
		s.driveWave(p, p.wave)
	}
}

// add keeps the counts of a wave that is given up.
func (s *Stats) add(counters wave.Counters) {
	s.Waves += counters.Waves
	s.Swaps += counters.Swaps
	s.SwapFailures += counters.Failures
	s.Repairs += counters.Repairs
	s.Throttled += counters.Throttled
}

// driveWave sends a pool's orders that are due. The caller holds the mutex.
func (s *Server) driveWave(p *pool, owned *waveState) {
	if _, ok := s.session.Admit(); !ok {
		return
	}
	s.followTable(p, s.session.View())
	owned.planner.SetReplicas(slices.Collect(maps.Keys(p.replicas)))
	if owned.refence {
		s.start(func() { s.raiseWaveFence(owned) })
		owned.refence = false
	}
	for _, order := range owned.planner.Next(s.now()) {
		address := p.replicas[order.Replica].address
		s.start(func() { s.sendOrder(p, owned, address, order) })
	}
	s.logWave(owned)
}

// logWave says once when a version is served everywhere.
func (s *Server) logWave(owned *waveState) {
	status := owned.planner.Status()
	if status.Counters.Waves > owned.told {
		owned.told = status.Counters.Waves
		s.config.Log.Infof("all %d replicas of pool %s serve version %s after %s", status.Replicas, owned.pool,
			status.Target.Name, status.Lasted.Round(time.Millisecond))
	}
}

// raiseWaveFence gets a new token, because a replica has seen a higher one.
func (s *Server) raiseWaveFence(owned *waveState) {
	token, err := s.acquire(s.context, poolResource(owned.pool))
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	owned.fence = max(owned.fence, token)
}

// weightsOrder is the body of POST /v1/admin/weights.
type weightsOrder struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
	Fence         uint64 `json:"fence"`
	Stage         bool   `json:"stage"`
}

// weightsAnswer says what a replica serves after an order.
type weightsAnswer struct {
	VersionNumber uint64 `json:"version_number"`
}

// sendOrder sends one order and takes its answer over.
func (s *Server) sendOrder(p *pool, owned *waveState, address string, order wave.Order) {
	s.mutex.Lock()
	fence := owned.fence
	s.mutex.Unlock()
	answer := wave.Answer{Outcome: wave.Failed}
	body, err := json.Marshal(weightsOrder{Version: order.Version.Name, VersionNumber: order.Version.Number,
		Fence: fence, Stage: order.Kind == wave.Stage})
	if err == nil {
		var served weightsAnswer
		err = s.call(s.context, http.MethodPost, address, "/v1/admin/weights", body, s.config.OrderTimeout, &served)
		if err == nil {
			answer = wave.Answer{Outcome: wave.Done, Serving: served.VersionNumber}
		}
	}
	var refused *refusedError
	stale := false
	if errors.As(err, &refused) {
		if refused.status == http.StatusTooManyRequests {
			answer = wave.Answer{Outcome: wave.Throttled, RetryAfter: max(refused.retryAfter, throttledPause)}
		}
		stale = refused.status == http.StatusConflict && strings.Contains(refused.body, `"stale_fence"`)
	}
	if answer.Outcome == wave.Failed && s.context.Err() == nil {
		s.config.Log.Warnf("order to %s version %s at %s failed: %v", order.Kind, order.Version.Name, order.Replica, err)
	}
	s.mutex.Lock()
	owned.refence = owned.refence || stale
	owned.planner.Answered(s.now(), order.ID, answer)
	if p.wave == owned {
		s.noteAnswer(p, order, answer)
	}
	s.mutex.Unlock()
	s.driveWaves()
}
