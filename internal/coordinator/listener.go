package coordinator

import (
	stdlog "log"
	"net"
	"sync"

	"github.com/sirupsen/logrus"
)

// limitedListener bounds the number of open connections. Further ones wait in the operating system's accept queue.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(listener net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: listener, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConnection{Conn: connection, slots: l.slots}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConnection struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close implements net.Conn.
func (c *limitedConnection) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// newDebugLogger returns a logger that writes the HTTP library's messages, which are about trainers' connections, at
// debug level.
func newDebugLogger(log *logrus.Entry) *stdlog.Logger { return stdlog.New(debugWriter{log}, "", 0) }

type debugWriter struct{ log *logrus.Entry }

// Write implements io.Writer.
func (w debugWriter) Write(line []byte) (int, error) {
	w.log.Debugf("%s", line)
	return len(line), nil
}
