package gateway

import (
	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/answerconn"
)

// maxConcurrentCancels bounds concurrent cancel calls to engines. Further calls are dropped, and the engine then
// detects by itself that the stream has no reader.
const maxConcurrentCancels = 64

// cancelAttempts allows one attempt over a kept connection and, if that connection is dead, one over a new
// connection.
const cancelAttempts = 2

// maxCancelAnswerBytes bounds the body of the answer to a cancel call.
const maxCancelAnswerBytes = 64 << 10

// newCancelClient returns the HTTP client for cancel calls. An engine closes kept connections when it restarts or
// finds them idle. A cancel call that fails on such a connection is retried, which is always safe, after all idle
// connections were closed.
func newCancelClient() *fasthttp.Client {
	client := &fasthttp.Client{Dial: answerconn.Dial(fasthttp.Dial), NoDefaultUserAgentHeader: true, MaxConnsPerHost: maxConcurrentCancels, MaxIdemponentCallAttempts: cancelAttempts,
		MaxResponseBodySize: maxCancelAnswerBytes}
	client.RetryIfErr = func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
		client.CloseIdleConnections()
		return false, true
	}
	return client
}

// cancelStream tells an engine, in the background, that a stream is no longer wanted.
func (s *Server) cancelStream(address, streamID string) {
	select {
	case s.cancelSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.cancelSlots }()
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(request)
		defer fasthttp.ReleaseResponse(response)
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetRequestURI("http://" + address + "/v1/streams/" + streamID + "/cancel")
		_ = s.cancelClient.DoTimeout(request, response, loadTimeout)
	}()
}
