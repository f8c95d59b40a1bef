// Package platform is the stand-in of the platform's list of live and leaving machines: GET /v1/machines.
// The list lags and can contradict itself.
package platform

import (
	"math/rand"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/standin/endpoint"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// State is a machine's state in the list.
type State string

// The states. A machine that is gone is not listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one entry of the list.
type Machine struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port of what it serves
	Zone    string `json:"zone"`
	State   State  `json:"state"`
}

// List is the body of GET /v1/machines.
type List struct {
	AtUnixMillis int64     `json:"at_unix_millis"` // of the list's state, one lag before the answer
	Machines     []Machine `json:"machines"`
}

// Config holds a stand-in's settings.
type Config struct {
	// Listen is IP:port, port 0 allowed; ignored when Listener is set.
	Listen   string
	Listener net.Listener
	// Lag is how old the list is when it is handed out. Default 0.
	Lag time.Duration
	// ContradictionProbability is how often an answer has a machine in two states at once, or is an older
	// list than one handed out before. Default 0.
	ContradictionProbability float64
	// Seed draws the contradictions.
	Seed uint64
	// Log is required.
	Log *logrus.Entry
}

// historyLimit bounds the remembered changes.
const historyLimit = 4096

// change is the list's state from a time on.
type change struct {
	at       time.Time
	machines []Machine // sorted by name; never modified
}

// Server is one platform stand-in.
type Server struct {
	*endpoint.Endpoint // address and life cycle
	config             Config

	mutex   sync.Mutex // guards what follows
	random  *rand.Rand
	history []change
}

// New binds the listener.
func New(config Config) (*Server, error) {
	if config.Log == nil {
		return nil, trace.BadParameter("platform stand-in needs a log")
	}
	server := &Server{config: config, random: rand.New(rand.NewSource(int64(config.Seed))), history: []change{{}}}
	bound, err := endpoint.New(endpoint.Config{
		Listen: config.Listen, Listener: config.Listener, Handler: server.handle, Log: config.Log,
	})
	if err != nil {
		return nil, err
	}
	server.Endpoint = bound
	return server, nil
}

// Set adds a machine or changes it.
func (s *Server) Set(machine Machine) {
	s.edit(func(machines []Machine) []Machine {
		position, found := find(machines, machine.Name)
		if found {
			machines[position] = machine
			return machines
		}
		return slices.Insert(machines, position, machine)
	})
}

// Remove takes a machine off the list.
func (s *Server) Remove(name string) {
	s.edit(func(machines []Machine) []Machine {
		position, found := find(machines, name)
		if !found {
			return machines
		}
		return slices.Delete(machines, position, position+1)
	})
}

func find(machines []Machine, name string) (int, bool) {
	return slices.BinarySearchFunc(machines, name, func(machine Machine, name string) int {
		return strings.Compare(machine.Name, name)
	})
}

func (s *Server) edit(apply func([]Machine) []Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	latest := s.history[len(s.history)-1].machines
	s.history = append(s.history, change{at: time.Now(), machines: apply(slices.Clone(latest))})
	if len(s.history) > historyLimit {
		s.history = slices.Clone(s.history[historyLimit/2:])
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	name, named := strings.CutPrefix(path, "/v1/machines/")
	switch {
	case path == "/v1/machines" && ctx.IsGet():
		endpoint.WriteJSON(ctx, fasthttp.StatusOK, s.list(time.Now()))
	case named && name != "" && ctx.IsPut():
		s.put(ctx, name)
	case named && name != "" && ctx.IsDelete():
		s.Remove(name)
		endpoint.WriteJSON(ctx, fasthttp.StatusOK, Machine{Name: name})
	default:
		endpoint.Refuse(ctx, fasthttp.StatusNotFound, verdict.DidNotRun, "not_found", "use GET /v1/machines, or PUT and DELETE /v1/machines/{name}", 0)
	}
}

func (s *Server) put(ctx *fasthttp.RequestCtx, name string) {
	var machine Machine
	if !endpoint.DecodeJSON(ctx, &machine) {
		return
	}
	machine.Name = name
	if machine.State != StateLive && machine.State != StateLeaving {
		endpoint.Refuse(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_state", "state is live or leaving", 0)
		return
	}
	s.Set(machine)
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, machine)
}

// list is the list as of one lag ago, sometimes contradicting itself.
func (s *Server) list(now time.Time) List {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	shown := s.stateAt(now.Add(-s.config.Lag))
	if s.random.Float64() >= s.config.ContradictionProbability {
		return answer(now.Add(-s.config.Lag), s.history[shown].machines)
	}
	if s.random.Intn(2) == 0 {
		older := s.history[s.random.Intn(shown+1)]
		return answer(now.Add(-s.config.Lag), older.machines)
	}
	return answer(now.Add(-s.config.Lag), s.doubled(s.history[shown].machines))
}

// stateAt is the index of the last change at or before a time.
func (s *Server) stateAt(at time.Time) int {
	index := len(s.history) - 1
	for index > 0 && s.history[index].at.After(at) {
		index--
	}
	return index
}

// doubled lists one machine a second time, in the other state.
func (s *Server) doubled(machines []Machine) []Machine {
	if len(machines) == 0 {
		return machines
	}
	twin := machines[s.random.Intn(len(machines))]
	if twin.State == StateLive {
		twin.State = StateLeaving
	} else {
		twin.State = StateLive
	}
	return append(slices.Clone(machines), twin)
}

func answer(at time.Time, machines []Machine) List {
	return List{AtUnixMillis: at.UnixMilli(), Machines: append([]Machine{}, machines...)}
}
