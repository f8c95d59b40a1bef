package consensus

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// slowLoadJournal is a journal whose answers to queries read a disk that answers nothing until allow is closed.
type slowLoadJournal struct {
	journal
	reading, most atomic.Int64
	started       chan struct{}
	allow         chan struct{}
}

func (j *slowLoadJournal) Prepare(query *wire.Query) (*wire.View, func() (*wire.View, error)) {
	view, _ := j.journal.Prepare(query)
	return nil, func() (*wire.View, error) {
		now := j.reading.Add(1)
		defer j.reading.Add(-1)
		for most := j.most.Load(); now > most && !j.most.CompareAndSwap(most, now); most = j.most.Load() {
		}
		j.started <- struct{}{}
		<-j.allow
		return view, nil
	}
}

// TestSlowReadsHoldUpCommands guards against commands, heartbeats and votes that wait while the answer to a query is read
// from a slow disk, and against many such answers that are held in memory at the same time.
func TestSlowReadsHoldUpCommands(t *testing.T) {
	const queries = 3 * maxConcurrentLoads
	machine := &slowLoadJournal{started: make(chan struct{}, queries), allow: make(chan struct{})}
	release := sync.OnceFunc(func() { close(machine.allow) })
	defer release()
	c := newCluster(t, 1, func(config *Config) {
		config.Groups = []uint32{0}
		config.NewStateMachine = func(uint32) StateMachine { return machine }
	})
	c.groups = []uint32{0}
	c.commit(0, "before")
	host := c.nodes[1].host
	answers := make(chan error, queries)
	for range queries {
		go func() {
			_, err := host.Query(context.Background(), 0, &wire.Query{})
			answers <- err
		}()
	}
	for range maxConcurrentLoads {
		<-machine.started
	}
	for number := range 20 {
		c.commit(0, fmt.Sprint("meanwhile ", number))
	}
	release()
	for range queries {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
	if most := machine.most.Load(); most > maxConcurrentLoads {
		t.Errorf("%d answers were read at the same time, want at most %d", most, maxConcurrentLoads)
	}
}
