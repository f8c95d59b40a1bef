package coordinator

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"
)

const (
	poolStatusPath    = "/v1/coordinators/pools/"
	poolStatusTimeout = time.Second
	// poolStatusIntervalFactor is the time between two requests to a pool's collector, in load intervals.
	poolStatusIntervalFactor = 4
	// collectorTimeout is how long a collector may be silent before other coordinators poll its replicas
	// themselves.
	collectorTimeout = 5 * time.Second
)

// poolStatusBody is a pool's status as reported to the other coordinators by its collector. The collector polls the
// load reports of the pool's replicas and is the owner of the pool's weight wave.
type poolStatusBody struct {
	Available uint64   `json:"available"`         // newest version that the replicas serve
	Reporting bool     `json:"reporting"`         // the weight version of at least one replica is known
	Leaving   []string `json:"leaving,omitempty"` // replicas that report that they are leaving, sorted
}

// collectorStatus is the last known status from a pool's collector. Guarded by the server's mutex.
type collectorStatus struct {
	poolStatusBody
	collector string
	heardAt   time.Duration // time of the last answer, or of the change to this collector
	polledAt  time.Duration
	polling   bool
}

// setCollector changes the collector. The status from the previous one remains until the new one answers.
func (c *collectorStatus) setCollector(now time.Duration, collector string) {
	if c.collector != collector {
		c.collector, c.heardAt, c.polledAt = collector, now, 0
	}
}

// isSilent reports whether the collector has not answered for collectorTimeout.
func (c *collectorStatus) isSilent(now time.Duration) bool { return now >= c.heardAt+collectorTimeout }

// followCollector requests the pool's status from its collector if it is due. It returns false if this coordinator has
// to poll the replicas itself, because it is the collector, there is none, or the collector is silent. The caller holds
// the mutex.
func (s *Server) followCollector(ctx context.Context, p *pool, now time.Duration) bool {
	owner := s.ownerOf(poolResource(p.name))
	if owner.name == "" || owner.name == s.config.Name {
		p.collectorStatus = collectorStatus{}
		return false
	}
	p.collectorStatus.setCollector(now, owner.name)
	if !p.collectorStatus.polling && (p.collectorStatus.polledAt == 0 || now >= p.collectorStatus.polledAt+poolStatusIntervalFactor*s.config.LoadInterval) {
		p.collectorStatus.polling, p.collectorStatus.polledAt = true, now
		s.start(func() { s.pollCollector(ctx, p, owner) })
	}
	if p.collectorStatus.isSilent(now) {
		p.collectorStatus.poolStatusBody = poolStatusBody{}
		return false
	}
	clear(p.replicas) // their reports are out of date
	return true
}

// pollCollector requests a pool's status from its collector and applies it.
func (s *Server) pollCollector(ctx context.Context, p *pool, owner candidate) {
	var status poolStatusBody
	err := s.callNode(ctx, http.MethodGet, owner.address, poolStatusPath+url.PathEscape(p.name), nil, poolStatusTimeout, &status)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p.collectorStatus.polling = false
	if err != nil || p.collectorStatus.collector != owner.name {
		return
	}
	p.collectorStatus.heardAt, p.collectorStatus.poolStatusBody = s.now(), status
	if status.Available > p.available {
		p.available = status.Available
		s.wake()
	}
}

// handlePoolStatus serves GET /v1/coordinators/pools/{pool}. Only the pool's collector answers, and only while it holds
// a lease.
func (s *Server) handlePoolStatus(writer http.ResponseWriter, request *http.Request) {
	if refused := s.checkCoordinator(request); refused != nil {
		refused.write(writer)
		return
	}
	name := request.PathValue("pool")
	_, leased := s.session.Admit()
	s.mutex.Lock()
	p := s.pools[name]
	if p == nil || !leased || s.leaving.Load() || !s.owns(poolResource(name)) {
		s.mutex.Unlock()
		unavailable(CodeUnavailable, "this coordinator does not collect the load reports of the pool").write(writer)
		return
	}
	status := p.buildStatus()
	s.mutex.Unlock()
	writeJSON(writer, http.StatusOK, status)
}

// buildStatus returns the pool's status from the replicas' load reports. The caller holds the mutex.
func (p *pool) buildStatus() poolStatusBody {
	status := poolStatusBody{Available: p.available, Reporting: p.hasReports()}
	for name, replica := range p.replicas {
		if replica.hasReport && replica.report.Leaving {
			status.Leaving = append(status.Leaving, name)
		}
	}
	slices.Sort(status.Leaving)
	return status
}
