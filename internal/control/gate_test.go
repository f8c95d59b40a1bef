package control

import (
	"context"
	"net"
	"sync"
	"time"
)

// gate dials TCP and can cut all its connections without closing them: data stops arriving, and no error occurs.
type gate struct {
	mutex sync.Mutex
	open  chan struct{} // closed while traffic passes
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) cut() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) heal() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	close(g.open)
}

func (g *gate) passage() chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.open
}

// dial implements controlclient.DialFunc.
func (g *gate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-g.passage():
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: g, closed: make(chan struct{})}, nil
}

// gatedConn blocks traffic while the gate is cut. Blocked data arrives after the gate heals.
type gatedConn struct {
	net.Conn
	gate   *gate
	once   sync.Once
	closed chan struct{}
}

func (c *gatedConn) pass() error {
	select {
	case <-c.gate.passage():
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

func (c *gatedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if passError := c.pass(); passError != nil {
		return 0, passError
	}
	return count, err
}

func (c *gatedConn) Write(buffer []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// shiftedClock is a clock that a test can advance, to simulate a paused machine.
type shiftedClock struct {
	mutex sync.Mutex
	shift time.Duration
	base  func() time.Duration
}

func (c *shiftedClock) now() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.base() + c.shift
}

func (c *shiftedClock) jump(by time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.shift += by
}
