package sendbuffer

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/progress"
)

// transport is a connection that supports writes without waiting.
type transport interface {
	net.Conn
	// TryWrite writes as many bytes as the system accepts immediately, possibly none, and returns their number.
	TryWrite(data []byte) (int, error)
}

// Conn is a connection with a buffer for bytes that the system does not accept yet.
type Conn struct {
	transport
	set *Set

	writeMutex   sync.Mutex // held during Write; locked before mu
	mu           sync.Mutex // guards the fields below
	changed      *sync.Cond // signals that bytes were sent or the connection failed
	queue        queue
	request      string         // request whose answer is written
	meter        progress.Meter // progress of the peer; valid while active is set
	active       bool           // bytes are being sent, by a goroutine or by a waiting writer
	writerWaits  bool           // a writer waits for the peer
	blockedSince time.Duration  // start of the last write of which the system did not accept all bytes immediately
	closing      bool           // the connection is closed once everything is sent
	err          error          // why nothing is sent any more
}

// Wrap adds a connection to the set. The set controls its write deadlines.
func (s *Set) Wrap(conn net.Conn) *Conn {
	made := &Conn{transport: wrapTransport(conn), set: s}
	made.changed = sync.NewCond(&made.mu)
	return made
}

// SetRequest sets the request whose answer is written from now on. It is reported in Cut.Request.
func (c *Conn) SetRequest(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request
}

// SetWriteDeadline implements net.Conn. It has no effect, because the timeouts of the set apply to peers that do not read.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn. It sets only the read deadline.
func (c *Conn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// Write implements net.Conn. Buffered bytes count as written. After the connection was cut off it returns the cause.
func (c *Conn) Write(data []byte) (int, error) {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	written := 0
	if c.err == nil && !c.active {
		n, err := c.TryWrite(data)
		if n == len(data) {
			return n, nil
		}
		written, c.err = max(n, 0), err
	}
	c.blockedSince = c.set.now()
	for written < len(data) && c.err == nil {
		written += c.bufferOrWait(data[written:])
	}
	if c.err != nil {
		return written, c.err
	}
	return written, nil
}

// pieceBytes is the maximum size of a piece of the buffer.
const pieceBytes = 32 << 10

// bufferOrWait buffers the next bytes or, if there is no free space, waits until some are sent. It returns how many bytes
// of data were accepted. The caller holds both mutexes.
func (c *Conn) bufferOrWait(data []byte) (accepted int) {
	piece := data[:min(len(data), pieceBytes)]
	if c.queue.append(piece) {
		return len(piece)
	}
	room := pieceCapacity(len(piece))
	if c.queue.reserved+room > c.set.maxPerConnection || !c.reserve(room) {
		return c.waitOrSend(data)
	}
	if c.err != nil { // the connection was cut off while the mutex was unlocked
		c.set.release(room)
		return 0
	}
	c.queue.push(piece, room, c.request)
	if !c.active {
		c.startSending()
		go c.sendQueue()
	}
	return len(piece)
}

// reserve reserves bytes of the budget. It unlocks the mutex meanwhile, because the set may lock those of all connections.
func (c *Conn) reserve(room int64) bool {
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.set.reserve(room)
}

// startSending marks the connection as slow and starts to measure the peer's progress. The caller holds the mutex.
func (c *Conn) startSending() {
	c.active = true
	c.meter = progress.NewMeter(MinProgressBytes, c.set.now())
	c.set.add(c)
}

// stopSending marks the connection as no longer slow, and closes it if Close was called. The caller holds the mutex.
func (c *Conn) stopSending() {
	c.active = false
	c.set.remove(c)
	_ = c.transport.SetWriteDeadline(time.Time{})
	c.changed.Broadcast()
	if c.closing {
		_ = c.transport.Close()
	}
}

// waitOrSend waits until some buffered bytes are sent or, if nothing is buffered, sends data itself. It returns how many
// bytes of data it sent. The caller holds both mutexes.
func (c *Conn) waitOrSend(data []byte) (sent int) {
	c.writerWaits = true
	c.set.blocked.Add(1)
	defer func() { c.writerWaits = false; c.set.blocked.Add(-1) }()
	if c.active {
		c.changed.Wait()
		return 0
	}
	c.startSending()
	defer c.stopSending()
	for sent < len(data) && c.err == nil {
		sent += c.send(data[sent:])
	}
	return sent
}

// sendQueue sends the buffered bytes until the buffer is empty or the connection fails.
func (c *Conn) sendQueue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil {
		next := c.queue.next()
		if len(next) == 0 {
			break
		}
		n := c.send(next)
		if c.err == nil {
			c.set.release(c.queue.advance(n))
			c.changed.Broadcast()
		}
	}
	c.stopSending()
}

// send sends bytes for at most progressInterval, and cuts the connection off if the peer does not make sufficient
// progress. The caller holds the mutex, which is unlocked during the write.
func (c *Conn) send(data []byte) (sent int) {
	c.mu.Unlock()
	_ = c.transport.SetWriteDeadline(time.Now().Add(progressInterval))
	sent, err := c.transport.Write(data)
	c.mu.Lock()
	now := c.set.now()
	c.meter.Add(now, int64(sent))
	still := c.meter.StalledFor(now)
	switch {
	case c.err != nil:
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		c.fail(err)
	case c.writerWaits && min(still, now-c.blockedSince) >= BlockedTimeout:
		c.cutOffLocked(ErrBlocked)
	case still >= StillTimeout:
		c.cutOffLocked(ErrStill)
	}
	return sent
}

// stillFor returns how long the peer has not made sufficient progress, or 0 if nothing is to be sent.
func (c *Conn) stillFor(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active || c.err != nil {
		return 0
	}
	return c.meter.StalledFor(now)
}

// cutOff cuts the connection off. It returns false if everything was sent meanwhile or the connection has failed already.
func (c *Conn) cutOff(cause error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active || c.err != nil {
		return false
	}
	c.cutOffLocked(cause)
	return true
}

// cutOffLocked reports the cut, resets the connection and discards its buffer. The caller holds the mutex.
func (c *Conn) cutOffLocked(cause error) {
	c.set.counts.countCut(cause)
	if c.set.config.OnCut != nil {
		c.set.config.OnCut(Cut{Remote: c.RemoteAddr(), Request: c.queue.nextRequest(c.request), Unsent: c.queue.unsentBytes(),
			StalledFor: c.meter.StalledFor(c.set.now()), Cause: cause})
	}
	resetConnection(c.transport)
	c.fail(cause)
}

// fail closes the connection and discards its buffer. The caller holds the mutex.
func (c *Conn) fail(cause error) {
	c.err = cause
	c.set.release(c.queue.discard())
	_ = c.transport.Close()
	c.changed.Broadcast()
}

// Close implements net.Conn. The connection is closed in the background after the buffered bytes are sent. Reads fail from
// now on, because the answer to another request could not be sent.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active && c.err == nil {
		c.closing = true
		return c.SetReadDeadline(time.Now())
	}
	return c.transport.Close()
}

// Read implements net.Conn. It returns net.ErrClosed after Close, also while buffered bytes are still being sent.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	n, err := c.transport.Read(buffer)
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
