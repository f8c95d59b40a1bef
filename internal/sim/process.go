package sim

import "time"

// maxClockDrift is how much faster or slower than true time a process's clock runs: two clocks differ by
// less than lease.DefaultClockDrift.
const maxClockDrift = 0.02

// process is one running program of the fleet on one machine. What it schedules is lost when it dies and
// held back while it is paused.
type process struct {
	world     *world
	name      string
	zone      string
	epoch     uint64 // rises with each start
	up        bool
	paused    bool
	deferred  []func()
	diedAt    time.Duration // end of the last run
	rate      float64
	offset    time.Duration
	resumedAt time.Duration // end of the last pause
	dieIn     int           // events until it dies; 0 for never
	died      func()
}

func (w *world) newProcess(name, zone string) *process {
	return &process{world: w, name: name, zone: zone,
		rate: 1 + maxClockDrift*(2*w.random.Float64()-1), offset: w.between(0, time.Hour)}
}

// run is one run of a process.
type run struct {
	process *process
	epoch   uint64
}

// thisRun is the present run.
func (p *process) thisRun() run { return run{p, p.epoch} }

func (r run) alive() bool { return r.process.up && r.process.epoch == r.epoch }

// clock is the process's monotonic clock.
func (p *process) clock() time.Duration {
	return p.offset + time.Duration(float64(p.world.now)*p.rate)
}

// start begins a new run of the process.
func (p *process) start() {
	p.epoch++
	p.up, p.paused, p.deferred, p.dieIn = true, false, nil, 0
	p.tracef("starts, run %d", p.epoch)
}

// die ends the run abruptly.
func (p *process) die() {
	if !p.up {
		return
	}
	p.tracef("dies")
	p.diedAt = p.world.now
	if p.paused {
		p.resumedAt = p.world.now
	}
	p.up, p.paused, p.deferred, p.dieIn = false, false, nil, 0
	if p.died != nil {
		p.died()
	}
}

// after runs a function later in this run of the process.
func (p *process) after(delay time.Duration, run func()) {
	epoch := p.epoch
	p.world.after(delay, func() { p.enter(epoch, run) })
}

// enter runs a function in the process if that run is still alive, or once it is no longer paused.
func (p *process) enter(epoch uint64, run func()) {
	if !p.up || p.epoch != epoch {
		return
	}
	if p.paused {
		p.deferred = append(p.deferred, run)
		return
	}
	if p.dieIn > 0 {
		p.dieIn--
		if p.dieIn == 0 {
			if p.world.chance(0.5) {
				run()
			}
			p.die()
			return
		}
	}
	run()
}

// pause stops the process for a while; what arrives meanwhile waits.
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
	p.tracef("goes on, %d events waited", len(p.deferred))
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
