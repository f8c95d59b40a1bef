package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

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
)

// pollLoads asks every back end for its load, again and again. A back end that does not answer keeps its
// last report, which loses weight as it ages; after a few times it counts as silent.
func (s *Server) pollLoads(ctx context.Context) error {
	client := &fasthttp.Client{MaxResponseBodySize: maxLoadBytes, ReadTimeout: loadTimeout, WriteTimeout: loadTimeout,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(s.config.LoadInterval)
	defer ticker.Stop()
	for {
		s.pollAll(ctx, client)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Server) pollAll(ctx context.Context, client *fasthttp.Client) {
	group := errgroup.Group{}
	group.SetLimit(maxConcurrentLoadPolls)
	for _, p := range s.pools.Load().byName {
		for name, address := range p.backends() {
			if ctx.Err() != nil {
				break
			}
			group.Go(func() error {
				s.pollOne(client, p, name, address)
				return nil
			})
		}
	}
	_ = group.Wait()
}

func (s *Server) pollOne(client *fasthttp.Client, p *pool, name, address string) {
	status, body, err := client.GetTimeout(nil, "http://"+address+"/v1/load", loadTimeout)
	if err != nil {
		p.unanswered(s.now(), name)
		return
	}
	if status != fasthttp.StatusOK {
		return
	}
	var report loadReport
	if json.Unmarshal(body, &report) != nil {
		return
	}
	p.report(s.now(), name, routing.LoadReport{Requests: float64(report.Running + report.Waiting), Leaving: report.Leaving})
}

// cancelStream tells an engine that a stream is not wanted any more.
func (s *Server) cancelStream(address, streamID string) {
	select {
	case s.cancels <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.cancels }()
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(request)
		defer fasthttp.ReleaseResponse(response)
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetRequestURI("http://" + address + "/v1/streams/" + streamID + "/cancel")
		_ = fasthttp.DoTimeout(request, response, loadTimeout)
	}()
}
