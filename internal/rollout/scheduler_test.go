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

// model repeats what the runtime must hold: each slot is waiting, running or finished, and never lost.
type model struct {
	running  map[SampleID]int // tokens
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

// TestSchedulerKeepsItsPromises drives random events and checks, for every policy: the room is never
// exceeded, nothing is started twice or lost, no work starts that cannot be fresh, and every step can end.
func TestSchedulerKeepsItsPromises(t *testing.T) {
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
		m.startSome(t, s, Room{Slots: rapid.IntRange(0, 12).Draw(t, "slots"), StalenessBound: bound})
	case 2:
		m.progress(t, s)
	case 3:
		m.finishOne(t, s)
	case 4:
		for _, id := range s.Yield(rapid.IntRange(0, 3).Draw(t, "yield")) {
			m.interrupt(t, s, id)
		}
	case 5:
		m.release(s, bound)
	case 6:
		s.Wanted(m.now, "a", m.released)
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

func (m *model) startSome(t *rapid.T, s *Scheduler, room Room) {
	before := len(m.running)
	for _, start := range s.Next(m.now, room) {
		if _, twice := m.running[start.ID]; twice || !m.slots[start.ID] {
			t.Fatalf("sample %v started twice or unknown", start.ID)
		}
		if _, done := m.finished[start.ID]; done {
			t.Fatalf("finished sample %v started", start.ID)
		}
		rank := uint64(0)
		for _, step := range m.steps {
			if step < start.ID.Step {
				rank++
			}
		}
		if rank > room.StalenessBound {
			t.Fatalf("sample %v started %d steps ahead with bound %d", start.ID, rank, room.StalenessBound)
		}
		m.running[start.ID] = start.PrefixTokens
	}
	if len(m.running) > max(room.Slots, before) || len(m.running) != s.Running() {
		t.Fatalf("%d running (scheduler says %d), room %d", len(m.running), s.Running(), room.Slots)
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
		t.Fatalf("yielded sample %v is not running", id)
	}
	kept := s.Interrupted(m.now, id)
	if s.Policy().KeepsPrefix() && kept != tokens || !s.Policy().KeepsPrefix() && kept != 0 {
		t.Fatalf("kept %d of %d tokens", kept, tokens)
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

// drain finishes all open steps with a waiting trainer: every slot must come to its end.
func (m *model) drain(t *rapid.T, s *Scheduler, bound uint64) {
	for round := 0; len(m.steps) > 0; round++ {
		if round > 400 {
			t.Fatalf("steps %v never end (bound %d, policy %s)", m.steps, bound, s.Policy().Name())
		}
		m.now += time.Minute
		s.Wanted(m.now, "a", m.released)
		m.startSome(t, s, Room{Slots: 12, StalenessBound: bound})
		m.finishOne(t, s)
		m.deliverIfWhole(s)
	}
}

func TestTrainersShareTheRoom(t *testing.T) {
	s := New(Config{})
	mustOpen(t, s, 0, "large", 1, 100, 8)
	mustOpen(t, s, 0, "small", 1, 10, 8)
	if err := s.SetShare("large", 3); err != nil {
		t.Fatal(err)
	}
	perTrainer := map[string]int{}
	for _, start := range s.Next(0, Room{Slots: 40, StalenessBound: 1}) {
		perTrainer[start.ID.Trainer]++
	}
	if perTrainer["large"] != 30 || perTrainer["small"] != 10 {
		t.Fatalf("shares %v, want 30 and 10", perTrainer)
	}
}

func TestLongGroupsStartFirstOnceKnown(t *testing.T) {
	s := New(Config{})
	mustOpen(t, s, 0, "a", 1, 2, 4)
	probes := s.Next(0, Room{Slots: 2, StalenessBound: 1})
	if len(probes) != 2 || probes[0].ID.Prompt == probes[1].ID.Prompt {
		t.Fatalf("the first starts %v do not probe each group", probes)
	}
	for _, probe := range probes {
		tokens := 10
		if probe.ID.Prompt == "p1" {
			tokens = 3000
		}
		s.Finished(time.Second, probe.ID, tokens, 0)
	}
	for _, start := range s.Next(time.Second, Room{Slots: 3, StalenessBound: 1}) {
		if start.ID.Prompt != "p1" {
			t.Fatalf("short group's %v started before the long group", start.ID)
		}
	}
}

// trained returns a paced scheduler that has seen steps of 16 samples of 100 tokens, each trained on for
// 100 s, and the time at which the last of them was delivered; step 4 is next.
func trained(t *testing.T) (*Scheduler, time.Duration) {
	s := New(Config{})
	now := time.Duration(0)
	for step := uint64(1); ; step++ {
		s.Wanted(now, "a", step)
		s.Released(now, "a", step)
		mustOpen(t, s, now, "a", step, 4, 4)
		for len(s.samples) > 0 {
			starts := s.Next(now, Room{Slots: 16, StalenessBound: 2})
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

func TestPacedWaitsForTheNewestVersionThatIsInTime(t *testing.T) {
	s, now := trained(t)
	mustOpen(t, s, now, "a", 4, 4, 4)
	mustOpen(t, s, now, "a", 5, 4, 4) // wanted 200 s from now, and a newer version comes in 100 s
	examined := 0
	for range 90 {
		now += time.Second
		for _, start := range s.Next(now, Room{Slots: 16, StalenessBound: 2}) {
			examined++
			if start.ID.Step == 5 {
				t.Fatalf("%v was started on weights that are old when it is used", start.ID)
			}
			s.Finished(now, start.ID, 100, 3)
		}
	}
	if examined != 16 {
		t.Fatalf("%d samples of the step before were started, want 16", examined)
	}
}

func TestPacedStartsNoMoreAtOnceThanTheStepNeeds(t *testing.T) {
	s, now := trained(t)
	mustOpen(t, s, now, "a", 4, 4, 4) // 16 samples of about a second each, wanted in 100 s
	room := Room{Slots: 16, StalenessBound: 2}
	if starts := s.Next(now, room); len(starts) != 1 {
		t.Fatalf("%d samples were started at once, one is enough", len(starts))
	}
	if starts := s.Next(now+99*time.Second, room); len(starts) != 15 {
		t.Fatalf("%d samples were started when the step is due, want the other 15", len(starts))
	}
}

// TestLateAvailabilityDoesNotHideTheNextVersion: weights become available after the step that they were
// fetched for is delivered already; the trainer is then about to make the next version.
func TestPacedHoldsACrowdedPoolSteady(t *testing.T) {
	// Newer weights would come in time, so the sample waits unless the running ones are fewer than on average.
	step := StepView{Known: true, Due: 1000 * time.Second, NextVersion: 10 * time.Second, Level: 40, Room: 100}
	for _, one := range []struct {
		running, room int
		want          bool
	}{{39, 100, true}, {40, 100, false}, {39, 200, false}} {
		step.Running, step.Room = one.running, one.room
		if got := (Paced{}).Eligible(0, step, SampleView{Lead: time.Second}); got != one.want {
			t.Errorf("%d of 40 running in a room of %d: eligible %v, want %v", one.running, one.room, got, one.want)
		}
	}
}

func TestLateAvailabilityDoesNotHideTheNextVersion(t *testing.T) {
	s := New(Config{Policy: Asynchronous{}})
	mustOpen(t, s, 0, "a", 1, 1, 1)
	s.Wanted(0, "a", 5)
	s.Released(0, "a", 4)
	s.Delivered(time.Second, "a", 1) // leads to version 6
	mustOpen(t, s, time.Second, "a", 2, 1, 1)
	s.Released(2*time.Second, "a", 5)
	if starts := s.Next(2*time.Second, Room{Slots: 1, StalenessBound: 0}); len(starts) > 0 {
		t.Fatalf("%v was started on version 5 though version 6 will use it and the bound is 0", starts)
	}
	if starts := s.Next(2*time.Second, Room{Slots: 1, StalenessBound: 1}); len(starts) != 1 {
		t.Fatal("nothing was started though the bound permits it")
	}
}

func TestSampleIDRoundTrip(t *testing.T) {
	id := SampleID{Trainer: "t", Step: 7, Prompt: "p", Index: 3}
	parsed, err := ParseSampleID(id.String())
	if err != nil || parsed != id {
		t.Fatalf("parsed %v, %v", parsed, err)
	}
	for _, bad := range []string{"", "a/b/c/d", "a/1/c", "a/1/c/-1", "a/1/c/d/e"} {
		if _, err := ParseSampleID(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
