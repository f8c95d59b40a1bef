package controlbench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/rolecost"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// roleNode is the role that the hollow nodes' processor time is accounted to.
	roleNode = "node"
	// joinersAtOnce bounds the sessions that are being opened.
	joinersAtOnce = 32
	joinTimeout   = 30 * time.Second
)

// fleet is the hollow nodes: each has a client of its own with one session.
type fleet struct {
	control  []string // addresses
	traffic  rig.CountingDialer
	progress *progress
	clients  []*controlclient.Client
}

// grow adds hollow nodes until there are size and returns when all hold a lease.
func (f *fleet) grow(ctx context.Context, size int) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	joining, ctx := errgroup.WithContext(ctx)
	joining.SetLimit(joinersAtOnce)
	var mutex sync.Mutex
	for index := len(f.clients); index < size; index++ {
		joining.Go(func() error {
			client, err := f.join(ctx, index)
			if err != nil {
				return err
			}
			mutex.Lock()
			defer mutex.Unlock()
			f.clients = append(f.clients, client)
			return nil
		})
	}
	err := joining.Wait()
	f.progress.setNodes(len(f.clients))
	return err
}

// join opens one node's session; its goroutines inherit the role.
func (f *fleet) join(ctx context.Context, index int) (client *controlclient.Client, err error) {
	member := &wire.Member{Name: fmt.Sprintf("node-%03d", index), Role: wire.MemberRole_MEMBER_ROLE_GATEWAY,
		Address: fmt.Sprintf("127.0.0.1:%d", 20000+index), Zone: fmt.Sprintf("bench-%d", index%7), Region: "bench"}
	rolecost.Do(ctx, roleNode, func(ctx context.Context) {
		client, err = controlclient.New(controlclient.Config{Addresses: f.control, Member: member, Dial: f.traffic.Dial})
		if err != nil {
			return
		}
		var session *controlclient.Session
		if session, err = client.StartSession(ctx); err != nil {
			_ = client.Close()
			return
		}
		session.OnUpdate(func(view *table.View) { f.progress.acted(view.Version()) })
	})
	return client, err
}

func (f *fleet) close() {
	for _, client := range f.clients {
		_ = client.Close()
	}
}

// progress notes when the last node acted on each table version. A node that gets two versions in one
// update acts on the later one only, so a version is reached when every node acts on it or a later one.
type progress struct {
	mutex   sync.Mutex
	nodes   int
	count   map[uint64]int // nodes that moved to exactly this version
	reached map[uint64]time.Time
	moved   chan struct{} // closed at each step
}

func newProgress() *progress {
	return &progress{count: map[uint64]int{}, reached: map[uint64]time.Time{}, moved: make(chan struct{})}
}

// setNodes starts over with a number of nodes.
func (p *progress) setNodes(nodes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nodes = nodes
	clear(p.count)
	clear(p.reached)
}

// acted notes that a node acts on version from now on. Changes are made one at a time, so that no node
// can skip one.
func (p *progress) acted(version uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.count[version]++
	if p.count[version] == p.nodes {
		p.reached[version] = time.Now()
		close(p.moved)
		p.moved = make(chan struct{})
	}
}

// wait returns when the last node acted on version.
func (p *progress) wait(ctx context.Context, version uint64) (time.Time, error) {
	for {
		p.mutex.Lock()
		at, known := p.reached[version]
		moved := p.moved
		p.mutex.Unlock()
		if known {
			return at, nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-moved:
		}
	}
}
