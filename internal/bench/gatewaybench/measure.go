package gatewaybench

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/standin/application"
)

// turn goes round a pool's replicas for the direct calls.
type turn struct {
	addresses []string
	next      atomic.Uint64
}

func (t *turn) take() string { return t.addresses[t.next.Add(1)%uint64(len(t.addresses))] }

// plain compares repeatable calls that are not streamed.
func (r *run) plain(ctx context.Context) error {
	caller, names := newHTTPCaller(), &keys{}
	direct := &turn{addresses: r.fleet.addresses[poolCalls]}
	calls := [2]func() error{
		func() error { _, err := caller.call(direct.take(), callPath, names.take(), true); return err },
		func() error {
			_, err := caller.call(r.fleet.gateway.Address(), "/v1/pools/"+poolCalls+"/push", names.take(), true)
			return err
		},
	}
	openLoop(ctx, r.config.Rate, warmTime*2, calls, [2]*recorder{newRecorder(), newRecorder()})
	results := [2]*recorder{newRecorder(), newRecorder()}
	openLoop(ctx, r.config.Rate, r.config.Duration*2, calls, results)
	r.report.Plain = compare(results[0].histogram, results[1].histogram)
	r.report.Plain.Failures = results[0].failures.Load() + results[1].failures.Load()
	r.report.Plain.PerSecond = float64(r.config.Rate)
	r.report.Plain.ServiceTime = application.DefaultServiceTime.Seconds() * 1000
	return nil
}

// streams compares streamed completions: the first chunk and the whole answer.
func (r *run) streams(ctx context.Context) error {
	caller := newStreamCaller()
	direct := &turn{addresses: r.fleet.addresses[poolModel]}
	var number atomic.Uint64
	first := [2]*recorder{newRecorder(), newRecorder()}
	tokens := r.config.StreamTokens / 4
	call := func(side int, address func() string) func() error {
		return func() error {
			began, _, err := caller.stream(address(), poolModel, number.Add(1), tokens)
			first[side].record(began, err)
			return err
		}
	}
	calls := [2]func() error{call(0, direct.take), call(1, r.fleet.gateway.Address)}
	rate := max(r.config.Streams/2, 1)
	results := [2]*recorder{newRecorder(), newRecorder()}
	openLoop(ctx, rate, r.config.Duration*4, calls, results)
	r.report.FirstByte = compare(first[0].histogram, first[1].histogram)
	r.report.Stream = compare(results[0].histogram, results[1].histogram)
	for _, hop := range []*Hop{r.report.FirstByte, r.report.Stream} {
		hop.Failures = results[0].failures.Load() + results[1].failures.Load()
		hop.PerSecond = float64(rate)
		hop.ServiceTime = modelStep.Seconds() * 1000
	}
	return nil
}

// closedLoop runs clients one request after another and returns the sum of what they count.
func closedLoop(ctx context.Context, clients int, duration time.Duration, call func() (int, error)) (count float64, failures int64) {
	var total, failed atomic.Int64
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	for range clients {
		running.Go(func() {
			for ctx.Err() == nil && time.Now().Before(end) {
				n, err := call()
				if err != nil {
					failed.Add(1)
					continue
				}
				total.Add(int64(n))
			}
		})
	}
	running.Wait()
	return float64(total.Load()), failed.Load()
}

func (r *run) requestCapacity(ctx context.Context) error {
	caller, names := newHTTPCaller(), &keys{}
	call := func() (int, error) {
		_, err := caller.call(r.fleet.gateway.Address(), "/v1/pools/"+poolBare+"/push", names.take(), true)
		return 1, err
	}
	closedLoop(ctx, r.config.Clients, warmTime, call)
	var err error
	r.report.Requests, err = capacity(func() (float64, int64) { return closedLoop(ctx, r.config.Clients, r.config.Duration, call) })
	return err
}

