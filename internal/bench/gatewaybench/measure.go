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

// roundRobin selects the replicas of a pool in turn for the direct calls.
type roundRobin struct {
	addresses []string
	count     atomic.Uint64
}

func (t *roundRobin) next() string { return t.addresses[t.count.Add(1)%uint64(len(t.addresses))] }

// measureRequestLatency compares repeatable calls that are not streamed.
func (r *run) measureRequestLatency(ctx context.Context) error {
	caller, keys := newHTTPCaller(), &keyGenerator{}
	direct := &roundRobin{addresses: r.fleet.addresses[poolCalls]}
	calls := [2]func() error{
		func() error { _, err := caller.post(direct.next(), directPath, keys.next(), true); return err },
		func() error {
			_, err := caller.post(r.fleet.gateway.Address(), "/v1/pools/"+poolCalls+"/push", keys.next(), true)
			return err
		},
	}
	runOpenLoop(ctx, r.config.Rate, warmUpTime*2, calls, [2]*latencyRecorder{newLatencyRecorder(), newLatencyRecorder()})
	results := [2]*latencyRecorder{newLatencyRecorder(), newLatencyRecorder()}
	runOpenLoop(ctx, r.config.Rate, r.config.Duration*2, calls, results)
	r.report.Plain = compareLatencies(results[0].histogram, results[1].histogram)
	r.report.Plain.Failures = results[0].failures.Load() + results[1].failures.Load()
	r.report.Plain.PerSecond = float64(r.config.Rate)
	r.report.Plain.ServiceTime = application.DefaultServiceTime.Seconds() * 1000
	return nil
}

// measureStreamLatency compares the time to the first chunk and the time to the end of streamed completions.
func (r *run) measureStreamLatency(ctx context.Context) error {
	caller := newStreamCaller()
	direct := &roundRobin{addresses: r.fleet.addresses[poolModel]}
	var promptNumber atomic.Uint64
	firstChunks := [2]*latencyRecorder{newLatencyRecorder(), newLatencyRecorder()}
	tokens := r.config.StreamTokens / 4
	call := func(kind int, address func() string) func() error {
		return func() error {
			firstChunk, _, err := caller.stream(address(), poolModel, promptNumber.Add(1), tokens)
			firstChunks[kind].record(firstChunk, err)
			return err
		}
	}
	calls := [2]func() error{call(0, direct.next), call(1, r.fleet.gateway.Address)}
	rate := max(r.config.Streams/2, 1)
	results := [2]*latencyRecorder{newLatencyRecorder(), newLatencyRecorder()}
	runOpenLoop(ctx, rate, r.config.Duration*4, calls, results)
	r.report.FirstByte = compareLatencies(firstChunks[0].histogram, firstChunks[1].histogram)
	r.report.Stream = compareLatencies(results[0].histogram, results[1].histogram)
	for _, hop := range []*Hop{r.report.FirstByte, r.report.Stream} {
		hop.Failures = results[0].failures.Load() + results[1].failures.Load()
		hop.PerSecond = float64(rate)
		hop.ServiceTime = modelStep.Seconds() * 1000
	}
	return nil
}

