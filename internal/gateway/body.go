package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/dispatch"
)

// Error codes of request bodies.
const (
	codeBodyIncomplete = "body_incomplete"
	codeBodyTooLarge   = "body_too_large"
)

// errBodyBroken means that the caller's body ended early or arrived too slowly.
var errBodyBroken = errors.New("the request's body ended early or came too slowly")

// errBodyTooLarge means that a body of unknown length exceeded the limit.
var errBodyTooLarge = errors.New("the body is larger than the limit")

// readBody buffers the body if it fits BufferBytes. Otherwise it buffers the beginning and sets up a reader for the
// remainder.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *call) error {
	c.bodyLength = int64(ctx.Request.Header.ContentLength())
	if c.bodyLength > s.config.MaxBodyBytes {
		return newCallError(http.StatusRequestEntityTooLarge, codeBodyTooLarge,
			"the body has more than "+strconv.FormatInt(s.config.MaxBodyBytes, 10)+" bytes")
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		c.body = ctx.PostBody()
		c.bodyLength = int64(len(c.body))
		return nil
	}
	limit := int64(s.config.BufferBytes)
	held, whole, err := s.readBeginning(c, stream, limit)
	if err != nil {
		return err
	}
	c.body = held
	if whole {
		if c.bodyLength >= 0 && c.bodyLength != int64(len(held)) {
			return errBodyBroken
		}
		c.bodyLength = int64(len(held))
		return nil
	}
	expected := int64(-1)
	if c.bodyLength >= 0 {
		expected = c.bodyLength - int64(len(held))
	} else {
		c.bodyLength = -1
	}
	c.pacedRemainder = &pacedBody{reader: stream, conn: ctx.Conn(), remainingLimit: s.config.MaxBodyBytes - int64(len(held)),
		expectedBytes: expected,
		gracePeriod:   s.config.ReadTimeout, minRate: s.config.MinBodyRate, began: time.Now()}
	c.remainder = c.pacedRemainder
	return nil
}

// reserve takes bytes from the memory budget for the call. finishExchange returns them.
func (s *Server) reserve(c *call, bytes int64) bool {
	if !s.memory.reserve(bytes) {
		return false
	}
	c.reservedBytes += bytes
	return true
}

// readBeginning reads up to limit bytes and reports whether the body ends there. The buffer grows with the bytes
// received and not with the announced length, so that a slow sender holds little of the memory budget.
func (s *Server) readBeginning(c *call, stream io.Reader, limit int64) (held []byte, whole bool, err error) {
	for {
		if len(held) == cap(held) {
			if held, err = s.growBody(c, held, limit); err != nil {
				return nil, false, err
			}
		}
		n, err := stream.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		switch {
		case err == io.EOF:
			return held, true, nil
		case err != nil:
			return nil, false, errBodyBroken
		case int64(len(held)) >= limit && c.bodyLength != int64(len(held)):
			return held, false, nil
		}
	}
}

// growBody doubles the buffer within the limit and the memory budget. At the limit the buffer gets one more byte if
// it is full, so that the end of a body of exactly that length is seen.
func (s *Server) growBody(c *call, held []byte, limit int64) ([]byte, error) {
	size := max(2*int64(cap(held)), memoryStep)
	if size > limit {
		size = max(limit, int64(len(held))+1)
	}
	if !s.reserve(c, size-c.reservedBytes) {
		return nil, newCallError(http.StatusServiceUnavailable, CodeOverloaded, "too many bodies are held")
	}
	grown := make([]byte, len(held), size)
	copy(grown, held)
	return grown, nil
}

// pacedBody streams the unbuffered part of a body. It fails when the body exceeds the size limit, and when its mean
// rate since it began falls below the minimum after the grace period.
type pacedBody struct {
	reader         io.Reader
	conn           net.Conn
	remainingLimit int64 // bytes that may still follow under the size limit
	expectedBytes  int64 // announced bytes; -1 when unknown
	gracePeriod    time.Duration
	minRate        int // bytes per second
	began          time.Time
	deadline       time.Time // deadline of the request
	forwarded      int64     // bytes read so far
	failure        error     // error of the caller's body; nil without one
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.read(p)
	if err != nil && err != io.EOF {
		b.failure = err
	}
	return n, err
}

func (b *pacedBody) read(p []byte) (int, error) {
	allowed := b.gracePeriod + time.Duration(float64(b.forwarded)/float64(b.minRate)*float64(time.Second))
	limit := b.began.Add(allowed)
	if b.deadline.Before(limit) {
		limit = b.deadline
	}
	if err := b.conn.SetReadDeadline(limit); err != nil {
		return 0, errBodyBroken
	}
	n, err := b.reader.Read(p)
	b.forwarded += int64(n)
	b.remainingLimit -= int64(n)
	switch {
	case b.remainingLimit < 0:
		return 0, errBodyTooLarge
	case err == io.EOF && b.expectedBytes >= 0 && b.forwarded < b.expectedBytes:
		return n, errBodyBroken
	case err != nil && err != io.EOF:
		return n, errBodyBroken
	}
	return n, err
}

// failForCallerBody reports a send that failed because of the caller's body. The failure does not count against the
// back end. As the back end received the beginning of the request, it is unknown what it did.
func (x *exchange) failForCallerBody(cause error) {
	x.dropUpstream()
	x.releaseBackend(outcomeNeutral)
	x.bodyUnread = true
	if x.server.now() >= x.deadline {
		x.queueEvent(dispatch.Event{Kind: dispatch.DeadlinePassed})
		return
	}
	event := dispatch.Event{Kind: dispatch.SendUnknown, Status: http.StatusBadRequest, Code: codeBodyIncomplete, Reason: cause.Error()}
	if errors.Is(cause, errBodyTooLarge) {
		event.Status, event.Code = http.StatusRequestEntityTooLarge, codeBodyTooLarge
	}
	x.queueEvent(event)
}
