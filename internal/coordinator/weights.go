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

// waveState is the weight wave of a pool that this coordinator owns. Guarded by the server's mutex.
type waveState struct {
	pool          string
	fence         uint64
	planner       *wave.Planner
	needsNewFence bool // a replica has seen a higher token
	loggedWaves   uint64
}

const (
	storePath         = "/v1/versions/"
	storeTimeout      = 2 * time.Second
	defaultRetryAfter = time.Second // when the store does not send Retry-After
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
	if redirect := s.redirectToOwner(poolResource(body.Pool), request); redirect != nil {
		return redirect
	}
	if refused := s.checkStore(request.Context(), &body); refused != nil {
		return refused
	}
	state, err := s.ensureWave(request.Context(), body.Pool)
	if err != nil {
		return refusalFromError(err)
	}
	if refused := s.release(request.Context(), state, name, &body); refused != nil {
		return refused
	}
	s.driveWaves()
	writeJSON(writer, http.StatusOK, versionReply{Version: body.Version, VersionNumber: body.VersionNumber})
	return nil
}

// versionReply confirms an announced version. The weight store describes a version in the same form.
type versionReply struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
}

// checkStore rejects a version that the weight store does not have or knows under another number. If the store does not
// answer or throttles, the version is accepted and the engines find out.
func (s *Server) checkStore(ctx context.Context, body *versionBody) *refusal {
	if s.config.WeightStore == "" {
		return nil
	}
	var stored versionReply
	err := s.call(ctx, http.MethodGet, s.config.WeightStore, storePath+url.PathEscape(body.Version), nil, storeTimeout, &stored)
	var answered *statusError
	switch {
	case errors.As(err, &answered) && answered.status == http.StatusNotFound:
		return unavailable(CodeNotInStore, "the weight store has no version "+body.Version+" yet")
	case err == nil && stored.VersionNumber != body.VersionNumber:
		return conflict("the weight store knows the version under another number")
	}
	return nil
}

// ensureWave returns the pool's weight wave and makes this coordinator its owner first if necessary.
func (s *Server) ensureWave(ctx context.Context, name string) (*waveState, error) {
	s.mutex.Lock()
	known := s.pool(name).wave
	s.mutex.Unlock()
	if known != nil {
		return known, nil
	}
	results := s.adoptions.DoChan(poolResource(name), func() (any, error) { return s.takeOverWave(s.context, name) })
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

// takeOverWave acquires a pool's fencing token before it reads the pool's versions, so that a previous owner can no
// longer release one in between.
func (s *Server) takeOverWave(ctx context.Context, name string) (*waveState, error) {
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
		s.config.Log.Infof("took over the weight wave of pool %s: version %s, fencing token %d", name, newest.Name, token)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.pool(name)
	if p.wave == nil {
		p.wave = made
	}
	return p.wave, nil
}

// newestVersion reads a pool's newest released version. The name is empty if there is none.
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

// release records the version durably and makes it the pool's target. Repeating it has no effect.
func (s *Server) release(ctx context.Context, state *waveState, trainer string, body *versionBody) *refusal {
	s.mutex.Lock()
	fence := state.fence
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.config.StoreTimeout)
	defer cancel()
	result, err := s.client.Execute(ctx, controlclient.ControlGroup, &wire.Command{Kind: &wire.Command_VersionRelease{
		VersionRelease: &wire.VersionRelease{Pool: body.Pool, Version: body.Version, VersionNumber: body.VersionNumber,
			Trainer: trainer, Fence: fence}}})
	if err != nil {
		return refusalFromError(err)
	}
	answer := result.GetVersion()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case answer == nil:
		return badRequest(result.GetInvalid())
	case answer.GetReason() == release.ReasonStaleFence:
		s.dropWave(s.pool(body.Pool), state)
		return unavailable(CodeUnavailable, "another coordinator takes this pool over; send the same call again")
	case !answer.GetAccepted():
		return conflict(answer.GetReason())
	}
	if state.planner.Release(s.now(), wave.Version{Name: body.Version, Number: body.VersionNumber}) {
		s.stats.VersionsReleased++
		s.config.Log.Infof("trainer %s released version %s (%d) for pool %s", trainer, body.Version, body.VersionNumber, body.Pool)
	}
	return nil
}

