package coordinator

import (
	stdlog "log"
	"net"
	"sync"

	"github.com/sirupsen/logrus"
)

// limitedListener lets a bounded number of connections be open; more wait in the system's queue.
type limitedListener struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(listener net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: listener, places: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConnection{Conn: connection, places: l.places}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConnection struct {
	net.Conn
	places chan struct{}
	once   sync.Once
}

// Close implements net.Conn.
func (c *limitedConnection) Close() error {
	c.once.Do(func() { <-c.places })
	return c.Conn.Close()
}

// quietLog passes the HTTP library's complaints about trainers to debug level.
func quietLog(log *logrus.Entry) *stdlog.Logger { return stdlog.New(debugWriter{log}, "", 0) }

type debugWriter struct{ log *logrus.Entry }

// Write implements io.Writer.
func (w debugWriter) Write(line []byte) (int, error) {
	w.log.Debugf("%s", line)
	return len(line), nil
}
