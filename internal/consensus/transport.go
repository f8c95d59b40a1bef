package consensus

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// maxQueueBytes limits the messages queued for one peer. Further messages are dropped, which raft handles like
	// loss on the network.
	maxQueueBytes    = 32 << 20
	maxQueueMessages = 8192
	// maxBatchBytes is the size at which a batch is closed. With one more message and one more chunk it stays below
	// drpc's frame limit of 4 MiB.
	maxBatchBytes = 1 << 20
	// messageOverheadBytes is added to the data size of each message and of each entry.
	messageOverheadBytes = 64
)

// peerSet holds one sender per other node.
type peerSet struct {
	host  *Host
	nonce uint64 // identifies this start of the process

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

// run starts a sender for every known node and stops all senders when ctx ends.
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

// sender returns the sender to a node and starts it if necessary. It returns nil if the set has been stopped.
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

// eachProgress calls report for each node and group of which a chunk of a snapshot was sent since the last call.
func (p *peerSet) eachProgress(report func(node uint64, group uint32)) {
	p.mutex.Lock()
	senders := slices.Collect(maps.Values(p.senders))
	p.mutex.Unlock()
	for _, sender := range senders {
		for _, group := range sender.takeProgress() {
			report(sender.node, group)
		}
	}
}

// noteGreeting makes the sender to a node that has just greeted dial at once. If the node was unknown before, the
// sender greets it again, so that the node learns that it is known now.
func (p *peerSet) noteGreeting(node uint64, isNew bool) {
	if sender := p.sender(node); sender != nil {
		sender.noteGreeting(isNew)
	}
}

// queue holds the messages and snapshots that wait to be sent to one peer.
type queue struct {
	messages   []*wire.RaftMessage
	sizes      []int
	bytes      int
	transfers  []*snapshotTransfer // snapshots to be sent; each batch carries one chunk of the first
	greetAgain bool                // the next batch repeats the greeting
}

// add queues a message, or drops it if the queue is full.
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

// addTransfer queues a snapshot. It drops it, and returns false, while another snapshot of the same group is queued.
func (q *queue) addTransfer(added *snapshotTransfer) bool {
	for _, waiting := range q.transfers {
		if waiting.group == added.group {
			return false
		}
	}
	q.transfers = append(q.transfers, added)
	return true
}

// nextTransfer returns the snapshot of which the next batch carries a chunk, or nil.
func (q *queue) nextTransfer() *snapshotTransfer {
	if len(q.transfers) == 0 {
		return nil
	}
	return q.transfers[0]
}

// removeTransfer removes a snapshot that was sent or can't be read.
func (q *queue) removeTransfer(ended *snapshotTransfer) {
	q.transfers = slices.DeleteFunc(q.transfers, func(waiting *snapshotTransfer) bool { return waiting == ended })
}

// fill moves messages from the queue to a batch and reports whether the batch has any.
func (q *queue) fill(batch *wire.RaftBatch) bool {
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
	return len(batch.Messages) > 0
}