// dropWave gives up a wave and adds its counters to the server's. The caller holds the mutex.
func (s *Server) dropWave(p *pool, state *waveState) {
	if p.wave == state {
		s.stats.add(state.planner.Status().Counters)
		p.wave = nil
	}
}

// driveWaves sends the weight orders that are due in all pools, and drops the waves that this coordinator should no
// longer own.
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

// add adds the counters of a wave.
func (s *Stats) add(counters wave.Counters) {
	s.Waves += counters.Waves
	s.Swaps += counters.Swaps
	s.SwapFailures += counters.Failures
	s.Repairs += counters.Repairs
	s.Throttled += counters.Throttled
}

// driveWave sends a pool's weight orders that are due. The caller holds the mutex.
func (s *Server) driveWave(p *pool, state *waveState) {
	if _, ok := s.session.Admit(); !ok {
		return
	}
	s.syncReplicas(p, s.session.View())
	state.planner.SetReplicas(slices.Collect(maps.Keys(p.replicas)))
	if state.needsNewFence {
		s.start(func() { s.renewWaveFence(state) })
		state.needsNewFence = false
	}
	for _, order := range state.planner.Next(s.now()) {
		address := p.replicas[order.Replica].address
		s.start(func() { s.sendOrder(p, state, address, order) })
	}
	s.logWave(state)
}

// logWave logs once per wave that all replicas serve the target version.
func (s *Server) logWave(state *waveState) {
	status := state.planner.Status()
	if status.Counters.Waves > state.loggedWaves {
		state.loggedWaves = status.Counters.Waves
		s.config.Log.Infof("all %d replicas of pool %s serve version %s after %s", status.Replicas, state.pool,
			status.Target.Name, status.LastDuration.Round(time.Millisecond))
	}
}

// renewWaveFence acquires a new fencing token, because a replica has seen a higher one.
func (s *Server) renewWaveFence(state *waveState) {
	token, err := s.acquire(s.context, poolResource(state.pool))
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state.fence = max(state.fence, token)
}

// weightsOrder is the body of POST /v1/admin/weights.
type weightsOrder struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
	Fence         uint64 `json:"fence"`
	Stage         bool   `json:"stage"`
}

// weightsAnswer is the part of a replica's answer to a weight order that the coordinator reads.
type weightsAnswer struct {
	VersionNumber uint64 `json:"version_number"`
}

// sendOrder sends one weight order to a replica and passes its answer to the planner.
func (s *Server) sendOrder(p *pool, state *waveState, address string, order wave.Order) {
	s.mutex.Lock()
	fence := state.fence
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
	var refused *statusError
	stale := false
	if errors.As(err, &refused) {
		if refused.status == http.StatusTooManyRequests {
			answer = wave.Answer{Outcome: wave.Throttled, RetryAfter: max(refused.retryAfter, defaultRetryAfter)}
		}
		stale = refused.status == http.StatusConflict && strings.Contains(refused.body, `"stale_fence"`)
	}
	if answer.Outcome == wave.Failed && s.context.Err() == nil {
		s.config.Log.Warnf("weight order to %s version %s at replica %s failed: %v", order.Kind, order.Version.Name, order.Replica, err)
	}
	s.mutex.Lock()
	state.needsNewFence = state.needsNewFence || stale
	state.planner.Answered(s.now(), order.ID, answer)
	if p.wave == state {
		s.applyOrderAnswer(p, order, answer)
	}
	s.mutex.Unlock()
	s.driveWaves()
}
