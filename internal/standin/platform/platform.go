// Package platform is the stand-in of the platform that provides the machines. It serves the platform's list of live
// and leaving machines at GET /v1/machines. In the terms of this project, each machine runs one replica, and the
// replica of a leaving machine has to drain before the platform takes the machine away. The list lags, and answers can
// contradict each other or themselves.
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

// State is the state of a machine in the list.
type State string

// The states. Machines that are gone are not listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // the platform is about to take the machine away
)

// Machine is one entry of the list: the machine of one replica.
type Machine struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port at which the replica serves
	Zone    string `json:"zone"`
	State   State  `json:"state"`
}

// List is the body of GET /v1/machines.
type List struct {
	AtUnixMillis int64     `json:"at_unix_millis"` // time of the list's state, Config.Lag before the answer
	Machines     []Machine `json:"machines"`
}

// Config holds a stand-in's settings.
type Config struct {
	// Listen is the IP:port to listen on; port 0 selects a free port. It is ignored if Listener is set.
	Listen   string
	Listener net.Listener
	// Lag is the age of the list when it is served. Default 0.
	Lag time.Duration
	// ContradictionProbability is the probability that an answer lists a machine in two states at once, or is a random
	// older list, which may be older than one served before. Default 0.
	ContradictionProbability float64
	// Seed seeds the random choice of contradictions.
	Seed uint64
	// Log is required.
	Log *logrus.Entry
}

// historyLimit is the maximum number of recorded changes. The older half is dropped above it.
const historyLimit = 4096

// change is the content of the list from a time on.
type change struct {
	at       time.Time
	machines []Machine // sorted by name; never modified
}

// Server is one platform stand-in.
type Server struct {
	*endpoint.Endpoint // provides Address, Run, Drain, Close and SetDown
	config             Config

	mutex   sync.Mutex // guards the fields below
	random  *rand.Rand
	history []change
}

// New binds the listener. Requests are served once Run is called. It returns an error if the configuration is invalid
// or the address cannot be bound.
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

// Set adds a machine, or replaces the one of the same name.
func (s *Server) Set(machine Machine) {
	s.edit(func(machines []Machine) []Machine {
		position, found := findMachine(machines, machine.Name)
		if found {
			machines[position] = machine
			return machines
		}
		return slices.Insert(machines, position, machine)
	})
}

// Remove removes a machine from the list. An unknown name has no effect.
func (s *Server) Remove(name string) {
	s.edit(func(machines []Machine) []Machine {
		position, found := findMachine(machines, name)
		if !found {
			return machines
		}
		return slices.Delete(machines, position, position+1)
	})
}

// findMachine returns the position of a machine in a list sorted by name, or where to insert it.
func findMachine(machines []Machine, name string) (int, bool) {
	return slices.BinarySearchFunc(machines, name, func(machine Machine, name string) int {
		return strings.Compare(machine.Name, name)
	})
}

// edit records the result of apply on a copy of the latest list as a change.
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
		endpoint.WriteError(ctx, fasthttp.StatusNotFound, verdict.DidNotRun, "not_found", "use GET /v1/machines, or PUT and DELETE /v1/machines/{name}", 0)
	}
}

func (s *Server) put(ctx *fasthttp.RequestCtx, name string) {
	var machine Machine
	if !endpoint.DecodeJSON(ctx, &machine) {
		return
	}
	machine.Name = name
	if machine.State != StateLive && machine.State != StateLeaving {
		endpoint.WriteError(ctx, fasthttp.StatusBadRequest, verdict.DidNotRun, "bad_state", "state is live or leaving", 0)
		return
	}
	s.Set(machine)
	endpoint.WriteJSON(ctx, fasthttp.StatusOK, machine)
}

// list returns the list as of Config.Lag ago, with the configured contradictions.
func (s *Server) list(now time.Time) List {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	index := s.changeIndexAt(now.Add(-s.config.Lag))
	if s.random.Float64() >= s.config.ContradictionProbability {
		return newList(now.Add(-s.config.Lag), s.history[index].machines)
	}
	if s.random.Intn(2) == 0 {
		older := s.history[s.random.Intn(index+1)]
		return newList(now.Add(-s.config.Lag), older.machines)
	}
	return newList(now.Add(-s.config.Lag), s.withContradiction(s.history[index].machines))
}

// changeIndexAt returns the index of the last change at or before a time.
func (s *Server) changeIndexAt(at time.Time) int {
	index := len(s.history) - 1
	for index > 0 && s.history[index].at.After(at) {
		index--
	}
	return index
}

// withContradiction returns a list in which a random machine appears a second time, in the other state.
func (s *Server) withContradiction(machines []Machine) []Machine {
	if len(machines) == 0 {
		return machines
	}
	duplicate := machines[s.random.Intn(len(machines))]
	if duplicate.State == StateLive {
		duplicate.State = StateLeaving
	} else {
		duplicate.State = StateLive
	}
	return append(slices.Clone(machines), duplicate)
}

// newList returns the answer with a copy of the machines.
func newList(at time.Time, machines []Machine) List {
	return List{AtUnixMillis: at.UnixMilli(), Machines: append([]Machine{}, machines...)}
}
