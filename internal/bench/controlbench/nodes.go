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
	// roleNode is the role of package rolecost to which the processor time of the hollow nodes is attributed.
	roleNode = "node"
	// maxConcurrentJoins bounds the number of sessions that are being opened at the same time.
	maxConcurrentJoins = 32
	joinTimeout        = 30 * time.Second
)

// fleet is the set of hollow nodes. Each has its own client with one session.
type fleet struct {
	control  []string // addresses of the control nodes
	dialer   rig.CountingDialer
	progress *progress
	clients  []*controlclient.Client
}

// grow adds hollow nodes until there are size of them, and returns when all hold a lease.
func (f *fleet) grow(ctx context.Context, size int) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	joining, ctx := errgroup.WithContext(ctx)
	joining.SetLimit(maxConcurrentJoins)
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
	f.progress.reset(len(f.clients))
	return err
}

// join opens the session of one node. The goroutines of the session inherit the role, so that their processor time is
// attributed to the hollow nodes.
func (f *fleet) join(ctx context.Context, index int) (client *controlclient.Client, err error) {
	member := &wire.Member{Name: fmt.Sprintf("node-%03d", index), Role: wire.MemberRole_MEMBER_ROLE_GATEWAY,
		Address: fmt.Sprintf("127.0.0.1:%d", 20000+index), Zone: fmt.Sprintf("bench-%d", index%7), Region: "bench"}
	rolecost.Do(ctx, roleNode, func(ctx context.Context) {
		client, err = controlclient.New(controlclient.Config{Addresses: f.control, Member: member, Dial: f.dialer.Dial})
		if err != nil {
			return
		}
		var session *controlclient.Session
		if session, err = client.StartSession(ctx); err != nil {
			_ = client.Close()
			return
		}
		session.OnUpdate(func(view *table.View) { f.progress.report(view.Version()) })
	})
	return client, err
}

func (f *fleet) close() {
	for _, client := range f.clients {
		_ = client.Close()
	}
}

// progress records when the last node applied each table version. A node that receives two versions in one update
// applies and reports the later one only. The benchmark therefore makes one change at a time, so that every node
// reports every version.
type progress struct {
	mutex   sync.Mutex
	nodes   int
	nodesAt map[uint64]int       // number of nodes that reported this version
	reached map[uint64]time.Time // when the last node reported this version
	changed chan struct{}        // closed and replaced whenever a version is reached
}

func newProgress() *progress {
	return &progress{nodesAt: map[uint64]int{}, reached: map[uint64]time.Time{}, changed: make(chan struct{})}
}

// reset discards everything recorded and sets the number of nodes that must report a version.
func (p *progress) reset(nodes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nodes = nodes
	clear(p.nodesAt)
	clear(p.reached)
}

// report records that a node has applied version.
func (p *progress) report(version uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nodesAt[version]++
	if p.nodesAt[version] == p.nodes {
		p.reached[version] = time.Now()
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// waitReached waits until the last node has applied version and returns the time at which it did.
func (p *progress) waitReached(ctx context.Context, version uint64) (time.Time, error) {
	for {
		p.mutex.Lock()
		reachedAt, known := p.reached[version]
		changed := p.changed
		p.mutex.Unlock()
		if known {
			return reachedAt, nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-changed:
		}
	}
}
