package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/answerconn"
	"github.com/tamarindring/tamarindring/internal/routing"
)

// loadReport holds the fields of a back end's GET /v1/load that the gateway uses. Engines and applications use the
// same format.
type loadReport struct {
	Leaving bool `json:"leaving"`
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
}

const (
	maxLoadBytes = 1 << 20
	loadTimeout  = time.Second
	// loadPath requests the brief report. A back end that does not support it returns the full report.
	loadPath = "/v1/load?brief=true"
	// loadHeaderBytes is the approximate traffic of one poll besides the report's body.
	loadHeaderBytes = 180
	// loadSizeWeight is the inverse of the weight of one report in the mean report size.
	loadSizeWeight = 16
)

// loadSource identifies a polled back end of a pool.
type loadSource struct {
	pool    *pool
	name    string
	address string
}

// loadPollers polls the back ends of this gateway's subsets for their load. Each back end is polled by its own
// goroutine, so that one that hangs does not delay the others. A back end that does not answer keeps its last
// report, which loses weight as it ages, and counts as silent after several unanswered polls.
type loadPollers struct {
	server          *Server
	client          *fasthttp.Client
	interval        atomic.Int64 // between two polls of one back end, in nanoseconds
	meanReportBytes atomic.Int64 // mean size of the reports' bodies; concurrent updates may be lost
	cancels         map[loadSource]context.CancelFunc
	polls           sync.WaitGroup
}

// pollLoads polls the back ends until ctx ends.
func (s *Server) pollLoads(ctx context.Context) error {
	pollers := &loadPollers{server: s, cancels: map[loadSource]context.CancelFunc{},
		client: &fasthttp.Client{Dial: answerconn.Dial(fasthttp.Dial), MaxResponseBodySize: maxLoadBytes, ReadTimeout: loadTimeout, WriteTimeout: loadTimeout,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}}
	defer pollers.client.CloseIdleConnections()
	defer pollers.polls.Wait()
	ticker := time.NewTicker(gatewayCheckInterval)
	defer ticker.Stop()
	for {
		pollers.syncPolls(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// syncPolls starts and stops poll goroutines so that exactly the back ends in use are polled.
func (l *loadPollers) syncPolls(ctx context.Context) {
	wanted := map[loadSource]bool{}
	for _, p := range l.server.pools.Load().byName {
		for name, address := range p.polledBackends() {
			wanted[loadSource{pool: p, name: name, address: address}] = true
		}
	}
	l.interval.Store(int64(loadInterval(l.server.config.LoadInterval, len(wanted), int(l.meanReportBytes.Load()))))
	for source, stop := range l.cancels {
		if !wanted[source] {
			stop()
			delete(l.cancels, source)
		}
	}
	for source := range wanted {
		if l.cancels[source] != nil {
			continue
		}
		pollContext, stop := context.WithCancel(ctx)
		l.cancels[source] = stop
		l.polls.Go(func() { l.poll(pollContext, source) })
	}
}

// loadInterval returns the time between two polls of a back end when count back ends are polled and their reports
// have size bytes.
func loadInterval(minimum time.Duration, count, size int) time.Duration {
	paced := max(time.Duration(count)*time.Second/loadPollsPerSecond, time.Duration(count*(size+loadHeaderBytes))*time.Second/loadBytesPerSecond)
	return max(minimum, min(paced, maxLoadInterval))
}

// poll polls one back end until ctx ends. The first poll is immediate. The second follows after a random part of
// the interval, which spreads the polls.
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
		l.pollOnce(source)
		interval := time.Duration(l.interval.Load())
		if spread {
			interval = rand.N(interval) + 1
		}
		timer.Reset(max(interval-time.Since(began), 0))
	}
}

// pollOnce polls one back end once.
func (l *loadPollers) pollOnce(source loadSource) {
	status, body, err := l.client.GetTimeout(nil, "http://"+source.address+loadPath, loadTimeout)
	if err != nil {
		source.pool.recordUnansweredPoll(l.server.now(), source.name)
		return
	}
	var report loadReport
	if status != fasthttp.StatusOK || json.Unmarshal(body, &report) != nil {
		source.pool.recordEmptyPoll(source.name)
		return
	}
	mean := l.meanReportBytes.Load()
	l.meanReportBytes.Store(mean + (int64(len(body))-mean)/loadSizeWeight)
	source.pool.recordLoad(l.server.now(), source.name, routing.LoadReport{Requests: float64(report.Running + report.Waiting), Leaving: report.Leaving})
}
