package sim

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/wave"
)

// versionReport is what an engine said it serves.
type versionReport struct {
	version uint64
	at      time.Duration
}

// available is the newest version that all engines heard of lately serve.
func (c *coordinator) available() uint64 {
	least := ^uint64(0)
	for _, e := range c.fleet.engines {
		if report, known := c.reports[e.name]; known && c.clock()-report.at < reportLife {
			least = min(least, report.version)
		}
	}
	if least == ^uint64(0) {
		return 0
	}
	return least
}

// waveOwner is a pool's weight wave at its owner.
type waveOwner struct {
	fence   uint64
	planner *wave.Planner
	target  uint64
}

// release makes a version the pool's target, as the pool's owner.
func (c *coordinator) release(version uint64, done func(bool)) {
	if c.wave != nil {
		done(c.wave.release(c, version))
		return
	}
	c.acquire("pool/"+modelPool, func(token uint64) {
		if token == 0 {
			done(false)
			return
		}
		if c.wave == nil {
			c.wave = &waveOwner{fence: token, planner: wave.New(wave.Config{SwapShare: 0.5})}
		}
		done(c.wave.release(c, version))
	})
}

func (w *waveOwner) release(c *coordinator, version uint64) bool {
	if version > w.target {
		w.planner.Release(c.clock(), wave.Version{Name: "v", Number: version})
		w.target = version
		c.tracef("releases version %d under token %d", version, w.fence)
	}
	return true
}

// driveWave sends the orders that are due.
func (c *coordinator) driveWave() {
	if c.wave == nil {
		return
	}
	owned := c.wave
	names := make([]string, 0, len(c.fleet.engines))
	for _, e := range c.fleet.engines {
		names = append(names, e.name)
	}
	owned.planner.SetReplicas(names)
	for _, order := range owned.planner.Next(c.clock()) {
		c.sendOrder(owned, order)
	}
}

func (c *coordinator) sendOrder(owned *waveOwner, order wave.Order) {
	e := c.fleet.engine(order.Replica)
	answered := false
	answer := func(outcome wave.Answer) {
		if !answered {
			answered = true
			owned.planner.Answered(c.clock(), order.ID, outcome)
		}
	}
	c.after(orderTimeout, func() { answer(wave.Answer{Outcome: wave.Failed}) })
	if order.Kind == wave.Stage {
		answer(wave.Answer{Outcome: wave.Done, Serving: e.version})
		return
	}
	fence, asking := owned.fence, c.thisRun()
	c.world.network.once(c.process, e.process, func() {
		e.swap(order.Version.Number, fence, func(said swapAnswer) {
			c.world.network.reply(e.process, asking, func() {
				switch {
				case said.stale:
					c.tracef("is no longer the owner of the pool's weights")
					if c.wave == owned {
						c.wave = nil
					}
				case said.ok:
					answer(wave.Answer{Outcome: wave.Done, Serving: said.serving})
				default:
					answer(wave.Answer{Outcome: wave.Failed})
				}
			})
		})
	})
}

const (
	orderTimeout  = 4 * time.Second
	reportEvery   = time.Second
	slowestReport = 2 * time.Second
	reportLife    = 6 * time.Second
)

// reportLoad tells every coordinator's wave, late, what the engine serves.
func (e *modelEngine) reportLoad() {
	serving := e.version
	for _, c := range e.fleet.coordinators {
		e.after(e.world.between(0, slowestReport), func() {
			e.world.network.once(e.process, c.process, func() {
				c.reports[e.name] = versionReport{version: serving, at: c.clock()}
				if c.wave != nil {
					c.wave.planner.Report(c.clock(), e.name, wave.Report{Version: wave.Version{Name: "v", Number: serving}})
				}
			})
		})
	}
	e.after(reportEvery, e.reportLoad)
}
