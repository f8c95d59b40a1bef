package engine

import (
	"context"
	"time"

	emulator "github.com/tamarindring/tamarindring/internal/engine"
)

const (
	idleInterval         = 20 * time.Millisecond // longest time between two runs of the driver
	housekeepingInterval = 5 * time.Millisecond  // between runs of the work that need not be done at every step
)

// loadSample is a load recorded for reports that lag.
type loadSample struct {
	at   time.Time
	load emulator.Load
}

// drive advances the emulator in real time until ctx ends or the server stops. All streams and orders end with it.
func (s *Server) drive(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer s.endAll()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.closed:
			return nil
		case <-s.wake:
		case <-timer.C:
		}
		timer.Reset(s.advance())
	}
}

// endAll ends every stream and order when the server stops, which wakes those that wait for them.
func (s *Server) endAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failStreams(OutcomeCrashed)
	s.failOrders()
}

// advance runs the emulator up to now and returns the time until the next run.
func (s *Server) advance() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for _, event := range s.emulated.Advance(s.elapsed()) {
		s.apply(event)
	}
	if now.Sub(s.lastHousekeeping) >= housekeepingInterval {
		s.lastHousekeeping = now
		s.cancelAbandoned(now)
		s.pruneRetained(now)
		s.sampleLoad(now)
		s.cache.collect(now, s.emulated)
	}
	next, ok := s.emulated.NextEvent()
	if !ok {
		return idleInterval
	}
	return min(max(s.realTime(next-s.elapsed()), 0), idleInterval)
}

// wakeDriver makes the driver run at once, for changes that it does not expect.
func (s *Server) wakeDriver() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// apply records an event of the emulator. The caller must hold the mutex.
func (s *Server) apply(event emulator.Event) {
	switch event.Kind {
	case emulator.EventSwapped, emulator.EventSwapFailed:
		s.resolveOrders(event)
		return
	}
	running, ok := s.runningByHandle[event.Request]
	if !ok {
		return
	}
	switch event.Kind {
	case emulator.EventTokens:
		running.appendTokens(event.Count, event.Version, s.versions[event.Version])
	case emulator.EventPreempted:
		running.countPreemption()
	case emulator.EventFinished:
		s.endStream(running, OutcomeFinished)
	case emulator.EventFailed:
		s.endStream(running, OutcomeFailed)
	}
}

// endStream ends a stream, logs it and retains it for resumes. The caller must hold the mutex.
func (s *Server) endStream(ended *stream, outcome Outcome) {
	delete(s.runningByHandle, ended.handle)
	if ended.end(outcome, time.Now(), s.log.record) {
		s.retained = append(s.retained, ended)
	}
}

// failStreams ends every running stream with the given outcome. The caller must hold the mutex.
func (s *Server) failStreams(outcome Outcome) {
	for _, running := range s.runningByHandle {
		s.endStream(running, outcome)
	}
}

// cancelAbandoned cancels streams that have had no reader for longer than the grace time.
func (s *Server) cancelAbandoned(now time.Time) {
	for _, running := range s.runningByHandle {
		if running.isAbandoned(now, s.config.DetachGrace) {
			_ = s.emulated.Cancel(s.elapsed(), running.handle)
			s.endStream(running, OutcomeCancelled)
		}
	}
}

// pruneRetained drops ended streams above the limits in age and number.
func (s *Server) pruneRetained(now time.Time) {
	for len(s.retained) > 0 {
		oldest := s.retained[0]
		if len(s.retained) <= defaultRetainStreams && now.Sub(oldest.endedAt()) < defaultRetain {
			return
		}
		if s.streams[oldest.requestID] == oldest {
			delete(s.streams, oldest.requestID)
		}
		s.retained = s.retained[1:]
	}
}

// sampleLoad records the load for reports that lag, and drops samples that no later report needs.
func (s *Server) sampleLoad(now time.Time) {
	if s.config.LoadReportLag == 0 {
		return
	}
	if last := len(s.loadHistory) - 1; last >= 0 && now.Sub(s.loadHistory[last].at) < loadSampleInterval {
		return
	}
	s.loadHistory = append(s.loadHistory, loadSample{at: now, load: s.emulated.Load(s.elapsed())})
	for len(s.loadHistory) > 1 && now.Sub(s.loadHistory[1].at) >= s.config.LoadReportLag {
		s.loadHistory = s.loadHistory[1:]
	}
}

// reportedLoad returns the load as of Config.LoadReportLag ago, and its time.
func (s *Server) reportedLoad() (emulator.Load, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.config.LoadReportLag == 0 || len(s.loadHistory) == 0 {
		return s.emulated.Load(s.elapsed()), time.Now()
	}
	return s.loadHistory[0].load, s.loadHistory[0].at
}
