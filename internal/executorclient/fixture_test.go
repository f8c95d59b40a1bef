package executorclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// testTimeout bounds waits. No test asserts on how much of it is used.
const testTimeout = 20 * time.Second

// scriptedReplica is a replica whose answers continue only when the test sends a part.
type scriptedReplica struct {
	mutex sync.Mutex
	calls []*replica.Call
	parts chan string // parts of the body; closed: the answer is complete
	ended chan error  // the error of each call that has ended
}

func newScriptedReplica() *scriptedReplica {
	return &scriptedReplica{parts: make(chan string, 100), ended: make(chan error, 100)}
}

func (s *scriptedReplica) Do(ctx context.Context, call *replica.Call, sink replica.Sink) (outcome replica.Outcome) {
	defer func() { s.ended <- outcome.Err }()
	if err := call.Admit(); err != nil {
		return replica.Outcome{Verdict: verdict.DidNotRun, Err: err}
	}
	s.mutex.Lock()
	s.calls = append(s.calls, call)
	s.mutex.Unlock()
	if err := sink.Head(replica.Head{Status: 200, Stream: true, Version: 7}); err != nil {
		return replica.Outcome{Verdict: verdict.Ran, Err: err}
	}
	for {
		select {
		case part, more := <-s.parts:
			if !more {
				return replica.Outcome{Verdict: verdict.Ran, Status: 200, Complete: true}
			}
			if err := sink.Body([]byte(part)); err != nil {
				return replica.Outcome{Verdict: verdict.Ran, Status: 200, Err: err}
			}
		case <-ctx.Done():
			return replica.Outcome{Verdict: verdict.MayHaveRun, Status: 200, Err: ctx.Err()}
		}
	}
}

// begun returns the number of admitted calls.
func (s *scriptedReplica) begun() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.calls)
}

// process is an executor whose connections the test can cut.
type process struct {
	peer     Peer
	server   *executor.Server
	replica  *scriptedReplica
	admitted bool
	mutex    sync.Mutex
	conns    []net.Conn
	cut      bool
}

func startProcess(t *testing.T, name string) *process {
	t.Helper()
	p := &process{replica: newScriptedReplica(), admitted: true}
	server, err := executor.New(executor.Config{Caller: p.replica, Admit: func(*wire.RunStart) bool {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return p.admitted
	}})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.server, p.peer = server, Peer{Name: name, Address: listener.Addr().String(), Zone: "a"}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return p
}

// dial connects a leader to the process, or fails while it is cut off.
func (p *process) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cut {
		return nil, errors.New("cut off")
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		p.conns = append(p.conns, conn)
	}
	return conn, err
}

// reset closes all connections. If cut is set, new ones are refused until the next reset.
func (p *process) reset(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = cut
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

// leader is the running Fleet of one term.
type leader struct {
	*Fleet
	stop func()
}

func startLeader(t *testing.T, term uint64, p *process) *leader {
	t.Helper()
	fleet, err := New(Config{Term: term, Leader: fmt.Sprint("leader of ", term), Peers: func() []Peer { return []Peer{p.peer} }, Dial: p.dial})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		fleet.Run(ctx)
	}()
	stop := sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	until(t, "the survey of the executor", fleet.IsSurveyed)
	return &leader{Fleet: fleet, stop: stop}
}

// until polls reached until it returns true, and fails the test after testTimeout.
func until(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// collectingSink is a sink that stores the answer.
type collectingSink struct {
	mutex sync.Mutex
	head  replica.Head
	body  strings.Builder
	came  time.Duration
}

func (c *collectingSink) Head(head replica.Head) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head = head
	return nil
}

func (c *collectingSink) ReceivedAt(at time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.came = at
}

func (c *collectingSink) Body(chunk []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.body.Write(chunk)
	return nil
}

func (c *collectingSink) text() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.body.String()
}

// startOrder returns the order of the run that the tests use.
func startOrder() *wire.RunStart {
	return &wire.RunStart{
		Key: &wire.RunKey{Job: "job", Item: "item"}, Target: &wire.RunTarget{Instance: "r1", Address: "10.0.0.1:1", Pool: "p"},
		Item: &wire.JobItem{Id: "item", Method: "POST", Path: "/x", Body: []byte("prompt")}, ResumeAfter: -1, Urgency: 6,
	}
}

// isOpen reports whether the link has a stream.
func (l *link) isOpen() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open
}

// otherOrder returns the order of a run of another item.
func otherOrder(item string) *wire.RunStart {
	order := startOrder()
	order.Key.Item = item
	return order
}

// backgroundRun is a run whose Do call is in progress in another goroutine.
type backgroundRun struct {
	sink    *collectingSink
	cancel  context.CancelCauseFunc
	outcome chan replica.Outcome
}

func drive(do func(context.Context, Sink) replica.Outcome) *backgroundRun {
	ctx, cancel := context.WithCancelCause(context.Background())
	d := &backgroundRun{sink: &collectingSink{}, cancel: cancel, outcome: make(chan replica.Outcome, 1)}
	go func() { d.outcome <- do(ctx, d.sink) }()
	return d
}

func (l *leader) start(t *testing.T) *backgroundRun {
	t.Helper()
	chosen := l.ChooseExecutor("a", "r1")
	if chosen == nil {
		t.Fatal("no executor accepts the run")
	}
	return drive(func(ctx context.Context, sink Sink) replica.Outcome { return chosen.Do(ctx, startOrder(), sink) })
}

func (d *backgroundRun) end(t *testing.T) replica.Outcome {
	t.Helper()
	select {
	case outcome := <-d.outcome:
		return outcome
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for the end of the run")
	}
	return replica.Outcome{}
}
