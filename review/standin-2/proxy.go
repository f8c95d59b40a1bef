package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to one process. It can make the open connections silent for good, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	open  map[*relayed]struct{}
}

// relayed is one forwarded connection.
type relayed struct {
	near, far net.Conn
	mutex     sync.Mutex
	silent    bool
}

func startProxy(listen, target string) *proxy {
	listener, err := net.Listen("tcp", listen)
	must(err)
	p := &proxy{listener: listener, target: target, open: map[*relayed]struct{}{}}
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

// serve forwards one connection until one side closes it.
func (p *proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0) // a dead port resets
		_ = near.Close()
		return
	}
	one := &relayed{near: near, far: far}
	p.mutex.Lock()
	p.open[one] = struct{}{}
	p.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { one.copy(far, near) })
	both.Go(func() { one.copy(near, far) })
	both.Wait()
	if one.isSilent() {
		return // both ends stay open, and nothing passes any more
	}
	p.mutex.Lock()
	delete(p.open, one)
	p.mutex.Unlock()
}

// copy forwards one direction.
func (r *relayed) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if r.isSilent() {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		switch {
		case err == io.EOF:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			_ = r.near.Close()
			_ = r.far.Close()
			return
		}
	}
}

func (r *relayed) isSilent() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.silent
}

// silence makes all open connections silent for good and returns their number. They are neither closed nor reset.
func (p *proxy) silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for one := range p.open {
		one.mutex.Lock()
		one.silent = true
		one.mutex.Unlock()
	}
	return len(p.open)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for one := range p.open {
		_ = one.near.Close()
		_ = one.far.Close()
	}
}
