// Package answerconn checks the heads of answers on their way from a connection to an HTTP library. What it lets through
// has a status line and fields whose names are names; see answercheck.HeadScanner.
package answerconn

import (
	"io"
	"net"

	"github.com/tamarindring/tamarindring/internal/answercheck"
)

// Reader reads answers from a connection. Begin must be called before each answer, and the reader that buffers its bytes
// must be empty then. It is not safe for concurrent use.
type Reader struct {
	source  io.Reader
	scanner answercheck.HeadScanner
	fault   error
}

// NewReader returns a Reader of a connection's bytes, ready for the first answer.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Begin expects the head of the next answer.
func (r *Reader) Begin() {
	r.scanner.Begin()
	r.fault = nil
}

// Fault returns the answercheck.Fault that was found since Begin, or nil.
func (r *Reader) Fault() error { return r.fault }

// Read implements io.Reader. It returns an answercheck.Fault in place of bytes of a head that is not an answer's.
func (r *Reader) Read(p []byte) (int, error) {
	if r.fault != nil {
		return 0, r.fault
	}
	n, err := r.source.Read(p)
	if r.fault = r.scanner.Scan(p[:n]); r.fault != nil {
		return 0, r.fault
	}
	return n, err
}

// Conn is a connection of a client that writes a whole request before it reads the answer. It is not for clients that
// read while they write.
type Conn struct {
	net.Conn
	reader *Reader
}

// Wrap returns a connection whose answers are checked.
func Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn, reader: NewReader(conn)} }

// Dial returns a function that opens connections with dial and checks the answers on them.
func Dial(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return Wrap(conn), nil
	}
}

// Write implements io.Writer. An answer is expected after it.
func (c *Conn) Write(p []byte) (int, error) {
	c.reader.Begin()
	return c.Conn.Write(p)
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) { return c.reader.Read(p) }
