// Package sendbuffer buffers the writes of connections whose peers read slowly, so that the writers need not wait. It is
// used for callers that read an answer more slowly than its replica sends it. Without a buffer each of them would occupy
// a slot of a replica for as long as it reads.
//
// Bytes that the system accepts immediately are written directly. The rest is buffered, within the process's byte budget,
// and sent by a goroutine of the connection. If the budget has no free space, the writer waits. A peer that reads nothing
// for StillTimeout, or for BlockedTimeout while a writer waits, is cut off. If the budget is exhausted, the peer that has
// read nothing for the longest time is cut off, provided that this time is at least ShedTimeout.
package sendbuffer

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/bytebudget"
)

const (
	// MinProgressBytes is how much a peer must read within each of the timeouts.
	MinProgressBytes = 1 << 10
	// StillTimeout is the timeout while no writer waits. Peers acknowledge what they read in steps of a segment, up to
	// 64 KB, so that a peer that reads 1 KB per second shows no progress for up to a minute.
	StillTimeout = 70 * time.Second
	// BlockedTimeout is the timeout while a writer waits, which occupies a replica's slot. It is shorter than the time
	// for which replicas wait themselves, so that they need not break off the answer.
	BlockedTimeout = 5 * time.Second
	// ShedTimeout is the timeout when the budget has no free space for another connection.
	ShedTimeout = time.Second
	// maxShareDivisor determines how much of the budget one connection may use: the limit divided by it.
	maxShareDivisor = 8
	// progressInterval is the interval at which the progress of a slow peer is checked.
	progressInterval = 250 * time.Millisecond
)

// Causes for which a connection is cut off.
var (
	ErrStill   = errors.New("sendbuffer: the peer does not read")
	ErrBlocked = errors.New("sendbuffer: the peer does not read, and an answer waits for it")
	ErrShed    = errors.New("sendbuffer: the peer has not read for the longest time while room was short")
)

// Cut describes a connection that was cut off because its peer did not read.
type Cut struct {
	Remote     net.Addr
	Request    string        // request of the first answer in the buffer
	Unsent     int64         // bytes in the buffer
	StalledFor time.Duration // time without sufficient progress
	Cause      error         // ErrStill, ErrBlocked or ErrShed
}

// Config configures a Set. Only Budget is required.
type Config struct {
	Budget *bytebudget.Budget
	OnCut  func(Cut) // called for each connection that is cut off; may be nil
}

// Set is the set of a process's connections that share a budget. It is safe for concurrent use.
type Set struct {
	config           Config
	maxPerConnection int64 // bytes of the budget that the buffer of one connection may use
	start            time.Time
	counts           *setMetrics
	blocked          atomic.Int64 // number of writers that wait

	mu   sync.Mutex
	slow map[*Conn]struct{} // connections with unsent bytes; guarded by mu
}

// NewSet returns a set without connections.
func NewSet(config Config) *Set {
	set := &Set{config: config, maxPerConnection: config.Budget.Limit() / maxShareDivisor, start: time.Now(), slow: map[*Conn]struct{}{}}
	set.counts = newSetMetrics(set)
	return set
}

// Slow returns the number of connections with unsent bytes.
func (s *Set) Slow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.slow)
}

// pollInterval is the interval at which Wait checks whether everything is sent.
const pollInterval = 10 * time.Millisecond

// Wait waits until no connection has unsent bytes. It returns the error of ctx if that is done before.
func (s *Set) Wait(ctx context.Context) error {
	for s.Slow() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func (s *Set) now() time.Duration { return time.Since(s.start) }

func (s *Set) add(conn *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow[conn] = struct{}{}
}

func (s *Set) remove(conn *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.slow, conn)
}

// reserve reserves bytes of the budget. If the budget is exhausted, it sheds a connection and tries once more. It returns
// false if there is not enough free space.
func (s *Set) reserve(bytes int64) bool {
	if s.config.Budget.Reserve(bytebudget.Stream, bytes) {
		return true
	}
	return s.shed() && s.config.Budget.Reserve(bytebudget.Stream, bytes)
}

// shed cuts off the connection whose peer has made no progress for the longest time. It returns false if none has been
// without progress for ShedTimeout.
func (s *Set) shed() bool {
	now := s.now()
	var worst *Conn
	longest := ShedTimeout
	for _, conn := range s.slowConnections() {
		if still := conn.stillFor(now); still >= longest {
			worst, longest = conn, still
		}
	}
	return worst != nil && worst.cutOff(ErrShed)
}

// CutStalled cuts off all connections whose peers have made no progress for BlockedTimeout. It is called when something
// else finds no free space in the budget.
func (s *Set) CutStalled() {
	now := s.now()
	for _, conn := range s.slowConnections() {
		if conn.stillFor(now) >= BlockedTimeout {
			conn.cutOff(ErrShed)
		}
	}
}

// slowConnections returns the connections with unsent bytes.
func (s *Set) slowConnections() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.slow))
}

func (s *Set) release(bytes int64) { s.config.Budget.Release(bytebudget.Stream, bytes) }
