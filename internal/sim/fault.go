package sim

import (
	"time"
)

// FaultKind is a kind of fault that a run can inject.
type FaultKind int

// The faults, in the order of shared/PROMISES.md.
const (
	KillBackend     FaultKind = iota // an application replica dies, perhaps after it ran a request and before it answered
	KillEngine                       // a model engine dies while it streams samples
	KillCoordinator                  // a coordinator dies and another one takes over its trainers
	KillTrainer                      // a trainer dies and restarts from the batches that it had received
	SwapFails                        // a weight swap fails partway
	SwapLies                         // a weight swap reports success while the engine still serves the old version
	KillGateway                      // a gateway dies and starts again
	KillControl                      // a control machine dies and starts again
	DieAtStep                        // a process dies within its next 30 events, before or after the last of them
	PowerLoss                        // all control machines die at once
	CutOneWay                        // messages from one process to another are dropped
	CutBothWays                      // a process is cut off from all others for some seconds
	LongCut                          // a process is cut off from all others for one to two minutes
	Pause                            // a process is paused for less than a lease
	LongPause                        // a process is paused for longer than any lease and then resumes
	DiskFull                         // a disk has no free space for a while
	SyncFails                        // a sync fails, and whether its writes reached the disk is unknown
	SlowDisk                         // syncs are slow for a while
	UnsyncedLost                     // unsynced writes are lost when the machine dies
	TornRecord                       // power is lost during a write, and only part of it reaches the disk
	EmptyDisk                        // a machine comes back with an empty disk under its old identity
	ReplaceMachine                   // a machine is lost for good and replaced by a new one
	SecondLoss                       // a second machine is lost while the first is being replaced
	MessageLoss                      // messages are lost
	Reordering                       // messages are delayed and overtake each other
	Duplication                      // messages are delivered twice
	ZoneLoss                         // all processes of a zone are cut off from the others
	RegionsApart                     // the two regions cannot reach each other
	BackendLeaves                    // the platform removes an application replica after telling it to leave
	PlannedStop                      // a gateway, coordinator or control node is drained and stopped
	LeaderMoves                      // the control group's leadership is transferred
	SlowRestart                      // all control machines die at once and restart on slow disks
	faultKinds
)

var faultNames = [faultKinds]string{"kill-backend", "kill-engine",
	"kill-coordinator", "kill-trainer", "swap-fails", "swap-lies", "kill-gateway", "kill-control", "die-at-step", "power-loss",
	"cut-one-way", "cut-both-ways", "long-cut", "pause", "long-pause", "disk-full", "sync-fails", "slow-disk",
	"unsynced-lost", "torn-record", "empty-disk", "replace-machine", "second-loss", "message-loss", "reordering", "duplication",
	"zone-loss", "regions-apart", "backend-leaves", "planned-stop", "leader-moves",
	"slow-restart"}

// String returns the name under which the fault is reported.
func (k FaultKind) String() string { return faultNames[k] }

// faultCounts counts injected faults by kind.
type faultCounts [faultKinds]uint64

func (f *fleet) inject(kind FaultKind) {
	if f.tryInject(kind) {
		f.world.faults[kind]++
	}
}

// tryInject injects a fault. It returns false when the fleet's present state does not allow it, or when the fault is
// counted later, as it takes effect.
func (f *fleet) tryInject(kind FaultKind) bool {
	w := f.world
	w.tracef("FAULT", "%s", kind)
	switch kind {
	case KillBackend:
		return f.kill(f.randomBackend().process)
	case KillEngine:
		return f.kill(f.randomEngine().process)
	case KillCoordinator:
		return f.kill(f.randomCoordinator().process)
	case KillTrainer:
		return f.kill(f.randomTrainer().process)
	case BackendLeaves:
		return f.randomBackend().startLeaving()
	case PlannedStop:
		return f.plannedStop()
	case LeaderMoves:
		return f.moveLeader()
	case SlowRestart:
		return f.slowRestart()
	case SwapFails:
		f.randomEngine().failNext = true
	case SwapLies:
		f.randomEngine().falseSuccessNext = true
	case KillGateway:
		return f.kill(f.randomGateway().process)
	case KillControl:
		return f.kill(f.randomHost().process)
	case DieAtStep:
		return f.scheduleDeath()
	case PowerLoss:
		for _, h := range f.hosts {
			f.kill(h.process)
		}
	case CutOneWay:
		from, to := f.randomProcess(), f.randomProcess()
		w.network.cut(from, to, w.randomDuration(time.Second, 10*time.Second))
	case CutBothWays:
		f.isolate([]*process{f.randomProcess()}, w.randomDuration(time.Second, 10*time.Second))
	case LongCut:
		f.isolate([]*process{f.randomProcess()}, w.randomDuration(time.Minute, 2*time.Minute))
	case Pause:
		f.randomProcess().pause(w.randomDuration(20*time.Millisecond, time.Second))
	case LongPause:
		f.randomProcess().pause(w.randomDuration(1300*time.Millisecond, 20*time.Second))
	case ZoneLoss:
		f.isolate(f.processesIn(f.zones[w.random.Intn(len(f.zones))]), w.randomDuration(2*time.Second, 20*time.Second))
	case RegionsApart:
		f.isolate(f.processesIn(f.zones[len(f.zones)-1]), w.randomDuration(time.Minute, 2*time.Minute))
	case MessageLoss, Reordering, Duplication:
		f.injectNetworkFault(kind)
	default:
		return f.injectDiskFault(kind)
	}
	return true
}

