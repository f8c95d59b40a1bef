package gateway

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of reading the rest of a body after an early answer. If the connection were closed at once, unread bytes
// would reset it and the caller would lose the answer.
const (
	discardTimeout  = 2 * time.Second
	maxDiscardBytes = 64 << 20
	maxDiscards     = 256
)

// answerAndDiscardBody writes the prepared answer with "Connection: close", discards the rest of the unread body
// and closes the connection. If too many connections are being discarded already, this one is closed at once.
func (s *Server) answerAndDiscardBody(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	answer := []byte(ctx.Response.String())
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_ = conn.SetWriteDeadline(time.Now().Add(discardTimeout))
		if _, err := conn.Write(answer); err != nil {
			return
		}
		select {
		case s.discardSlots <- struct{}{}:
		default:
			return
		}
		defer func() { <-s.discardSlots }()
		_ = conn.SetReadDeadline(time.Now().Add(discardTimeout))
		_, _ = io.CopyN(io.Discard, conn, maxDiscardBytes)
	})
}
