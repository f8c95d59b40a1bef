package sim

import "time"

// network delays, loses, duplicates and reorders messages between processes, and can cut each direction separately.
type network struct {
	world         *world
	activeCuts    map[link]int           // number of active cuts, by link
	lastCutEnd    map[link]time.Duration // when the last cut ends, by link
	lossRate      float64
	duplicateRate float64
	lateRate      float64 // fraction of messages with extra delay
	maxExtraDelay time.Duration
}

// link is one direction between two processes, identified by their names.
type link struct{ from, to string }

const (
	zoneDelay   = 200 * time.Microsecond
	regionDelay = 2 * time.Millisecond
)

func newNetwork(w *world) *network {
	return &network{world: w, activeCuts: map[link]int{}, lastCutEnd: map[link]time.Duration{}, maxExtraDelay: time.Second}
}

func (n *network) isCut(from, to *process) bool { return n.activeCuts[link{from.name, to.name}] > 0 }

// cut drops everything from one process to another for a while.
func (n *network) cut(from, to *process, length time.Duration) {
	key := link{from.name, to.name}
	n.activeCuts[key]++
	n.lastCutEnd[key] = max(n.lastCutEnd[key], n.world.now+length)
	n.world.after(length, func() {
		if n.activeCuts[key] > 0 {
			n.activeCuts[key]--
		}
	})
}

// lastCutTime returns when two processes last could not reach each other, at most now.
func (n *network) lastCutTime(a, b *process) time.Duration {
	return min(max(n.lastCutEnd[link{a.name, b.name}], n.lastCutEnd[link{b.name, a.name}]), n.world.now)
}

// heal ends all network faults.
func (n *network) heal() {
	clear(n.activeCuts)
	n.lossRate, n.duplicateRate, n.lateRate = 0, 0, 0
}

func (n *network) drawDelay(from, to *process) time.Duration {
	base := zoneDelay
	if from.zone != to.zone {
		base = regionDelay
	}
	delay := base + n.world.exponentialDuration(base/4)
	if n.lateRate > 0 && n.world.randomBool(n.lateRate) {
		delay += n.world.randomDuration(0, n.maxExtraDelay)
	}
	return delay
}

// send delivers a message to the present run of a process unless it is lost. It may arrive twice, and messages may
// overtake each other.
func (n *network) send(from, to *process, receive func()) {
	if n.drawLoss(from, to) {
		return
	}
	n.deliver(from, to, receive)
	if n.duplicateRate > 0 && n.world.randomBool(n.duplicateRate) {
		n.deliver(from, to, receive)
	}
}

// sendOnce is send without duplication, for a message on a connection.
func (n *network) sendOnce(from, to *process, receive func()) {
	if !n.drawLoss(from, to) {
		n.deliver(from, to, receive)
	}
}

// reply is sendOnce to the run of the process that asked.
func (n *network) reply(from *process, to run, receive func()) {
	if to.isAlive() {
		n.sendOnce(from, to.process, receive)
	}
}

func (n *network) drawLoss(from, to *process) bool {
	return n.isCut(from, to) || n.lossRate > 0 && n.world.randomBool(n.lossRate)
}

func (n *network) deliver(from, to *process, receive func()) {
	epoch := to.epoch
	n.world.after(n.drawDelay(from, to), func() {
		if !n.isCut(from, to) {
			to.runInEpoch(epoch, receive)
		}
	})
}

// stream is one direction of a connection. It delivers in order. Once a message was lost it delivers nothing more, as
// a half-open connection does.
type stream struct {
	from, to *process
	epoch    uint64
	broken   bool
	lastAt   time.Duration
}

func (n *network) openStream(from *process, to run) *stream {
	return &stream{from: from, to: to.process, epoch: to.epoch}
}

func (s *stream) send(receive func()) {
	n := s.from.world.network
	if s.broken || n.drawLoss(s.from, s.to) {
		s.broken = true
		return
	}
	at := max(n.world.now+n.drawDelay(s.from, s.to), s.lastAt)
	s.lastAt = at
	n.world.after(at-n.world.now, func() {
		if n.isCut(s.from, s.to) {
			s.broken = true
		}
		if !s.broken {
			s.to.runInEpoch(s.epoch, receive)
		}
	})
}
