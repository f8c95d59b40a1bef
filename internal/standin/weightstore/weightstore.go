// Package weightstore is the stand-in of the rate-limited weight store. It serves PUT and GET /v1/versions/{version}.
package weightstore

import (
	"encoding/json"
	"net"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

const versionsPath = "/v1/versions/"

// Config holds a stand-in's settings.
type Config struct {
	// Listen is the IP:port to listen on; port 0 selects a free port. It is ignored if Listener is set.
	Listen   string
	Listener net.Listener
	// ReadsPerSecond limits the rate of reads. Reads above it get status 429 with Retry-After. Default 0, unlimited.
	ReadsPerSecond float64
	// Burst is the number of reads allowed at once. Default 1 if reads are limited.
	Burst int
	// ReadTime is the duration of a read. Default 0.
	ReadTime time.Duration
	// Log is required.
	Log *logrus.Entry
}

// Version describes one weight version. The weights themselves are not modelled.
type Version struct {
	Version       string `json:"version"`
	VersionNumber uint64 `json:"version_number"`
	Trainer       string `json:"trainer,omitempty"`
}

// Stats counts the requests to the store. Reads includes the throttled ones.
type Stats struct {
	Reads     int `json:"reads"`
	Throttled int `json:"throttled"`
	Writes    int `json:"writes"`
}

// Server is one weight store stand-in.
type Server struct {
	*endpoint.Endpoint // provides Address, Run, Drain, Close and SetDown
	config             Config

	mutex    sync.Mutex // guards the fields below
	limiter  *rate.Limiter
	readTime time.Duration
	versions map[string]Version
	stats    Stats
}

// New binds the listener. Requests are served once Run is called. It returns an error if the configuration is invalid
// or the address cannot be bound.
func New(config Config) (*Server, error) {
	if config.Log == nil {
		return nil, trace.BadParameter("weight store stand-in needs a log")
	}
	server := &Server{
		config: config, versions: make(map[string]Version), readTime: config.ReadTime,
		limiter: newLimiter(config.ReadsPerSecond, config.Burst),
	}
	bound, err := endpoint.New(endpoint.Config{
		Listen: config.Listen, Listener: config.Listener, Handler: server.handle, Log: config.Log,
	})
	if err != nil {
		return nil, err
	}
	server.Endpoint = bound
	return server, nil
}

// newLimiter returns a limiter without a limit if readsPerSecond is not positive.
func newLimiter(readsPerSecond float64, burst int) *rate.Limiter {
	if readsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(readsPerSecond), max(burst, 1))
}

// SetReads changes the rate limit and the duration of reads, with the meaning of the fields of Config.
func (s *Server) SetReads(readsPerSecond float64, burst int, readTime time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limiter, s.readTime = newLimiter(readsPerSecond, burst), readTime
}

// Put stores a version, as a PUT request does.
func (s *Server) Put(version Version) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.versions[version.Version] = version
	s.stats.Writes++
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stats
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	escaped, ok := strings.CutPrefix(string(ctx.Path()), versionsPath)
	name, err := url.PathUnescape(escaped)
	if !ok || err != nil || name == "" {
		endpoint.WriteError(ctx, fasthttp.StatusNotFound, verdict.DidNotRun, "not_found", "use /v1/versions/{version}", 0)
		return
	}
	switch {
	case ctx.IsGet():
		s.read(ctx, name)
	case ctx.IsPut():
		s.write(ctx, name)
	default:
		endpoint.WriteError(ctx, fasthttp.StatusMethodNotAllowed, verdict.DidNotRun, "bad_method", "use GET or PUT", 0)
	}
}

func (s *Server) read(ctx *fasthttp.RequestCtx, name string) {
	wait, throttled := s.reserveRead()
	if throttled {
		endpoint.WriteError(ctx, fasthttp.StatusTooManyRequests, verdict.DidNotRun, "throttled", "too many reads", wait)
		return
	}
	s.mutex.Lock()
	found, known := s.versions[name]
	readTime := s.readTime
	s.mutex.Unlock()
	if !known {
		endpoint.WriteError(ctx, fasthttp.StatusNotFound, verdict.DidNotRun, "unknown_version", "no version "+name, 0)
		return
	}
	timer := time.NewTimer(readTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.Closed():
	}
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, found)
}

// reserveRead counts a read against the rate limit. If the limit is exceeded, it returns true and the time after which
// to retry.
func (s *Server) reserveRead() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Reads++
	reserved := s.limiter.Reserve()
	wait := reserved.Delay()
	if wait == 0 {
		return 0, false
	}
	reserved.Cancel()
	s.stats.Throttled++
	return wait, true
}

func (s *Server) write(ctx *fasthttp.RequestCtx, name string) {
	version := Version{Version: name}
	if err := json.Unmarshal(ctx.PostBody(), &version); err != nil || version.Version != name {
		endpoint.WriteError(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_body", "the body must describe version "+name, 0)
		return
	}
	s.Put(version)
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, version)
}
