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

// Error codes of bodies.
const (
	codeBodyIncomplete = "body_incomplete"
	codeBodyTooLarge   = "body_too_large"
)

// errBodyBroken means that the caller's body ended early or came too slowly.
var errBodyBroken = errors.New("the request's body ended early or came too slowly")

// errBodyTooLarge stops a body of unknown length at the limit.
var errBodyTooLarge = errors.New("the body is larger than the limit")

// readBody takes over the beginning of the body, and the whole of it when it fits the buffer.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *call) error {
	c.bodyLength = int64(ctx.Request.Header.ContentLength())
	if c.bodyLength > s.config.MaxBodyBytes {
		return bad(http.StatusRequestEntityTooLarge, codeBodyTooLarge,
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
	c.paced = &pacedBody{reader: stream, conn: ctx.Conn(), left: s.config.MaxBodyBytes - int64(len(held)), expected: expected,
		patience: s.config.ReadTimeout, rate: s.config.MinBodyRate, began: time.Now()}
	c.rest = c.paced
	return nil
}

// reserve takes bytes of the memory budget for the call; finishExchange gives them back.
func (s *Server) reserve(c *call, bytes int64) bool {
	if !s.memory.take(bytes) {
		return false
	}
	c.reserved += bytes
	return true
}

// readBeginning reads up to limit bytes and tells whether the body ends there. The buffer grows with what
// has come, never with what the caller has announced, so that a slow sender holds little of the budget.
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

// growBody doubles the buffer within the limit and the memory budget. A body that is exactly as long as
// the limit gets one byte more, so that its end is seen.
func (s *Server) growBody(c *call, held []byte, limit int64) ([]byte, error) {
	size := max(2*int64(cap(held)), memoryStep)
	if size > limit {
		size = max(limit, int64(len(held))+1)
	}
	if !s.reserve(c, size-c.reserved) {
		return nil, bad(http.StatusServiceUnavailable, CodeOverloaded, "too many bodies are held")
	}
	grown := make([]byte, len(held), size)
	copy(grown, held)
	return grown, nil
}

// pacedBody passes on the part of a body that is not held. It fails when the limit is passed, and when
// the caller sends more slowly than the least rate over the time since it began, after some patience.
type pacedBody struct {
	reader   io.Reader
	conn     net.Conn
	left     int64 // up to the size limit
	expected int64 // announced bytes; -1 when not known
	patience time.Duration
	rate     int // bytes per second
	began    time.Time
	until    time.Time // the request's deadline
	passed   int64
	failure  error // what was wrong with the body; nil while nothing is
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
	allowed := b.patience + time.Duration(float64(b.passed)/float64(b.rate)*float64(time.Second))
	limit := b.began.Add(allowed)
	if b.until.Before(limit) {
		limit = b.until
	}
	if err := b.conn.SetReadDeadline(limit); err != nil {
		return 0, errBodyBroken
	}
	n, err := b.reader.Read(p)
	b.passed += int64(n)
	b.left -= int64(n)
	switch {
	case b.left < 0:
		return 0, errBodyTooLarge
	case err == io.EOF && b.expected >= 0 && b.passed < b.expected:
		return n, errBodyBroken
	case err != nil && err != io.EOF:
		return n, errBodyBroken
	}
	return n, err
}

// blameBody reports a send that ended because of the caller's body. The back end is not to blame, and as
// it got the beginning of the request, nothing is known of what it did.
func (x *exchange) blameBody(cause error) {
	x.dropUpstream()
	x.leaveBackend(outcomeNeutral)
	x.unread = true
	if x.server.now() >= x.deadline {
		x.feed(dispatch.Event{Kind: dispatch.DeadlinePassed})
		return
	}
	event := dispatch.Event{Kind: dispatch.SendUnknown, Status: http.StatusBadRequest, Code: codeBodyIncomplete, Reason: cause.Error()}
	if errors.Is(cause, errBodyTooLarge) {
		event.Status, event.Code = http.StatusRequestEntityTooLarge, codeBodyTooLarge
	}
	x.feed(event)
}
