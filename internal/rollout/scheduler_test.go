package rollout

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func prompts(count int) []Prompt {
	list := make([]Prompt, count)
	for index := range list {
		list[index] = Prompt{ID: fmt.Sprintf("p%d", index), MaxTokens: 4096}
	}
	return list
}

func mustOpen(t interface{ Fatal(...any) }, s *Scheduler, now time.Duration, trainer string, number uint64, count, group int) {
	err := s.OpenStep(now, Step{Trainer: trainer, Number: number, Prompts: prompts(count), SamplesPerPrompt: group})
	if err != nil {
		t.Fatal(err)
	}
}

// model is a reference model of the caller's state. Each slot is waiting, running or finished, and never lost.
type model struct {
	running  map[SampleID]int // tokens by sample
	finished map[SampleID]int
	oldest   map[SampleID]uint64
	slots    map[SampleID]bool
	released uint64
	steps    []uint64
	next     uint64
	now      time.Duration
}

func policies() []Policy {
	return []Policy{
		Paced{}, Paced{NoFreshness: true}, Paced{NoPrediction: true}, Paced{NoSmoothing: true},
		Paced{NoLongestFirst: true}, Paced{NoContinuation: true}, Paced{NoMargin: true},
		Synchronous{}, Asynchronous{},
	}
}

// TestSchedulerInvariants drives random events and checks for every policy that the capacity is never exceeded, that
// no sample is started twice or lost, that no sample starts that would be too stale when used, and that every step
// can complete.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom(policies()).Draw(t, "policy")
		s := New(Config{Policy: policy})
		m := &model{
			running: map[SampleID]int{}, finished: map[SampleID]int{}, oldest: map[SampleID]uint64{},
			slots: map[SampleID]bool{}, next: 1,
		}
		bound := uint64(rapid.IntRange(0, 3).Draw(t, "bound"))
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			m.now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "elapsed")) * time.Millisecond
			m.event(t, s, bound)
		}
		m.drain(t, s, bound)
	})
}

func (m *model) event(t *rapid.T, s *Scheduler, bound uint64) {
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		m.open(t, s)
	case 1:
		m.startSome(t, s, Capacity{Slots: rapid.IntRange(0, 12).Draw(t, "slots"), StalenessBound: bound})
	case 2:
		m.progress(t, s)
	case 3:
		m.finishOne(t, s)
	case 4:
		for _, id := range s.PreemptionCandidates(rapid.IntRange(0, 3).Draw(t, "yield")) {
			m.interrupt(t, s, id)
		}
	case 5:
		m.release(s, bound)
	case 6:
		s.FetchStarted(m.now, "a", m.released)
	}
}

func (m *model) open(t *rapid.T, s *Scheduler) {
	mustOpen(t, s, m.now, "a", m.next, 3, 2)
	for _, prompt := range prompts(3) {
		for index := range uint32(2) {
			m.slots[SampleID{Trainer: "a", Step: m.next, Prompt: prompt.ID, Index: index}] = true
		}
	}
	m.steps = append(m.steps, m.next)
	m.next++
}

func (m *model) startSome(t *rapid.T, s *Scheduler, capacity Capacity) {
	before := len(m.running)
	for _, start := range s.Next(m.now, capacity) {
		if _, twice := m.running[start.ID]; twice || !m.slots[start.ID] {
			t.Fatalf("sample %v was started twice or belongs to no open step", start.ID)
		}
		if _, done := m.finished[start.ID]; done {
			t.Fatalf("finished sample %v was started", start.ID)
		}
		rank := uint64(0)
		for _, step := range m.steps {
			if step < start.ID.Step {
				rank++
			}
		}
		if rank > capacity.StalenessBound {
			t.Fatalf("sample %v was started %d steps ahead, want at most the staleness bound %d", start.ID, rank, capacity.StalenessBound)
		}
		m.running[start.ID] = start.PrefixTokens
	}
	if len(m.running) > max(capacity.Slots, before) || len(m.running) != s.Running() {
		t.Fatalf("%d samples are running and the scheduler counts %d, want equal counts within the capacity %d", len(m.running), s.Running(), capacity.Slots)
	}
}

func (m *model) anyRunning(t *rapid.T) (SampleID, bool) {
	var all []SampleID
	for step := range m.next {
		for _, prompt := range prompts(3) {
			for index := range uint32(2) {
				id := SampleID{Trainer: "a", Step: step, Prompt: prompt.ID, Index: index}
				if _, ok := m.running[id]; ok {
					all = append(all, id)
				}
			}
		}
	}
	if len(all) == 0 {
		return SampleID{}, false
	}
	return rapid.SampledFrom(all).Draw(t, "sample"), true
}

