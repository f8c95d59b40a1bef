package fleet

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// sendBuffer is how many bytes a connection accepts while its cable is cut, like the kernel's send buffer.
	sendBuffer = 1 << 20
)

// cable is the network link between one part and the others. While it is cut, connections are neither refused nor
// closed and no bytes arrive. What was sent arrives after the repair, as it does through TCP retransmission.
type cable struct {
	mutex       sync.Mutex
	holdsIn     bool
	holdsOut    bool
	repaired    chan struct{} // closed while nothing is held
	connections map[*cableConnection]struct{}
}

func newCable() *cable {
	repaired := make(chan struct{})
	close(repaired)
	return &cable{repaired: repaired, connections: map[*cableConnection]struct{}{}}
}

// cut stops incoming bytes, outgoing bytes, or both.
func (c *cable) cut(in, out bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.holdsIn && !c.holdsOut {
		c.repaired = make(chan struct{})
	}
	c.holdsIn, c.holdsOut = in, out
}

// repair ends the cut and sends what was held.
func (c *cable) repair() {
	c.mutex.Lock()
	if c.holdsIn || c.holdsOut {
		c.holdsIn, c.holdsOut = false, false
		close(c.repaired)
	}
	open := make([]*cableConnection, 0, len(c.connections))
	for connection := range c.connections {
		open = append(open, connection)
	}
	c.mutex.Unlock()
	for _, connection := range open {
		connection.flush()
	}
}

// blocked returns a channel that is closed when the cable is repaired, or nil when the given direction is not cut.
func (c *cable) blocked(out bool) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if (out && c.holdsOut) || (!out && c.holdsIn) {
		return c.repaired
	}
	return nil
}

// dial implements controlclient.DialFunc. A new connection over a cut cable waits for the repair, for at most
// dialTimeout.
func (c *cable) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for _, out := range []bool{true, false} {
		if held := c.blocked(out); held != nil {
			timer := time.NewTimer(dialTimeout)
			defer timer.Stop()
			select {
			case <-held:
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-timer.C:
				return nil, os.ErrDeadlineExceeded
			}
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.attach(connection), nil
}

func (c *cable) attach(inner net.Conn) *cableConnection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	made := &cableConnection{Conn: inner, cable: c, closed: make(chan struct{})}
	c.connections[made] = struct{}{}
	return made
}

func (c *cable) detach(connection *cableConnection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.connections, connection)
}

// cableListener attaches the connections that it accepts to a cable.
type cableListener struct {
	net.Listener
	cable *cable
}

// Accept implements net.Listener.
func (l cableListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.cable.attach(connection), nil
}

// cableConnection is a connection over a cable.
type cableConnection struct {
	net.Conn
	cable   *cable
	closed  chan struct{}
	closing sync.Once

	readMutex sync.Mutex
	arrived   []byte // read from the network while incoming bytes were held

	writeMutex sync.Mutex
	pending    []byte // written while outgoing bytes were held

	deadlineMutex sync.Mutex
	readDeadline  time.Time
}

// Read implements net.Conn. It holds back what arrives over a cut cable, including the end of the stream.
func (c *cableConnection) Read(buffer []byte) (int, error) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	if err := c.awaitArrival(); err != nil {
		return 0, err
	}
	if len(c.arrived) > 0 {
		count := copy(buffer, c.arrived)
		c.arrived = c.arrived[count:]
		return count, nil
	}
	count, err := c.Conn.Read(buffer)
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	if held := c.awaitArrival(); held != nil {
		c.arrived = append(c.arrived, buffer[:count]...)
		return 0, held
	}
	return count, err
}

// awaitArrival waits until bytes may arrive, the connection is closed, or its read deadline has passed.
func (c *cableConnection) awaitArrival() error {
	held := c.cable.blocked(false)
	if held == nil {
		return nil
	}
	c.deadlineMutex.Lock()
	deadline := c.readDeadline
	c.deadlineMutex.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-held:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

func (c *cableConnection) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Write implements net.Conn. Over a cut cable it accepts sendBuffer bytes and then blocks.
func (c *cableConnection) Write(buffer []byte) (int, error) {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	for {
		held := c.cable.blocked(true)
		if held == nil {
			break
		}
		if len(c.pending)+len(buffer) <= sendBuffer {
			c.pending = append(c.pending, buffer...)
			return len(buffer), nil
		}
		select {
		case <-held:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	if err := c.writePending(); err != nil {
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// writePending sends the held bytes. The caller holds writeMutex.
func (c *cableConnection) writePending() error {
	if len(c.pending) == 0 {
		return nil
	}
	pending := c.pending
	c.pending = nil
	_, err := c.Conn.Write(pending)
	return err
}

func (c *cableConnection) flush() {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if c.cable.blocked(true) == nil {
		_ = c.writePending()
	}
}

// SetReadDeadline implements net.Conn.
func (c *cableConnection) SetReadDeadline(deadline time.Time) error {
	c.deadlineMutex.Lock()
	c.readDeadline = deadline
	c.deadlineMutex.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *cableConnection) SetDeadline(deadline time.Time) error {
	c.deadlineMutex.Lock()
	c.readDeadline = deadline
	c.deadlineMutex.Unlock()
	return c.Conn.SetDeadline(deadline)
}

// Close implements net.Conn. The peer sees the close only once the cable is repaired.
func (c *cableConnection) Close() error {
	var err error
	c.closing.Do(func() {
		close(c.closed)
		if held := c.cable.blocked(true); held != nil {
			_ = c.Conn.SetReadDeadline(time.Now()) // ends a pending read
			go func() {
				<-held
				c.flush()
				c.cable.detach(c)
				_ = c.Conn.Close()
			}()
			return
		}
		c.cable.detach(c)
		err = c.Conn.Close()
	})
	return err
}
