package gateway

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of the reading behind an answer that was given before the whole body was read. Closing at once
// would reset the connection, and the caller would lose the answer.
const (
	lingerTime  = 2 * time.Second
	lingerBytes = 64 << 20
	maxLingers  = 256
)

// linger writes the answer that is set, which says that the connection closes, then has the rest of the
// unread body discarded and closes. When too many connections linger already, this one is closed at once.
func (s *Server) linger(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	answer := []byte(ctx.Response.String())
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_ = conn.SetWriteDeadline(time.Now().Add(lingerTime))
		if _, err := conn.Write(answer); err != nil {
			return
		}
		select {
		case s.lingers <- struct{}{}:
		default:
			return
		}
		defer func() { <-s.lingers }()
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, conn, lingerBytes)
	})
}
