package consensus

import (
	"context"
	"sync"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// maxQueueBytes bounds what waits for one peer; more is dropped, which raft takes for loss.
	maxQueueBytes    = 32 << 20
	maxQueueMessages = 8192
	// maxBatchBytes ends a batch; with one more message and one chunk it stays below drpc's 4 MiB frame.
	maxBatchBytes = 1 << 20
	// messageOverheadBytes is counted for a message or an entry besides its data.
	messageOverheadBytes = 64
)

// peerSet holds one sender per other node.
type peerSet struct {
	host  *Host
	nonce uint64 // of this start

	mutex   sync.Mutex
	senders map[uint64]*sender
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newPeerSet(host *Host, nonce uint64) *peerSet {
	ctx, cancel := context.WithCancel(host.ctx)
	return &peerSet{host: host, nonce: nonce, senders: map[uint64]*sender{}, ctx: ctx, cancel: cancel}
}

// run keeps connections to all known nodes until ctx ends.
func (p *peerSet) run(ctx context.Context) error {
	for _, node := range p.host.book.nodes() {
		p.sender(node)
	}
	<-ctx.Done()
	p.mutex.Lock()
	p.cancel()
	p.mutex.Unlock()
	p.running.Wait()
	return nil
}

// sender returns the sender to a node, starting it if need be; nil if the set has ended.
func (p *peerSet) sender(node uint64) *sender {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if existing := p.senders[node]; existing != nil {
		return existing
	}
	if p.ctx.Err() != nil {
		return nil
	}
	started := newSender(p.host, p.nonce, node)
	p.senders[node] = started
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		started.run(p.ctx)
	}()
	return started
}

// send queues a message for its receiver, or drops it.
func (p *peerSet) send(group uint32, message *raft.Message) {
	if sender := p.sender(message.To); sender != nil {
		sender.enqueue(group, message)
	}
}

// met notes a greeting from a node: it is reachable now, and if it was unknown before it should hear that
// it is known from now on.
func (p *peerSet) met(node uint64, news bool) {
	if sender := p.sender(node); sender != nil {
		sender.met(news)
	}
}

// queue is what waits for one peer.
type queue struct {
	messages []*wire.RaftMessage
	sizes    []int
	bytes    int
	chunks   []*wire.RaftMessage // of snapshots; one goes along with each batch
	greeting bool                // the next batch greets again
}

func (q *queue) add(message *wire.RaftMessage) {
	size := messageOverheadBytes
	for _, entry := range message.Entries {
		size += messageOverheadBytes + len(entry.Data)
	}
	if len(q.messages) >= maxQueueMessages || q.bytes+size > maxQueueBytes {
		return
	}
	q.messages = append(q.messages, message)
	q.sizes = append(q.sizes, size)
	q.bytes += size
}

// addChunks drops a snapshot while one of the same group is on its way.
func (q *queue) addChunks(chunks []*wire.RaftMessage) {
	for _, waiting := range q.chunks {
		if waiting.Group == chunks[0].Group {
			return
		}
	}
	q.chunks = append(q.chunks, chunks...)
}

// take fills a batch and tells whether anything is in it.
func (q *queue) take(batch *wire.RaftBatch) bool {
	size, count := 0, 0
	for count < len(q.messages) && size < maxBatchBytes {
		size += q.sizes[count]
		count++
	}
	batch.Messages = q.messages[:count:count]
	q.messages, q.sizes = q.messages[count:], q.sizes[count:]
	q.bytes -= size
	if len(q.messages) == 0 {
		q.messages, q.sizes = nil, nil
	}
	if len(q.chunks) > 0 {
		batch.Messages = append(batch.Messages, q.chunks[0])
		q.chunks[0] = nil // it refers to the whole snapshot
		q.chunks = q.chunks[1:]
	}
	if len(q.chunks) == 0 {
		q.chunks = nil
	}
	return len(batch.Messages) > 0
}
