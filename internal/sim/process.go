package sim

import "time"

// maxClockDrift is the largest relative deviation of a process's clock rate from true time. Two clocks differ by less
// than lease.DefaultClockDrift.
const maxClockDrift = 0.02

// process is one program of the fleet on one machine. Events that it scheduled are dropped when it dies and deferred
// while it is paused.
type process struct {
	world            *world
	name             string
	zone             string
	epoch            uint64 // number of the current or last run; incremented by each start
	up               bool
	paused           bool
	deferred         []func()
	diedAt           time.Duration // when the last run ended
	clockRate        float64
	clockOffset      time.Duration
	resumedAt        time.Duration // when the last pause ended
	eventsUntilDeath int           // the process dies at this many events from now; 0 for never
	onDeath          func()
}

func (w *world) newProcess(name, zone string) *process {
	return &process{world: w, name: name, zone: zone,
		clockRate: 1 + maxClockDrift*(2*w.random.Float64()-1), clockOffset: w.randomDuration(0, time.Hour)}
}

// run identifies one run of a process.
type run struct {
	process *process
	epoch   uint64
}

// currentRun returns the present run.
func (p *process) currentRun() run { return run{p, p.epoch} }

func (r run) isAlive() bool { return r.process.up && r.process.epoch == r.epoch }

// clock returns the time of the process's monotonic clock.
func (p *process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.world.now)*p.clockRate)
}

// start begins a new run of the process.
func (p *process) start() {
	p.epoch++
	p.up, p.paused, p.deferred, p.eventsUntilDeath = true, false, nil, 0
	p.tracef("starts, run %d", p.epoch)
}

// die ends the run abruptly and calls onDeath.
func (p *process) die() {
	if !p.up {
		return
	}
	p.tracef("dies")
	p.diedAt = p.world.now
	if p.paused {
		p.resumedAt = p.world.now
	}
	p.up, p.paused, p.deferred, p.eventsUntilDeath = false, false, nil, 0
	if p.onDeath != nil {
		p.onDeath()
	}
}

// after runs a function after a delay, if this run of the process is still alive then.
func (p *process) after(delay time.Duration, run func()) {
	epoch := p.epoch
	p.world.after(delay, func() { p.runInEpoch(epoch, run) })
}

// runInEpoch runs a function in the given run of the process if that run is still alive. While the process is paused,
// the function is deferred until it resumes.
func (p *process) runInEpoch(epoch uint64, run func()) {
	if !p.up || p.epoch != epoch {
		return
	}
	if p.paused {
		p.deferred = append(p.deferred, run)
		return
	}
	if p.eventsUntilDeath > 0 {
		p.eventsUntilDeath--
		if p.eventsUntilDeath == 0 {
			if p.world.randomBool(0.5) {
				run()
			}
			p.die()
			return
		}
	}
	run()
}

// pause stops the process for a while; what arrives meanwhile is deferred.
func (p *process) pause(length time.Duration) {
	if !p.up || p.paused {
		return
	}
	p.tracef("is paused for %v", length)
	p.paused = true
	epoch := p.epoch
	p.world.after(length, func() { p.resume(epoch) })
}

func (p *process) resume(epoch uint64) {
	if !p.up || p.epoch != epoch || !p.paused {
		return
	}
	p.tracef("resumes with %d deferred events", len(p.deferred))
	p.paused, p.resumedAt = false, p.world.now
	waiting := p.deferred
	p.deferred = nil
	for _, run := range waiting {
		p.after(0, run)
	}
}

func (p *process) tracef(format string, arguments ...any) {
	p.world.tracef(p.name, format, arguments...)
}