func (m *model) progress(t *rapid.T, s *Scheduler) {
	id, ok := m.anyRunning(t)
	if !ok {
		return
	}
	if m.running[id] == 0 {
		m.oldest[id] = m.released
	}
	m.running[id] += rapid.IntRange(1, 300).Draw(t, "tokens")
	s.Progress(m.now, id, m.running[id], m.released)
}

func (m *model) finishOne(t *rapid.T, s *Scheduler) {
	id, ok := m.anyRunning(t)
	if !ok {
		return
	}
	if m.running[id] == 0 {
		m.oldest[id] = m.released
	}
	s.Finished(m.now, id, m.running[id]+1, m.oldest[id])
	m.finished[id] = m.running[id] + 1
	delete(m.running, id)
	m.deliverIfWhole(s)
}

func (m *model) deliverIfWhole(s *Scheduler) {
	if len(m.steps) == 0 {
		return
	}
	first, count := m.steps[0], 0
	for id := range m.finished {
		if id.Step == first {
			count++
		}
	}
	if count < 6 {
		return
	}
	s.Delivered(m.now, "a", first)
	m.steps = m.steps[1:]
}

func (m *model) interrupt(t *rapid.T, s *Scheduler, id SampleID) {
	tokens, ok := m.running[id]
	if !ok {
		t.Fatalf("preemption candidate %v is not running", id)
	}
	kept := s.Interrupted(m.now, id)
	if s.Policy().KeepsPrefix() && kept != tokens || !s.Policy().KeepsPrefix() && kept != 0 {
		t.Fatalf("interrupted sample kept %d of %d tokens, want all or none as the policy says", kept, tokens)
	}
	delete(m.running, id)
}

func (m *model) release(s *Scheduler, bound uint64) {
	m.released++
	s.Released(m.now, "a", m.released)
	for _, id := range s.Expired(bound) {
		delete(m.running, id)
		delete(m.finished, id)
		s.Discarded(m.now, id, 1)
	}
}

// drain runs until all open steps are complete while the trainer waits. Every slot must finish.
func (m *model) drain(t *rapid.T, s *Scheduler, bound uint64) {
	for round := 0; len(m.steps) > 0; round++ {
		if round > 400 {
			t.Fatalf("steps %v did not complete with staleness bound %d and policy %s", m.steps, bound, s.Policy().Name())
		}
		m.now += time.Minute
		s.FetchStarted(m.now, "a", m.released)
		m.startSome(t, s, Capacity{Slots: 12, StalenessBound: bound})
		m.finishOne(t, s)
		m.deliverIfWhole(s)
	}
}

func TestTrainersShareCapacity(t *testing.T) {
	s := New(Config{})
	mustOpen(t, s, 0, "large", 1, 100, 8)
	mustOpen(t, s, 0, "small", 1, 10, 8)
	if err := s.SetShare("large", 3); err != nil {
		t.Fatal(err)
	}
	perTrainer := map[string]int{}
	for _, start := range s.Next(0, Capacity{Slots: 40, StalenessBound: 1}) {
		perTrainer[start.ID.Trainer]++
	}
	if perTrainer["large"] != 30 || perTrainer["small"] != 10 {
		t.Fatalf("started samples by trainer: got %v, want 30 for large and 10 for small", perTrainer)
	}
}

func TestLongGroupsStartFirstOnceKnown(t *testing.T) {
	s := New(Config{})
	mustOpen(t, s, 0, "a", 1, 2, 4)
	probes := s.Next(0, Capacity{Slots: 2, StalenessBound: 1})
	if len(probes) != 2 || probes[0].ID.Prompt == probes[1].ID.Prompt {
		t.Fatalf("first starts: got %v, want one probe of each group", probes)
	}
	for _, probe := range probes {
		tokens := 10
		if probe.ID.Prompt == "p1" {
			tokens = 3000
		}
		s.Finished(time.Second, probe.ID, tokens, 0)
	}
	for _, start := range s.Next(time.Second, Capacity{Slots: 3, StalenessBound: 1}) {
		if start.ID.Prompt != "p1" {
			t.Fatalf("sample %v of the short group was started before those of the long group", start.ID)
		}
	}
}

// trained returns a paced scheduler that has processed three steps of 16 samples with 100 tokens each and a training
// time of 100 s, and the time at which the last step was delivered. The next step is number 4.
func trained(t *testing.T) (*Scheduler, time.Duration) {
	s := New(Config{})
	now := time.Duration(0)
	for step := uint64(1); ; step++ {
		s.FetchStarted(now, "a", step)
		s.Released(now, "a", step)
		mustOpen(t, s, now, "a", step, 4, 4)
		for len(s.samples) > 0 {
			starts := s.Next(now, Capacity{Slots: 16, StalenessBound: 2})
			now += time.Second
			for _, start := range starts {
				s.Finished(now, start.ID, 100, step)
			}
			if len(starts) == 0 {
				s.Delivered(now, "a", step)
			}
		}
		if step == 3 {
			return s, now
		}
		now += 100 * time.Second
	}
}

