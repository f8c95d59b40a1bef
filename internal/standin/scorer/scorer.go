// Package scorer is the stand-in of a scoring service: POST /v1/score rates samples after a service time.
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
	// Listen is IP:port, port 0 allowed; ignored when Listener is set.
	Listen   string
	Listener net.Listener
	// ServiceTime is the time that one call takes. Default 0.
	ServiceTime time.Duration
	// PerSample is added for each sample of a call. Default 0.
	PerSample time.Duration
	// Log is required.
	Log *logrus.Entry
}

// Sample is one answer to be rated.
type Sample struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// Request is the body of POST /v1/score: a list of samples, or one sample's own fields.
type Request struct {
	Samples []Sample `json:"samples"`
	Sample
}

// Answer holds the scores in the samples' order, and the first one by itself.
type Answer struct {
	Scores []float64 `json:"scores"`
	Score  float64   `json:"score"`
}

// Server is one scorer stand-in.
type Server struct {
	*endpoint.Endpoint // address and life cycle
	config             Config
	mutex              sync.Mutex
	stalled            time.Time // no answer leaves before this time
	scored             map[string]int
}

// New binds the listener.
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

// Stall keeps every answer back for a time.
func (s *Server) Stall(duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stalled = time.Now().Add(duration)
}

// Scored returns how often a sample was rated.
func (s *Server) Scored(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.scored[id]
}

// Score is the rating of a text: a function of its content, in [0, 1).
func Score(prompt, text string) float64 {
	return float64(xxhash.Sum64String(prompt+"\n"+text)>>11) / (1 << 53)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() || string(ctx.Path()) != "/v1/score" {
		endpoint.Refuse(ctx, fasthttp.StatusNotFound, verdict.DidNotRun, "not_found", "use POST /v1/score", 0)
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
	s.count(request.Samples)
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, answer)
}

func (s *Server) wait(samples int) {
	s.mutex.Lock()
	duration := max(time.Until(s.stalled), 0) + s.config.ServiceTime + time.Duration(samples)*s.config.PerSample
	s.mutex.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Closed():
	}
}

func (s *Server) count(samples []Sample) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, sample := range samples {
		s.scored[sample.ID]++
	}
}