func (f *fleet) injectNetworkFault(kind FaultKind) {
	n, length := f.world.network, f.world.randomDuration(2*time.Second, 15*time.Second)
	fraction := 0.3 * f.world.random.Float64()
	switch kind {
	case MessageLoss:
		n.lossRate = fraction
		f.world.after(length, func() { n.lossRate = 0 })
	case Reordering:
		n.lateRate = fraction
		f.world.after(length, func() { n.lateRate = 0 })
	default:
		n.duplicateRate = fraction
		f.world.after(length, func() { n.duplicateRate = 0 })
	}
}

func (f *fleet) injectDiskFault(kind FaultKind) bool {
	h := f.randomHost()
	length := f.world.randomDuration(time.Second, 10*time.Second)
	switch kind {
	case DiskFull:
		h.disk.full = true
		f.world.after(length, func() { h.disk.full = false })
	case SyncFails:
		h.disk.failNext = true
	case TornRecord:
		h.disk.tearNext = true
		return false // counted when the write is torn
	case SlowDisk:
		h.disk.extraSyncTime = f.world.randomDuration(10*time.Millisecond, 700*time.Millisecond)
		f.world.after(length, func() { h.disk.extraSyncTime = 0 })
	case EmptyDisk:
		return f.loseDisk(h)
	case ReplaceMachine:
		return f.replaceMachine(h, false)
	case SecondLoss:
		return f.replaceMachine(h, true)
	default:
		return false
	}
	return true
}

// kill ends a process abruptly; the supervisor restarts it later. It returns false if the process is
// down.
func (f *fleet) kill(p *process) bool {
	if !p.up {
		return false
	}
	p.die()
	return true
}

// restartLater acts as the supervisor, which restarts a process after a while whatever ended it.
func (f *fleet) restartLater(p *process) {
	f.world.after(f.world.randomDuration(50*time.Millisecond, 6*time.Second), func() { f.launch(p) })
}

func (f *fleet) scheduleDeath() bool {
	p := f.randomProcess()
	if !p.up || p.eventsUntilDeath > 0 {
		return false
	}
	p.eventsUntilDeath = 1 + f.world.random.Intn(30)
	return true
}

// isolate cuts the given processes off from all others in both directions.
func (f *fleet) isolate(inside []*process, length time.Duration) {
	within := map[*process]bool{}
	for _, p := range inside {
		within[p] = true
	}
	for _, p := range inside {
		p.tracef("is cut off for %v", length)
		for _, other := range f.processes() {
			if !within[other] {
				f.world.network.cut(p, other, length)
				f.world.network.cut(other, p, length)
			}
		}
	}
}

// loseDisk makes a machine lose its disk and restart with an empty one under its old identity. The other nodes reject
// it, and after a while it is replaced.
func (f *fleet) loseDisk(h *host) bool {
	if f.repairing || h.replaced || !h.up {
		return false
	}
	f.repairing = true
	h.die()
	h.disk = f.world.newDisk(groupCount, f.founders)
	f.world.after(f.world.randomDuration(10*time.Millisecond, time.Second), func() { h.launch() })
	f.world.after(f.world.randomDuration(3*time.Second, 20*time.Second), func() {
		f.repairing = false
		f.replaceMachine(h, false)
	})
	return true
}