// runClosedLoop runs clients for the given duration. Each starts its next call when the last one has returned. The
// result is the sum of the counts that call returned and the number of calls that failed.
func runClosedLoop(ctx context.Context, clients int, duration time.Duration, call func() (int, error)) (count float64, failures int64) {
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

// measureRequestCapacity measures the rate of repeatable requests that are not streamed in a closed loop.
func (r *run) measureRequestCapacity(ctx context.Context) error {
	caller, keys := newHTTPCaller(), &keyGenerator{}
	call := func() (int, error) {
		_, err := caller.post(r.fleet.gateway.Address(), "/v1/pools/"+poolBare+"/push", keys.next(), true)
		return 1, err
	}
	runClosedLoop(ctx, r.config.Clients, warmUpTime, call)
	var err error
	r.report.Requests, err = measureCapacity(func() (float64, int64) { return runClosedLoop(ctx, r.config.Clients, r.config.Duration, call) })
	return err
}

// measureTokenCapacity measures the rate of streamed tokens in a closed loop.
func (r *run) measureTokenCapacity(ctx context.Context) error {
	caller := newStreamCaller()
	var promptNumber atomic.Uint64
	call := func() (int, error) {
		_, count, err := caller.stream(r.fleet.gateway.Address(), poolQuick, promptNumber.Add(1), r.config.StreamTokens)
		return count, err
	}
	runClosedLoop(ctx, r.config.Streams, warmUpTime, call)
	var err error
	r.report.Tokens, err = measureCapacity(func() (float64, int64) { return runClosedLoop(ctx, r.config.Streams, r.config.Duration, call) })
	return err
}

// measureClaims measures the claim stage of calls that are not repeatable. The lower bound is measured in alternating
// slices of the same run.
func (r *run) measureClaims(ctx context.Context) error {
	caller, keys := newHTTPCaller(), &keyGenerator{}
	claimStages, wholeRequests := newLatencyRecorder(), newLatencyRecorder()
	claimedCall := func() error {
		began := time.Now()
		timing, err := caller.post(r.fleet.gateway.Address(), "/v1/pools/"+poolBare+"/push", "claim-"+keys.next(), false)
		wholeRequests.record(time.Since(began), err)
		claimStages.record(parseStageTime(timing, "claim"), err)
		return err
	}
	bound, err := newLowerBound(filepath.Join(r.config.Folder, "bare"))
	if err != nil {
		return err
	}
	defer bound.close()
	loopResults := [2]*latencyRecorder{newLatencyRecorder(), newLatencyRecorder()}
	runOpenLoop(ctx, r.config.ClaimRate, r.config.Duration*2, [2]func() error{claimedCall, func() error { return bound.measure() }}, loopResults)
	r.report.Claim = &Claim{Stage: summarise(claimStages.histogram), Whole: summarise(wholeRequests.histogram),
		BareSync: summarise(bound.syncs.histogram), RoundTrip: summarise(bound.roundTrips.histogram),
		Failures: wholeRequests.failures.Load() + loopResults[1].failures.Load()}
	claim := r.report.Claim
	claim.RatioP99 = ratio(claim.Stage.P99, claim.BareSync.P99+claim.RoundTrip.P99)
	claim.RatioP50 = ratio(claim.Stage.P50, claim.BareSync.P50+claim.RoundTrip.P50)
	return nil
}

// parseStageTime returns the duration of one stage in a Server-Timing header, or 0 if the header does not have it.
func parseStageTime(header, name string) time.Duration {
	for _, part := range strings.Split(header, ", ") {
		if value, found := strings.CutPrefix(part, name+";dur="); found {
			millis, _ := strconv.ParseFloat(value, 64)
			return time.Duration(millis * float64(time.Millisecond))
		}
	}
	return 0
}

// lowerBound measures one synced write and one round trip over the loopback interface. Every claim takes at least these
// two.
type lowerBound struct {
	mutex             sync.Mutex
	file              *os.File
	conn              net.Conn
	listener          net.Listener
	syncs, roundTrips *latencyRecorder
}

// claimBytes is the approximate size of one claim.
const claimBytes = 256

// newLowerBound creates the file to be written at path and connects to an echo server. The caller closes the result.
func newLowerBound(path string) (*lowerBound, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	go serveEcho(listener)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &lowerBound{file: file, conn: conn, listener: listener, syncs: newLatencyRecorder(), roundTrips: newLatencyRecorder()}, nil
}

// serveEcho accepts one connection and sends back what it receives until the connection closes.
func serveEcho(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	block := make([]byte, claimBytes)
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

// measure records the times of one write and one round trip. It does nothing while another call is in progress.
func (b *lowerBound) measure() error {
	if !b.mutex.TryLock() {
		return nil
	}
	defer b.mutex.Unlock()
	block := make([]byte, claimBytes)
	began := time.Now()
	if _, err := b.file.Write(block); err != nil {
		return err
	}
	if err := b.file.Sync(); err != nil {
		return err
	}
	b.syncs.record(time.Since(began), nil)
	began = time.Now()
	if _, err := b.conn.Write(block); err != nil {
		return err
	}
	if _, err := b.conn.Read(block); err != nil {
		return err
	}
	b.roundTrips.record(time.Since(began), nil)
	return nil
}

func (b *lowerBound) close() {
	_ = b.conn.Close()
	_ = b.listener.Close()
	_ = b.file.Close()
}
