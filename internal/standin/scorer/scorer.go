// Package scorer is the stand-in of a scoring service. It scores samples at POST /v1/score after a service time.
package scorer

import (
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// Config holds a stand-in's settings.
type Config struct {
	// Listen is the IP:port to listen on; port 0 selects a free port. It is ignored if Listener is set.
	Listen   string
	Listener net.Listener
	// ServiceTime is the duration of one call. Default 0.
	ServiceTime time.Duration
	// PerSample is added to the duration for each sample of a call. Default 0.
	PerSample time.Duration
	// Log is required.
	Log *logrus.Entry
}

// Sample is one answer to be scored.
type Sample struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// Request is the body of POST /v1/score. It holds a list of samples, or the fields of a single one.
type Request struct {
	Samples []Sample `json:"samples"`
	Sample
}

// Answer holds the scores in the order of the samples. Score repeats the first one, for requests with a single sample.
type Answer struct {
	Scores []float64 `json:"scores"`
	Score  float64   `json:"score"`
}

// Server is one scorer stand-in.
type Server struct {
	*endpoint.Endpoint // provides Address, Run, Drain, Close and SetDown
	config             Config
	mutex              sync.Mutex     // guards the fields below
	stalledUntil       time.Time      // end of the stall for calls that arrive before it
	scored             map[string]int // number of times each sample was scored, by id
}

// New binds the listener. Requests are served once Run is called. It returns an error if the configuration is invalid
// or the address cannot be bound.
func New(config Config) (*Server, error) {
	if config.Log == nil {
		return nil, trace.BadParameter("scorer stand-in needs a log")
	}
	server := &Server{config: config, scored: make(map[string]int)}
	bound, err := endpoint.New(endpoint.Config{
		Listen: config.Listen, Listener: config.Listener, Handler: server.handle, Log: config.Log,
	})
	if err != nil {
		return nil, err
	}
	server.Endpoint = bound
	return server, nil
}

// Stall delays the answers to calls that arrive within the duration until its end. It does not delay calls in progress.
func (s *Server) Stall(duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stalledUntil = time.Now().Add(duration)
}

// Scored returns how often a sample was scored.
func (s *Server) Scored(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.scored[id]
}

// Score returns the score of a text in [0, 1). It depends only on prompt and text.
func Score(prompt, text string) float64 {
	return float64(xxhash.Sum64String(prompt+"\n"+text)>>11) / (1 << 53)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() || string(ctx.Path()) != "/v1/score" {
		endpoint.WriteError(ctx, fasthttp.StatusNotFound, verdict.DidNotRun, "not_found", "use POST /v1/score", 0)
		return
	}
	var request Request
	if !endpoint.DecodeJSON(ctx, &request) {
		return
	}
	if len(request.Samples) == 0 {
		request.Samples = []Sample{request.Sample}
	}
	s.wait(len(request.Samples))
	answer := Answer{Scores: make([]float64, 0, len(request.Samples))}
	for _, sample := range request.Samples {
		answer.Scores = append(answer.Scores, Score(sample.Prompt, sample.Text))
	}
	answer.Score = answer.Scores[0]
	s.countScored(request.Samples)
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, answer)
}

// wait waits for the rest of a stall and the duration of a call, or until the endpoint stops.
func (s *Server) wait(samples int) {
	s.mutex.Lock()
	duration := max(time.Until(s.stalledUntil), 0) + s.config.ServiceTime + time.Duration(samples)*s.config.PerSample
	s.mutex.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Closed():
	}
}

// countScored counts each sample as scored once more.
func (s *Server) countScored(samples []Sample) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, sample := range samples {
		s.scored[sample.ID]++
	}
}
