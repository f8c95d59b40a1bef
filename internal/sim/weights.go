package sim

import (
	"time"

	"github.com/tamarindring/tamarindring/internal/wave"
)

// versionReport is the weight version that an engine reported to serve.
type versionReport struct {
	version uint64
	at      time.Duration
}

// availableVersion returns the newest version that all engines with a recent report serve, or 0 without such reports.
func (c *coordinator) availableVersion() uint64 {
	least := ^uint64(0)
	for _, e := range c.fleet.engines {
		if report, known := c.versionReports[e.name]; known && c.clock()-report.at < reportLifetime {
			least = min(least, report.version)
		}
	}
	if least == ^uint64(0) {
		return 0
	}
	return least
}

// waveOwner is a pool's weight wave at the coordinator that owns it.
type waveOwner struct {
	fence   uint64
	planner *wave.Planner
	target  uint64
}

// releaseVersion makes a version the pool's target. The coordinator becomes the pool's owner first if it is not.
func (c *coordinator) releaseVersion(version uint64, done func(bool)) {
	if c.wave != nil {
		done(c.wave.release(c, version))
		return
	}
	c.acquireFence("pool/"+modelPool, func(token uint64) {
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

// driveWave sends the orders of the weight wave that are due.
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
	e := c.fleet.engineByName(order.Replica)
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
	fence, asking := owned.fence, c.currentRun()
	c.world.network.sendOnce(c.process, e.process, func() {
		e.swap(order.Version.Number, fence, func(result swapAnswer) {
			c.world.network.reply(e.process, asking, func() {
				switch {
				case result.stale:
					c.tracef("has lost the ownership of the pool's weights")
					if c.wave == owned {
						c.wave = nil
					}
				case result.ok:
					answer(wave.Answer{Outcome: wave.Done, Serving: result.serving})
				default:
					answer(wave.Answer{Outcome: wave.Failed})
				}
			})
		})
	})
}

const (
	orderTimeout   = 4 * time.Second
	reportInterval = time.Second
	maxReportDelay = 2 * time.Second
	reportLifetime = 6 * time.Second
)

// reportVersion reports the version that the engine serves to every coordinator, with a delay.
func (e *modelEngine) reportVersion() {
	serving := e.version
	for _, c := range e.fleet.coordinators {
		e.after(e.world.randomDuration(0, maxReportDelay), func() {
			e.world.network.sendOnce(e.process, c.process, func() {
				c.versionReports[e.name] = versionReport{version: serving, at: c.clock()}
				if c.wave != nil {
					c.wave.planner.Report(c.clock(), e.name, wave.Report{Version: wave.Version{Name: "v", Number: serving}})
				}
			})
		})
	}
	e.after(reportInterval, e.reportVersion)
}
