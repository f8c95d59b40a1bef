package replica

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/answerconn"
)

const unlimited = math.MaxInt64

// connection is one connection to a replica.
type connection struct {
	net.Conn
	reader        *bufio.Reader
	answers       *answerconn.Reader // source of reader; checks the heads of answers
	limitedReader *io.LimitedReader  // source of answers; bounds the head of an answer
	connections   *replicaConnections
	reuseUntil    time.Time // end of the time in which an idle connection may be reused
	closeOnce     sync.Once
	idleTimeout   time.Duration
	// peerTimeout is Options.PeerTimeout.
	peerTimeout time.Duration
}

// abort closes the connection, which ends pending reads and writes.
func (c *connection) abort() { c.closeOnce.Do(func() { _ = c.Conn.Close() }) }

// keepAliveShare is the fraction of an announced Keep-Alive time for which an idle connection is reused. The rest avoids
// that the replica closes the connection while a request is on its way.
const keepAliveShare = 0.7

// setIdleTimeout sets how long the connection may be idle after an answer with this header. Without a Keep-Alive time in
// the header it is defaultTimeout.
func (c *connection) setIdleTimeout(header http.Header, defaultTimeout time.Duration) {
	c.idleTimeout = defaultTimeout
	for _, field := range header.Values("Keep-Alive") {
		for part := range strings.SplitSeq(field, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			seconds, err := strconv.ParseFloat(value, 64)
			if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
				c.idleTimeout = time.Duration(seconds * keepAliveShare * float64(time.Second))
			}
		}
	}
}

// replicaConnections holds the connections to one replica.
type replicaConnections struct {
	target Target
	open   int           // number of connections in use, idle or being opened
	idle   []*connection // in the order of their last use
}

// acquire returns a connection to the call's replica, or the reason why there is none.
func (c *Client) acquire(ctx context.Context, call *Call) (*connection, Refusal, error) {
	limit := call.MaxConnections
	if limit <= 0 {
		limit = c.options.MaxConnections
	}
	connections, conn, err := c.reserve(call.Target, limit)
	if err != nil {
		return nil, RefusedFull, err
	}
	if conn != nil {
		return conn, RefusedNone, nil
	}
	raw, err := c.options.Dial(ctx, call.Address)
	if err != nil {
		c.countClosed(connections)
		return nil, RefusedUnreachable, err
	}
	limited := &io.LimitedReader{R: raw, N: unlimited}
	answers := answerconn.NewReader(limited)
	return &connection{Conn: raw, limitedReader: limited, answers: answers, reader: bufio.NewReaderSize(answers, 4<<10), connections: connections,
		idleTimeout: c.options.IdleTimeout, peerTimeout: c.options.PeerTimeout}, RefusedNone, nil
}

// reserve returns an idle connection, or counts a connection that the caller must open. It returns ErrConnections if the
// limit is reached.
func (c *Client) reserve(target Target, limit int) (*replicaConnections, *connection, error) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, nil, net.ErrClosed
	}
	p := c.replicas[target]
	if p == nil {
		p = &replicaConnections{target: target}
		c.replicas[target] = p
	}
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(conn.reuseUntil) && isReusable(conn.Conn) {
			return p, conn, nil
		}
		p.open--
		conn.abort()
	}
	if p.open >= limit {
		return nil, nil, ErrConnections
	}
	p.open++
	return p, nil, nil
}

// release keeps a reusable connection as idle and closes any other.
func (c *Client) release(conn *connection, reusable bool) {
	now := c.options.Now()
	c.mu.Lock()
	if reusable && conn.idleTimeout > 0 && !c.closed {
		conn.reuseUntil = now.Add(conn.idleTimeout)
		conn.connections.idle = append(conn.connections.idle, conn)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	conn.abort()
	c.countClosed(conn.connections)
}

// countClosed counts a connection that was closed, or that could not be opened.
func (c *Client) countClosed(p *replicaConnections) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.open--
	if p.open == 0 && c.replicas[p.target] == p {
		delete(c.replicas, p.target)
	}
}

// CloseIdle closes the connections whose idle time is over. It should be called periodically; without it they are not
// reused either, but stay open.
func (c *Client) CloseIdle() { c.closeIdle(c.options.Now()) }

func (c *Client) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, p := range c.replicas {
		kept := p.idle[:0]
		for _, conn := range p.idle {
			if now.Before(conn.reuseUntil) && !c.closed {
				kept = append(kept, conn)
				continue
			}
			p.open--
			conn.abort()
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		if p.open == 0 {
			delete(c.replicas, target)
		}
	}
}

// Close closes the idle connections and makes further calls fail. Calls in progress are not interrupted.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseIdle()
}

// Load returns how many connections to a replica are open or being opened, including idle ones.
func (c *Client) Load(target Target) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.replicas[target]; p != nil {
		return p.open
	}
	return 0
}

// tcpDialer returns a function that opens TCP connections which fail when the peer acknowledges nothing for peerTimeout.
func tcpDialer(timeout, peerTimeout time.Duration) func(context.Context, string) (net.Conn, error) {
	const probes = 3
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: max(time.Second, peerTimeout/probes), Interval: max(time.Second, peerTimeout/probes), Count: probes,
	}}
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return nil, errors.Join(net.UnknownNetworkError("tcp"), conn.Close())
		}
		setUserTimeout(tcp, peerTimeout)
		return tcp, nil
	}
}
