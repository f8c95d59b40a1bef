package engine

import (
	"context"
	"time"

	emulator "github.com/tamarindring/tamarindring/internal/engine"
)

const (
	idleInterval = 20 * time.Millisecond
	tidyInterval = 5 * time.Millisecond // between looks at what is not about single steps
)

// loadSample is one remembered load, for reports that lag.
type loadSample struct {
	at   time.Time
	load emulator.Load
}

// drive advances the emulator in real time until ctx ends or the server stops.
func (s *Server) drive(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer s.abandon()
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

// abandon wakes every reader when the server ends.
func (s *Server) abandon() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failStreams(OutcomeCrashed)
	s.failOrders()
}

// advance runs the emulator up to now and returns how long nothing will happen.
func (s *Server) advance() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for _, event := range s.emulated.Advance(s.elapsed()) {
		s.apply(event)
	}
	if now.Sub(s.tidied) >= tidyInterval {
		s.tidied = now
		s.cancelAbandoned(now)
		s.forgetRetained(now)
		s.sampleLoad(now)
		s.cache.collect(now, s.emulated)
	}
	next, ok := s.emulated.NextEvent()
	if !ok {
		return idleInterval
	}
	return min(max(s.realTime(next-s.elapsed()), 0), idleInterval)
}

// poke makes the driver look at the emulator at once.
func (s *Server) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Server) apply(event emulator.Event) {
	switch event.Kind {
	case emulator.EventSwapped, emulator.EventSwapFailed:
		s.finishOrders(event)
		return
	}
	running, ok := s.byHandle[event.Request]
	if !ok {
		return
	}
	switch event.Kind {
	case emulator.EventTokens:
		running.add(event.Count, event.Version, s.versions[event.Version])
	case emulator.EventPreempted:
		running.preempted()
	case emulator.EventFinished:
		s.endStream(running, OutcomeFinished)
	case emulator.EventFailed:
		s.endStream(running, OutcomeFailed)
	}
}

// endStream records a stream's end and keeps it for resumes.
func (s *Server) endStream(ended *stream, outcome Outcome) {
	delete(s.byHandle, ended.handle)
	if ended.end(outcome, time.Now(), s.log.finish) {
		s.retained = append(s.retained, ended)
	}
}

func (s *Server) failStreams(outcome Outcome) {
	for _, running := range s.byHandle {
		s.endStream(running, outcome)
	}
}

// cancelAbandoned ends streams that nobody has read for the grace time.
func (s *Server) cancelAbandoned(now time.Time) {
	for _, running := range s.byHandle {
		if running.abandoned(now, s.config.DetachGrace) {
			_ = s.emulated.Cancel(s.elapsed(), running.handle)
			s.endStream(running, OutcomeCancelled)
		}
	}
}

// forgetRetained bounds what is kept for resumes in time and number.
func (s *Server) forgetRetained(now time.Time) {
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

func (s *Server) sampleLoad(now time.Time) {
	if s.config.LoadReportLag == 0 {
		return
	}
	if last := len(s.history) - 1; last >= 0 && now.Sub(s.history[last].at) < loadSampleInterval {
		return
	}
	s.history = append(s.history, loadSample{at: now, load: s.emulated.Load(s.elapsed())})
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.config.LoadReportLag {
		s.history = s.history[1:]
	}
}

// reportedLoad is the load as of one lag ago.
func (s *Server) reportedLoad() (emulator.Load, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.config.LoadReportLag == 0 || len(s.history) == 0 {
		return s.emulated.Load(s.elapsed()), time.Now()
	}
	return s.history[0].load, s.history[0].at
}
