package coordinator

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"
)

const (
	newsPath    = "/v1/coordinators/pools/"
	newsTimeout = time.Second
	// newsInterval is the time between two questions to a pool's collector, in load intervals.
	newsInterval = 4
	// newsSilence is how long a collector may be silent before the others poll its replicas themselves.
	newsSilence = 5 * time.Second
)

// newsBody is what the collector of a pool's load reports, the owner of its weight wave, tells the other
// coordinators.
type newsBody struct {
	Available uint64   `json:"available"`         // newest version that the replicas serve
	Reporting bool     `json:"reporting"`         // any replica says what it serves
	Leaving   []string `json:"leaving,omitempty"` // replicas that say that they leave, sorted
}

// collectorNews is what a coordinator has heard from a pool's collector. Guarded by the server's mutex.
type collectorNews struct {
	newsBody
	collector string
	heard     time.Duration // of the last answer, or since this one is the collector
	asked     time.Duration
	asking    bool
}

// follow turns to a collector. What the former one said stays until this one answers.
func (n *collectorNews) follow(now time.Duration, collector string) {
	if n.collector != collector {
		n.collector, n.heard, n.asked = collector, now, 0
	}
}

// silent tells whether the collector has not answered for too long.
func (n *collectorNews) silent(now time.Duration) bool { return now >= n.heard+newsSilence }

// followCollector asks the coordinator that collects a pool's load reports for its news. It is false where that
// is this coordinator itself, or nobody, or one that is silent. The caller holds the mutex.
func (s *Server) followCollector(ctx context.Context, p *pool, now time.Duration) bool {
	owner := s.ownerOf(poolResource(p.name))
	if owner.name == "" || owner.name == s.config.Name {
		p.news = collectorNews{}
		return false
	}
	p.news.follow(now, owner.name)
	if !p.news.asking && (p.news.asked == 0 || now >= p.news.asked+newsInterval*s.config.LoadInterval) {
		p.news.asking, p.news.asked = true, now
		s.start(func() { s.askCollector(ctx, p, owner) })
	}
	if p.news.silent(now) {
		p.news.newsBody = newsBody{}
		return false
	}
	clear(p.replicas) // reports of an earlier time
	return true
}

// askCollector takes over what a pool's collector tells.
func (s *Server) askCollector(ctx context.Context, p *pool, owner candidate) {
	var told newsBody
	err := s.callNode(ctx, http.MethodGet, owner.address, newsPath+url.PathEscape(p.name), nil, newsTimeout, &told)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p.news.asking = false
	if err != nil || p.news.collector != owner.name {
		return
	}
	p.news.heard, p.news.newsBody = s.now(), told
	if told.Available > p.available {
		p.available = told.Available
		s.wake()
	}
}

// handleNews serves GET /v1/coordinators/pools/{pool}: only the collector answers, and only from reports that it
// has collected under a lease.
func (s *Server) handleNews(writer http.ResponseWriter, request *http.Request) {
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
	told := p.tell()
	s.mutex.Unlock()
	writeJSON(writer, http.StatusOK, told)
}

// tell puts a pool's news together. The caller holds the mutex.
func (p *pool) tell() newsBody {
	told := newsBody{Available: p.available, Reporting: p.reporting()}
	for name, replica := range p.replicas {
		if replica.known && replica.report.Leaving {
			told.Leaving = append(told.Leaving, name)
		}
	}
	slices.Sort(told.Leaving)
	return told
}
