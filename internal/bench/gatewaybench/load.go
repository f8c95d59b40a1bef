package gatewaybench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const (
	sliceDuration      = 250 * time.Millisecond // time after which the open loop switches between its two kinds of call
	warmUpTime         = 300 * time.Millisecond
	callBody           = `{"customer":"c-1","offer":"scarf","text":"Two for one until Sunday."}`
	maxConcurrentCalls = 4096
	directPath         = "/v1/invoke/push"
	clientTimeout      = 30 * time.Second
)

// latencyRecorder collects latencies and counts failures. It is safe for concurrent use.
type latencyRecorder struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
	failures  atomic.Int64
}

func newLatencyRecorder() *latencyRecorder { return &latencyRecorder{histogram: newHistogram()} }

func (r *latencyRecorder) record(latency time.Duration, err error) {
	if err != nil {
		r.failures.Add(1)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.histogram.RecordValue(int64(latency))
}

// runOpenLoop starts calls at a fixed rate for the given duration, independently of when earlier calls end, and waits
// for all of them. It alternates between the two kinds of call every sliceDuration and records each kind in the result
// of the same index. While maxConcurrentCalls are in progress the next call waits. Its latency counts from its start.
func runOpenLoop(ctx context.Context, rate int, duration time.Duration, calls [2]func() error, results [2]*latencyRecorder) {
	interval := time.Second / time.Duration(rate)
	slots := make(chan struct{}, maxConcurrentCalls)
	var pending sync.WaitGroup
	began := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		due := began.Add(time.Duration(n) * interval)
		if due.Sub(began) >= duration {
			break
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		kind := int(due.Sub(began)/sliceDuration) % 2
		slots <- struct{}{}
		sent := time.Now()
		pending.Go(func() {
			defer func() { <-slots }()
			err := calls[kind]()
			results[kind].record(time.Since(sent), err)
		})
	}
	pending.Wait()
}

// httpCaller sends requests whose responses are not streamed.
type httpCaller struct{ client *fasthttp.Client }

func newHTTPCaller() *httpCaller {
	return &httpCaller{client: &fasthttp.Client{MaxConnsPerHost: maxConcurrentCalls, ReadTimeout: clientTimeout, WriteTimeout: clientTimeout,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}}
}

// post sends callBody to path and returns the Server-Timing header of the response. It makes a single attempt, and a
// status other than 200 is an error. repeatable marks the request as one that needs no durable claim.
func (c *httpCaller) post(address, path, key string, repeatable bool) (string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.Header.Set(idempotencyKeyHeader, key)
	if repeatable {
		request.Header.Set("Tamarindring-Repeatable", "true")
	}
	request.SetBodyString(callBody)
	if err := c.client.Do(request, response); err != nil {
		return "", err
	}
	if response.StatusCode() != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", response.StatusCode(), response.Body())
	}
	return string(response.Header.Peek("Server-Timing")), nil
}

const idempotencyKeyHeader = "Idempotency-Key"

// keyGenerator returns a new idempotency key with each call of next.
type keyGenerator struct{ count atomic.Uint64 }

func (k *keyGenerator) next() string { return "key-" + strconv.FormatUint(k.count.Add(1), 10) }

// streamCaller requests streamed completions.
type streamCaller struct{ client *http.Client }

func newStreamCaller() *streamCaller {
	return &streamCaller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrentCalls}}}
}

// stream reads one streamed completion to its end. It returns the time until the first line of the response and the
// number of tokens. A number other than tokens is an error. n makes the prompt unique.
func (c *streamCaller) stream(address, pool string, n uint64, tokens int) (first time.Duration, count int, err error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"offer %d [tokens=%d]","stream":true}`, pool, n, tokens)
	began := time.Now()
	response, err := c.client.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	reader := bufio.NewReaderSize(response.Body, 64<<10)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return 0, 0, fmt.Errorf("the stream was cut after %d tokens: %w", count, err)
		}
		if first == 0 {
			first = time.Since(began)
		}
		if position := bytes.Index(line, []byte(`"token_count":`)); position >= 0 {
			number := line[position+len(`"token_count":`):]
			end := bytes.IndexAny(number, ",}")
			chunkTokens, _ := strconv.Atoi(string(number[:max(end, 0)]))
			count += chunkTokens
		}
		if bytes.Contains(line, []byte("[DONE]")) {
			break
		}
	}
	_, err = io.Copy(io.Discard, reader)
	if count != tokens {
		return 0, 0, fmt.Errorf("%d tokens, want %d", count, tokens)
	}
	return first, count, err
}

// heldStreamTokens is the number of tokens of a stream that is held open. Emitting them takes longer than any
// measurement.
const heldStreamTokens = 100_000

// hold opens a stream, calls onOpen when its first line has arrived, and continues to read until ctx ends. It returns
// nil if the stream is open until then.
func (c *streamCaller) hold(ctx context.Context, address, pool string, n int, onOpen func()) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"hold %d [tokens=%d]","stream":true}`, pool, n, heldStreamTokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadSlice('\n'); err != nil {
		return err
	}
	onOpen()
	if _, err = io.Copy(io.Discard, reader); ctx.Err() != nil {
		return nil
	}
	return err
}
