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
	sliceTime  = 250 * time.Millisecond // direct and gateway take turns
	warmTime   = 300 * time.Millisecond
	callBody   = `{"customer":"c-1","offer":"scarf","text":"Two for one until Sunday."}`
	maxAtOnce  = 4096
	callPath   = "/v1/invoke/push"
	clientWait = 30 * time.Second
)

// recorder collects latencies from many goroutines.
type recorder struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
	failures  atomic.Int64
}

func newRecorder() *recorder { return &recorder{histogram: newHistogram()} }

func (r *recorder) record(latency time.Duration, err error) {
	if err != nil {
		r.failures.Add(1)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.histogram.RecordValue(int64(latency))
}

// openLoop starts calls at a fixed rate, whether or not earlier ones have ended, in slices that alternate
// between the two kinds of call.
func openLoop(ctx context.Context, rate int, duration time.Duration, calls [2]func() error, results [2]*recorder) {
	interval := time.Second / time.Duration(rate)
	atOnce := make(chan struct{}, maxAtOnce)
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
		side := int(due.Sub(began)/sliceTime) % 2
		atOnce <- struct{}{}
		sent := time.Now()
		pending.Go(func() {
			defer func() { <-atOnce }()
			err := calls[side]()
			results[side].record(time.Since(sent), err)
		})
	}
	pending.Wait()
}

// httpCaller sends requests that are not streamed.
type httpCaller struct{ client *fasthttp.Client }

func newHTTPCaller() *httpCaller {
	return &httpCaller{client: &fasthttp.Client{MaxConnsPerHost: maxAtOnce, ReadTimeout: clientWait, WriteTimeout: clientWait,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}}
}

// call posts the body and returns the answer's Server-Timing header.
func (c *httpCaller) call(address, path, key string, repeatable bool) (string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.Header.Set(gatewayKeyHeader, key)
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

const gatewayKeyHeader = "Idempotency-Key"

// keys makes keys that are never used twice.
type keys struct{ next atomic.Uint64 }

func (k *keys) take() string { return "key-" + strconv.FormatUint(k.next.Add(1), 10) }

// streamCaller reads streamed completions.
type streamCaller struct{ client *http.Client }

func newStreamCaller() *streamCaller {
	return &streamCaller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxAtOnce}}}
}

// stream reads one answer to its end and returns the time of its first chunk and its tokens.
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
		if at := bytes.Index(line, []byte(`"token_count":`)); at >= 0 {
			digits := line[at+len(`"token_count":`):]
			end := bytes.IndexAny(digits, ",}")
			part, _ := strconv.Atoi(string(digits[:max(end, 0)]))
			count += part
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

// holdTokens is the length of a stream that is held open: longer than any measurement.
const holdTokens = 100_000

// hold opens a stream, tells opened at its first chunk and reads on until ctx ends.
func (c *streamCaller) hold(ctx context.Context, address, pool string, n int, opened func()) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"hold %d [tokens=%d]","stream":true}`, pool, n, holdTokens)
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
	opened()
	if _, err = io.Copy(io.Discard, reader); ctx.Err() != nil {
		return nil
	}
	return err
}
