package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/rolecost"
)

const (
	rebindPause = 10 * time.Millisecond
	drainLimit  = 20 * time.Second
)

// server is the common interface of the servers of all roles.
type server interface {
	Address() string
	Run(context.Context) error
	Drain(context.Context) error
	Close() error
}

// process is a part of the fleet that can be drained, killed and restarted on the same address as if it were a
// process of its own. Its processor time is accounted under its name.
type process[S server] struct {
	name  string
	zone  string
	cable *cable // link to the control nodes; with cuttable: to all other parts
	// cuttable puts the cable and a byte counter between listener and server. A server that needs the underlying
	// connection cannot use them, so they are left out for such roles.
	cuttable bool
	open     func(ctx context.Context, listener net.Listener) (S, error)

	mutex     sync.Mutex // guards the fields below
	address   string
	bound     net.Listener // bound before the first start
	listeners []*rig.CountingListener
	current   S
	up        bool
	finished  chan error
	retired   []S // stopped servers, whose logs are still read
}

// bind reserves an address before the first start, so that other parts can be configured with it.
func (p *process[S]) bind() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	p.bound, p.address = listener, listener.Addr().String()
	return nil
}

// startNew starts a part on a free address, unless bind has reserved one.
func (p *process[S]) startNew(ctx context.Context) error {
	if p.bound == nil {
		if err := p.bind(); err != nil {
			return err
		}
	}
	return p.start(ctx)
}

// start opens the server and runs it until drain or kill.
func (p *process[S]) start(ctx context.Context) error {
	listener, err := p.listen(ctx)
	if err != nil {
		return err
	}
	served := p.wrap(listener)
	var opened S
	finished := make(chan error, 1)
	rolecost.Do(context.Background(), p.name, func(context.Context) {
		if opened, err = p.open(ctx, served); err == nil {
			go func() { finished <- opened.Run(context.Background()) }()
		}
	})
	if err != nil {
		_ = listener.Close()
		return trace.Wrap(err, "cannot start %s", p.name)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.current, p.up, p.finished = opened, true, finished
	return nil
}

func (p *process[S]) wrap(listener net.Listener) net.Listener {
	if !p.cuttable {
		return listener
	}
	counting := &rig.CountingListener{Listener: listener}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listeners = append(p.listeners, counting)
	return cableListener{Listener: counting, cable: p.cable}
}

// listen binds the address. It retries while an earlier owner releases it.
func (p *process[S]) listen(ctx context.Context) (net.Listener, error) {
	if listener := p.bound; listener != nil {
		p.bound = nil
		return listener, nil
	}
	for {
		listener, err := net.Listen("tcp4", p.address)
		if err == nil {
			return listener, nil
		}
		select {
		case <-ctx.Done():
			return nil, trace.Wrap(err)
		case <-time.After(rebindPause):
		}
	}
}

// running returns the current server and whether it is up.
func (p *process[S]) running() (S, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.current, p.up
}

// each calls visit with all earlier servers and the running one.
func (p *process[S]) each(visit func(S)) {
	p.mutex.Lock()
	all := append([]S(nil), p.retired...)
	if p.up {
		all = append(all, p.current)
	}
	p.mutex.Unlock()
	for _, one := range all {
		visit(one)
	}
}

// drain stops the server gracefully within drainLimit, and otherwise closes it.
func (p *process[S]) drain(ctx context.Context) error {
	stopping, up := p.running()
	if !up {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	err := stopping.Drain(ctx)
	if err != nil {
		_ = stopping.Close()
	}
	return p.retire(err)
}

// kill stops the server abruptly.
func (p *process[S]) kill() error {
	stopping, up := p.running()
	if !up {
		return nil
	}
	return p.retire(stopping.Close())
}

func (p *process[S]) retire(cause error) error {
	p.mutex.Lock()
	finished := p.finished
	p.retired, p.up = append(p.retired, p.current), false
	p.mutex.Unlock()
	if cause != nil {
		cause = trace.Wrap(cause, "%s stopped", p.name)
	}
	return trace.NewAggregate(cause, <-finished)
}

// bytes returns how many bytes crossed the listeners in both directions.
func (p *process[S]) bytes() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var total uint64
	for _, listener := range p.listeners {
		total += listener.Bytes()
	}
	return total
}

// release closes a reserved address that was never used.
func (p *process[S]) release() {
	if p.bound != nil {
		_ = p.bound.Close()
		p.bound = nil
	}
}
