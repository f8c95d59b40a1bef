package gateway

import "github.com/valyala/fasthttp"

// maxCancels bounds the cancel calls to engines that are under way; more are left out, the engine then
// notices by itself that nobody reads.
const maxCancels = 64

// cancelAttempts is one over a kept connection and, if that one is dead, one over a new connection.
const cancelAttempts = 2

// newCanceller returns the client of cancel calls. An engine closes kept connections when it restarts or finds
// them idle; a cancel that meets such a one is repeated, which is always safe, and the others are dropped before.
func newCanceller() *fasthttp.Client {
	client := &fasthttp.Client{NoDefaultUserAgentHeader: true, MaxConnsPerHost: maxCancels, MaxIdemponentCallAttempts: cancelAttempts}
	client.RetryIfErr = func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
		client.CloseIdleConnections()
		return false, true
	}
	return client
}

// cancelStream tells an engine that a stream is not wanted any more.
func (s *Server) cancelStream(address, streamID string) {
	select {
	case s.cancels <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.cancels }()
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(request)
		defer fasthttp.ReleaseResponse(response)
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetRequestURI("http://" + address + "/v1/streams/" + streamID + "/cancel")
		_ = s.canceller.DoTimeout(request, response, loadTimeout)
	}()
}
