package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/routing"
)

// loadReport is what the gateway reads of a back end's GET /v1/load; engines and applications state it alike.
type loadReport struct {
	Leaving bool `json:"leaving"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
}

const (
	maxLoadBytes = 1 << 20
	loadTimeout  = time.Second
	// loadPath asks for the brief report. A back end that knows no brief one gives all of it.
	loadPath = "/v1/load?brief=true"
	// loadHeaderBytes is what one poll costs beside the report's body, about.
	loadHeaderBytes = 180
	// loadSizeWeight is the inverse of one report's weight in the mean size.
	loadSizeWeight = 16
)

// loadSource is one back end of one pool that is polled.
type loadSource struct {
	pool    *pool
	name    string
	address string
}

// loadPollers asks the back ends of this gateway's subsets for their load, each at its own pace: one that
// hangs delays no other. A back end that does not answer keeps its last report, which loses weight as it
// ages; after a few times it counts as silent.
type loadPollers struct {
	server   *Server
	client   *fasthttp.Client
	interval atomic.Int64 // between two polls of one back end, in nanoseconds
	size     atomic.Int64 // mean of the reports' bodies, in bytes; concurrent updates may be lost
	open     map[loadSource]context.CancelFunc
	running  sync.WaitGroup
}

// pollLoads polls until ctx ends.
func (s *Server) pollLoads(ctx context.Context) error {
	pollers := &loadPollers{server: s, open: map[loadSource]context.CancelFunc{},
		client: &fasthttp.Client{MaxResponseBodySize: maxLoadBytes, ReadTimeout: loadTimeout, WriteTimeout: loadTimeout,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}}
	defer pollers.client.CloseIdleConnections()
	defer pollers.running.Wait()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		pollers.follow(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// follow starts and ends pollers so that the back ends in use are polled, and no others.
func (l *loadPollers) follow(ctx context.Context) {
	wanted := map[loadSource]bool{}
	for _, p := range l.server.pools.Load().byName {
		for name, address := range p.polled() {
			wanted[loadSource{pool: p, name: name, address: address}] = true
		}
	}
	l.interval.Store(int64(loadInterval(l.server.config.LoadInterval, len(wanted), int(l.size.Load()))))
	for source, stop := range l.open {
		if !wanted[source] {
			stop()
			delete(l.open, source)
		}
	}
	for source := range wanted {
		if l.open[source] != nil {
			continue
		}
		pollContext, stop := context.WithCancel(ctx)
		l.open[source] = stop
		l.running.Go(func() { l.poll(pollContext, source) })
	}
}

// loadInterval is the time between two polls of each of count back ends whose reports have size bytes.
func loadInterval(least time.Duration, count, size int) time.Duration {
	paced := max(time.Duration(count)*time.Second/loadPollsPerSecond, time.Duration(count*(size+loadHeaderBytes))*time.Second/loadBytesPerSecond)
	return max(least, min(paced, maximumLoadInterval))
}

// poll polls one back end until ctx ends. The first poll comes at once; the next are spread.
func (l *loadPollers) poll(ctx context.Context, source loadSource) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for spread := true; ; spread = false {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		began := time.Now()
		l.ask(source)
		interval := time.Duration(l.interval.Load())
		if spread {
			interval = rand.N(interval) + 1
		}
		timer.Reset(max(interval-time.Since(began), 0))
	}
}

// ask polls one back end once.
func (l *loadPollers) ask(source loadSource) {
	status, body, err := l.client.GetTimeout(nil, "http://"+source.address+loadPath, loadTimeout)
	if err != nil {
		source.pool.unanswered(l.server.now(), source.name)
		return
	}
	var report loadReport
	if status != fasthttp.StatusOK || json.Unmarshal(body, &report) != nil {
		source.pool.asked(source.name)
		return
	}
	mean := l.size.Load()
	l.size.Store(mean + (int64(len(body))-mean)/loadSizeWeight)
	source.pool.report(l.server.now(), source.name, routing.LoadReport{Requests: float64(report.Running + report.Waiting), Leaving: report.Leaving})
}