func (r *run) tokenCapacity(ctx context.Context) error {
	caller := newStreamCaller()
	var number atomic.Uint64
	call := func() (int, error) {
		_, count, err := caller.stream(r.fleet.gateway.Address(), poolQuick, number.Add(1), r.config.StreamTokens)
		return count, err
	}
	closedLoop(ctx, r.config.Streams, warmTime, call)
	var err error
	r.report.Tokens, err = capacity(func() (float64, int64) { return closedLoop(ctx, r.config.Streams, r.config.Duration, call) })
	return err
}

// claims measures the claim stage of non-repeatable calls, and its lower bound between the same slices.
func (r *run) claims(ctx context.Context) error {
	caller, names := newHTTPCaller(), &keys{}
	stage, whole := newRecorder(), newRecorder()
	claimed := func() error {
		began := time.Now()
		timing, err := caller.call(r.fleet.gateway.Address(), "/v1/pools/"+poolBare+"/push", "claim-"+names.take(), false)
		whole.record(time.Since(began), err)
		stage.record(stageTime(timing, "claim"), err)
		return err
	}
	bound, err := newLowerBound(filepath.Join(r.config.Folder, "bare"))
	if err != nil {
		return err
	}
	defer bound.close()
	ignored := [2]*recorder{newRecorder(), newRecorder()}
	openLoop(ctx, r.config.ClaimRate, r.config.Duration*2, [2]func() error{claimed, func() error { return bound.measure() }}, ignored)
	r.report.Claim = &Claim{Stage: summarise(stage.histogram), Whole: summarise(whole.histogram),
		BareSync: summarise(bound.sync.histogram), RoundTrip: summarise(bound.trip.histogram),
		Failures: whole.failures.Load() + ignored[1].failures.Load()}
	claim := r.report.Claim
	claim.RatioP99 = ratio(claim.Stage.P99, claim.BareSync.P99+claim.RoundTrip.P99)
	claim.RatioP50 = ratio(claim.Stage.P50, claim.BareSync.P50+claim.RoundTrip.P50)
	return nil
}

// stageTime reads one stage of a Server-Timing header.
func stageTime(header, name string) time.Duration {
	for _, part := range strings.Split(header, ", ") {
		if value, found := strings.CutPrefix(part, name+";dur="); found {
			millis, _ := strconv.ParseFloat(value, 64)
			return time.Duration(millis * float64(time.Millisecond))
		}
	}
	return 0
}

// lowerBound measures one synced write and one round trip over loopback, which no claim can do without.
type lowerBound struct {
	mutex      sync.Mutex
	file       *os.File
	conn       net.Conn
	listener   net.Listener
	sync, trip *recorder
}

// bareBytes is about the size of one claim.
const bareBytes = 256

func newLowerBound(path string) (*lowerBound, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	go echo(listener)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &lowerBound{file: file, conn: conn, listener: listener, sync: newRecorder(), trip: newRecorder()}, nil
}

// echo sends back what comes, a block at a time.
func echo(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	block := make([]byte, bareBytes)
	for {
		n, err := conn.Read(block)
		if err != nil {
			return
		}
		if _, err := conn.Write(block[:n]); err != nil {
			return
		}
	}
}

// measure makes one write and one round trip, unless another is under way.
func (b *lowerBound) measure() error {
	if !b.mutex.TryLock() {
		return nil
	}
	defer b.mutex.Unlock()
	block := make([]byte, bareBytes)
	began := time.Now()
	if _, err := b.file.Write(block); err != nil {
		return err
	}
	if err := b.file.Sync(); err != nil {
		return err
	}
	b.sync.record(time.Since(began), nil)
	began = time.Now()
	if _, err := b.conn.Write(block); err != nil {
		return err
	}
	if _, err := b.conn.Read(block); err != nil {
		return err
	}
	b.trip.record(time.Since(began), nil)
	return nil
}

func (b *lowerBound) close() {
	_ = b.conn.Close()
	_ = b.listener.Close()
	_ = b.file.Close()
}
