package raft

// progressState is the mode in which a leader sends to another node.
type progressState uint8

const (
	probing      progressState = iota // one append at a time, until the logs are known to match
	replicating                       // pipelined appends, up to a full window
	snapshotting                      // nothing, until the snapshot is acknowledged or its retry is due
)

// progress is a leader's view of one member; a leader has one for itself too.
type progress struct {
	node                   uint64
	state                  progressState
	match                  uint64 // highest index known to be on the node's disk
	next                   uint64 // next index to send
	sentCommit             uint64 // highest commit index sent
	probeSent              bool   // a probe is in flight
	emptyAppendNeeded      bool   // send an empty append, whose reply tells whether the last appends arrived
	matchAtLastReply       uint64 // match at the last heartbeat reply; if unchanged at the next, sending has stalled
	ticksSinceReply        int    // ticks since any reply of the node
	ticksSinceDurableReply int    // ticks since a reply that waits for the node's disk
	repliedInTerm          bool   // a reply that waits for its disk came since the leadership began
	snapshotTicks          int    // ticks since the snapshot was sent, or since the last progress of sending it
	snapshotTries          int    // snapshots sent since the node last acknowledged anything new
	snapshotIndex          uint64
	readRound              uint64 // latest read round that the node confirmed
	inflight               inflight
}

// canSend reports whether another append may be sent now.
func (p *progress) canSend() bool {
	switch p.state {
	case probing:
		return !p.probeSent
	case replicating:
		return !p.inflight.full()
	default:
		return false
	}
}

// become enters a state and continues after the match index.
func (p *progress) become(state progressState) {
	p.state, p.probeSent, p.emptyAppendNeeded, p.snapshotTicks = state, false, false, 0
	p.inflight.reset()
	p.next = p.match + 1
}

// acknowledge records that the node's disk holds the log up to index, and reports whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	p.inflight.free(index)
	if index <= p.match {
		return false
	}
	p.match, p.snapshotTries = index, 0
	p.next = max(p.next, index+1)
	return true
}

// inflight is a ring of the last indexes of unacknowledged appends, oldest first.
type inflight struct {
	ring  []uint64
	start int
	count int
}

func (f *inflight) full() bool { return f.count == len(f.ring) }

func (f *inflight) reset() { f.start, f.count = 0, 0 }

func (f *inflight) add(last uint64) {
	f.ring[(f.start+f.count)%len(f.ring)] = last
	f.count++
}

// free removes the appends that an acknowledgement of index covers.
func (f *inflight) free(index uint64) {
	for f.count > 0 && f.ring[f.start] <= index {
		f.start = (f.start + 1) % len(f.ring)
		f.count--
	}
}
