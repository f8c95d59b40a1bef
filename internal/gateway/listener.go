package gateway

import (
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// limitedListener accepts callers up to a number of connections in all and from one IP number. More are
// told so, with the verdict "did not run", and closed.
type limitedListener struct {
	net.Listener
	limit      int
	perAddress int
	refused    func(reason string)

	mutex     sync.Mutex
	open      int
	byAddress map[netip.Addr]int
	farewells chan struct{} // bounds refused connections that are still being answered
}

const (
	maxFarewells = 64
	farewellTime = 500 * time.Millisecond
)

func newLimitedListener(listener net.Listener, limit, perAddress int, refused func(reason string)) *limitedListener {
	return &limitedListener{Listener: listener, limit: limit, perAddress: perAddress, refused: refused,
		byAddress: map[netip.Addr]int{}, farewells: make(chan struct{}, maxFarewells)}
}

// The reasons for which a connection is refused, as label values.
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
			return conn, nil // a test's listener
		}
		address := addressOf(tcp)
		reason := l.take(address)
		if reason == "" {
			return &countedConn{TCPConn: tcp, release: sync.OnceFunc(func() { l.give(address) })}, nil
		}
		l.refused(reason)
		l.sendAway(tcp)
	}
}

func addressOf(conn *net.TCPConn) netip.Addr {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return remote.AddrPort().Addr().Unmap()
}

// take counts a connection, or returns why it may not be opened.
func (l *limitedListener) take(address netip.Addr) string {
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

func (l *limitedListener) give(address netip.Addr) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
	if l.byAddress[address]--; l.byAddress[address] == 0 {
		delete(l.byAddress, address)
	}
}

const tooManyBody = `{"error":{"message":"too many connections are open","type":"server_error","code":"overloaded","verdict":"did-not-run","retry_after_seconds":1}}`

var tooManyAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n" +
	"Retry-After: 1\r\nTamarindring-Verdict: did-not-run\r\nContent-Length: " + strconv.Itoa(len(tooManyBody)) + "\r\n\r\n" + tooManyBody)

// sendAway answers before anything is read. The caller's bytes are then discarded for a moment, because a
// close with unread bytes would reset the connection and lose the answer.
func (l *limitedListener) sendAway(conn *net.TCPConn) {
	select {
	case l.farewells <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	go func() {
		defer func() { <-l.farewells }()
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(farewellTime))
		if _, err := conn.Write(tooManyAnswer); err != nil {
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

// countedConn is a caller's connection that counts until it is closed.
type countedConn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.release()
	return c.TCPConn.Close()
}
