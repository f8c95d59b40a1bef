package sim

import "time"

// network delays, loses, repeats and reorders what processes send, and has cuts in one direction.
type network struct {
	world     *world
	cuts      map[link]int           // number of cuts that hold
	cutUntil  map[link]time.Duration // end of the last cut
	loss      float64
	duplicate float64
	slow      float64 // part of the messages that are late
	slowLimit time.Duration
}

// link is one direction between two processes, by name.
type link struct{ from, to string }

const (
	zoneDelay   = 200 * time.Microsecond
	regionDelay = 2 * time.Millisecond
)

func newNetwork(w *world) *network {
	return &network{world: w, cuts: map[link]int{}, cutUntil: map[link]time.Duration{}, slowLimit: time.Second}
}

func (n *network) isCut(from, to *process) bool { return n.cuts[link{from.name, to.name}] > 0 }

// cut holds back everything from one process to another for a while.
func (n *network) cut(from, to *process, length time.Duration) {
	key := link{from.name, to.name}
	n.cuts[key]++
	n.cutUntil[key] = max(n.cutUntil[key], n.world.now+length)
	n.world.after(length, func() {
		if n.cuts[key] > 0 {
			n.cuts[key]--
		}
	})
}

// lastCut is when two processes last could not hear each other.
func (n *network) lastCut(a, b *process) time.Duration {
	return min(max(n.cutUntil[link{a.name, b.name}], n.cutUntil[link{b.name, a.name}]), n.world.now)
}

// heal ends all faults of the network.
func (n *network) heal() {
	clear(n.cuts)
	n.loss, n.duplicate, n.slow = 0, 0, 0
}

func (n *network) delay(from, to *process) time.Duration {
	base := zoneDelay
	if from.zone != to.zone {
		base = regionDelay
	}
	delay := base + n.world.exponential(base/4)
	if n.slow > 0 && n.world.chance(n.slow) {
		delay += n.world.between(0, n.slowLimit)
	}
	return delay
}

// send brings a message to the present run of a process, if it gets through. Messages may overtake.
func (n *network) send(from, to *process, receive func()) {
	if n.lost(from, to) {
		return
	}
	n.arrive(from, to, receive)
	if n.duplicate > 0 && n.world.chance(n.duplicate) {
		n.arrive(from, to, receive)
	}
}

// once is send without repetition: a message on a connection.
func (n *network) once(from, to *process, receive func()) {
	if !n.lost(from, to) {
		n.arrive(from, to, receive)
	}
}

// reply is once to the very run of a process that asked.
func (n *network) reply(from *process, to run, receive func()) {
	if to.alive() {
		n.once(from, to.process, receive)
	}
}

func (n *network) lost(from, to *process) bool {
	return n.isCut(from, to) || n.loss > 0 && n.world.chance(n.loss)
}

func (n *network) arrive(from, to *process, receive func()) {
	epoch := to.epoch
	n.world.after(n.delay(from, to), func() {
		if !n.isCut(from, to) {
			to.enter(epoch, receive)
		}
	})
}

// stream is one direction of a connection: in order, and silent for good once a message was lost, as a
// half-open connection is.
type stream struct {
	from, to *process
	epoch    uint64
	broken   bool
	lastAt   time.Duration
}

func (n *network) open(from *process, to run) *stream {
	return &stream{from: from, to: to.process, epoch: to.epoch}
}

func (s *stream) send(receive func()) {
	n := s.from.world.network
	if s.broken || n.lost(s.from, s.to) {
		s.broken = true
		return
	}
	at := max(n.world.now+n.delay(s.from, s.to), s.lastAt)
	s.lastAt = at
	n.world.after(at-n.world.now, func() {
		if n.isCut(s.from, s.to) {
			s.broken = true
		}
		if !s.broken {
			s.to.enter(s.epoch, receive)
		}
	})
}
