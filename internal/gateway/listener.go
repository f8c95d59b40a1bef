package gateway

import (
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// limitedListener bounds the connections of callers in total and per IP address. Further connections are answered
// with the verdict "did not run" and closed.
type limitedListener struct {
	net.Listener
	limit      int
	perAddress int
	onRefused  func(reason string)

	mutex      sync.Mutex
	open       int
	byAddress  map[netip.Addr]int
	rejections chan struct{} // bounds refused connections that are still being answered
}

const (
	maxConcurrentRejections = 64
	rejectionTimeout        = 500 * time.Millisecond
)

func newLimitedListener(listener net.Listener, limit, perAddress int, onRefused func(reason string)) *limitedListener {
	return &limitedListener{Listener: listener, limit: limit, perAddress: perAddress, onRefused: onRefused,
		byAddress: map[netip.Addr]int{}, rejections: make(chan struct{}, maxConcurrentRejections)}
}

// Reasons for refusing a connection, used as metric label values.
const (
	refusedTotal   = "total"
	refusedAddress = "address"
)

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil // only with a listener that a test provides
		}
		address := remoteAddress(tcp)
		reason := l.register(address)
		if reason == "" {
			return &countedConn{TCPConn: tcp, release: sync.OnceFunc(func() { l.unregister(address) })}, nil
		}
		l.onRefused(reason)
		l.rejectConnection(tcp)
	}
}

func remoteAddress(conn *net.TCPConn) netip.Addr {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return remote.AddrPort().Addr().Unmap()
}

// register counts a connection, or returns the reason why it is refused.
func (l *limitedListener) register(address netip.Addr) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.open >= l.limit:
		return refusedTotal
	case l.byAddress[address] >= l.perAddress:
		return refusedAddress
	}
	l.open++
	l.byAddress[address]++
	return ""
}

func (l *limitedListener) unregister(address netip.Addr) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
	if l.byAddress[address]--; l.byAddress[address] == 0 {
		delete(l.byAddress, address)
	}
}

const tooManyConnectionsBody = `{"error":{"message":"too many connections are open","type":"server_error","code":"overloaded","verdict":"did-not-run","retry_after_seconds":1}}`

var tooManyConnectionsAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n" +
	"Retry-After: 1\r\nTamarindring-Verdict: did-not-run\r\nContent-Length: " + strconv.Itoa(len(tooManyConnectionsBody)) + "\r\n\r\n" + tooManyConnectionsBody)

// rejectConnection answers a connection before anything is read from it. It then discards the caller's bytes for up
// to rejectionTimeout, because closing with unread bytes would reset the connection and lose the answer.
func (l *limitedListener) rejectConnection(conn *net.TCPConn) {
	select {
	case l.rejections <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	go func() {
		defer func() { <-l.rejections }()
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(rejectionTimeout))
		if _, err := conn.Write(tooManyConnectionsAnswer); err != nil {
			return
		}
		_ = conn.CloseWrite()
		var discarded [4 << 10]byte
		for {
			if _, err := conn.Read(discarded[:]); err != nil {
				return
			}
		}
	}()
}

// countedConn is a caller's connection that counts towards the listener's limits until it is closed.
type countedConn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.release()
	return c.TCPConn.Close()
}