func TestPacedWaitsForNewerVersion(t *testing.T) {
	s, now := trained(t)
	mustOpen(t, s, now, "a", 4, 4, 4)
	mustOpen(t, s, now, "a", 5, 4, 4) // expected in 200 s, while a newer version is expected in 100 s
	examined := 0
	for range 90 {
		now += time.Second
		for _, start := range s.Next(now, Capacity{Slots: 16, StalenessBound: 2}) {
			examined++
			if start.ID.Step == 5 {
				t.Fatalf("sample %v was started although newer weights are expected in time", start.ID)
			}
			s.Finished(now, start.ID, 100, 3)
		}
	}
	if examined != 16 {
		t.Fatalf("got %d started samples of step 4, want 16", examined)
	}
}

func TestPacedLimitsConcurrencyToStepNeeds(t *testing.T) {
	s, now := trained(t)
	mustOpen(t, s, now, "a", 4, 4, 4) // 16 samples of about one second each, expected in 100 s
	capacity := Capacity{Slots: 16, StalenessBound: 2}
	if starts := s.Next(now, capacity); len(starts) != 1 {
		t.Fatalf("got %d samples started at once, want 1", len(starts))
	}
	if starts := s.Next(now+99*time.Second, capacity); len(starts) != 15 {
		t.Fatalf("got %d samples started shortly before the step is due, want 15", len(starts))
	}
}

// TestPacedKeepsMeanConcurrencyInCrowdedPool checks that in a crowded pool samples start whenever fewer than the mean
// number are running, instead of waiting for newer weights and catching up in a peak.
func TestPacedKeepsMeanConcurrencyInCrowdedPool(t *testing.T) {
	// Newer weights would be available in time, so the sample waits unless fewer samples than the mean are running.
	step := StepView{HasEstimates: true, ExpectedFetch: 1000 * time.Second, NextVersionAt: 10 * time.Second, MeanConcurrency: 40, FairShare: 100}
	for _, one := range []struct {
		running, capacity int
		want              bool
	}{{39, 100, true}, {40, 100, false}, {39, 200, false}} {
		step.Running, step.FairShare = one.running, one.capacity
		if got := (Paced{}).IsEligible(0, step, SampleView{MaxRemainingTime: time.Second}); got != one.want {
			t.Errorf("%d samples running at a mean of 40 with a fair share of %d: got eligible %v, want %v", one.running, one.capacity, got, one.want)
		}
	}
}

// TestLateAvailabilityDoesNotHideTheNextVersion checks that a version that becomes available only after the step it was
// fetched for was delivered is not taken for the version that the next step is used with. At that time the trainer is
// already computing the next version.
func TestLateAvailabilityDoesNotHideTheNextVersion(t *testing.T) {
	s := New(Config{Policy: Asynchronous{}})
	mustOpen(t, s, 0, "a", 1, 1, 1)
	s.FetchStarted(0, "a", 5)
	s.Released(0, "a", 4)
	s.Delivered(time.Second, "a", 1) // results in version 6
	mustOpen(t, s, time.Second, "a", 2, 1, 1)
	s.Released(2*time.Second, "a", 5)
	if starts := s.Next(2*time.Second, Capacity{Slots: 1, StalenessBound: 0}); len(starts) > 0 {
		t.Fatalf("samples %v were started on version 5 although version 6 will use them and the staleness bound is 0", starts)
	}
	if starts := s.Next(2*time.Second, Capacity{Slots: 1, StalenessBound: 1}); len(starts) != 1 {
		t.Fatal("no single sample was started although the staleness bound 1 permits it")
	}
}

func TestSampleIDRoundTrip(t *testing.T) {
	id := SampleID{Trainer: "t", Step: 7, Prompt: "p", Index: 3}
	parsed, err := ParseSampleID(id.String())
	if err != nil || parsed != id {
		t.Fatalf("parsing the text of a sample ID: got %v and error %v, want the original ID", parsed, err)
	}
	for _, bad := range []string{"", "a/b/c/d", "a/1/c", "a/1/c/-1", "a/1/c/d/e"} {
		if _, err := ParseSampleID(bad); err == nil {
			t.Errorf("ParseSampleID(%q) succeeded, want an error", bad)
		}
	}
}
