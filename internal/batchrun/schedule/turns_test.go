package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// trainer opens a step once the previous one is complete and at least stepInterval after that was opened.
type trainer struct {
	name   string
	groups int // groups per step, of 8 items each
	opened time.Duration
	steps  int
}

// overload is a load of trainers that exceeds the capacity.
type overload struct {
	name          string
	replicas      int
	lostReplicas  int // replicas that are unavailable from lostFrom to lostUntil
	groups        []int
	lightTrainers int // number of trainers, at the front of groups, that ask for less than their share
}

// overloads are the loads on which orders of work are compared.
var overloads = []overload{
	{name: "four equal trainers with half the capacity", replicas: 30, groups: []int{29, 29, 29, 29}},
	{name: "one trainer with 30 times the items of three", replicas: 12, groups: []int{4, 4, 4, 120}, lightTrainers: 3},
	{name: "trainers of several sizes with half the capacity", replicas: 20, groups: []int{12, 18, 29, 40}},
	{name: "most replicas unavailable for 12 seconds", replicas: 60, lostReplicas: 45, groups: []int{16, 18, 18, 12}},
}

const (
	overloadDuration = 60 * time.Second
	trainingTime     = 500 * time.Millisecond
	lostFrom         = 8 * time.Second
	lostUntil        = 20 * time.Second
)

// play simulates a load and returns how many steps each trainer completed.
func (l *overload) play(seed uint64) (completed []int) {
	r := newSimulation(seed, l.replicas, Settings{})
	trainers := make([]trainer, 0, len(l.groups))
	for number, groups := range l.groups {
		trainers = append(trainers, trainer{name: modelNamed(number), groups: groups})
	}
	for now := time.Duration(0); now < overloadDuration; now += simulationStep {
		switch {
		case l.lostReplicas > 0 && now == lostFrom:
			r.removeReplicas(l.lostReplicas, now)
		case l.lostReplicas > 0 && now == lostUntil:
			r.scheduler.Replicas(describeReplicas(0, l.replicas))
		}
		for number := range trainers {
			r.openNext(&trainers[number], now)
		}
		r.advance(now)
		if now%reportInterval == 0 {
			r.reportProgress(now)
		}
		r.startRuns(now)
	}
	for _, one := range trainers {
		completed = append(completed, len(r.completedAt[one.name]))
	}
	return completed
}

// openNext opens a trainer's next step when it is due.
func (r *simulation) openNext(trainer *trainer, now time.Duration) {
	ends := r.completedAt[trainer.name]
	if len(ends) < trainer.steps || trainer.steps > 0 && (now < trainer.opened+stepInterval || now < ends[trainer.steps-1]+trainingTime) {
		return
	}
	r.openJob(Job{ID: fmt.Sprint(trainer.name, "-", trainer.steps), Model: trainer.name, Desired: trainer.groups - trainer.groups/10}, trainer.groups, now)
	trainer.opened = now
	trainer.steps++
}

// removeReplicas removes the first replicas and breaks their runs.
func (r *simulation) removeReplicas(lost int, now time.Duration) {
	r.scheduler.Replicas(describeReplicas(lost, len(r.replicas)))
	for _, key := range r.running() {
		if run := r.runs[key]; run.replica < lost {
			r.endRun(key, run, Broken, now)
		}
	}
}

// TestOverloadedTrainersProgressEvenly: with too little capacity no trainer completes two steps fewer than another one,
// unless one trainer asks for many times as much as the others. No trainer starves in any case.
func TestOverloadedTrainersProgressEvenly(t *testing.T) {
	for _, load := range overloads {
		completed := load.play(0)
		t.Logf("%s: completed steps %v", load.name, completed)
		if load.lightTrainers == 0 && slices.Max(completed)-slices.Min(completed) > 1 {
			t.Errorf("%s: completed steps %v, want a difference of at most 1", load.name, completed)
		}
		if slices.Min(completed) == 0 {
			t.Errorf("%s: a trainer completes no step: %v", load.name, completed)
		}
	}
}

// TestLightTrainersGetOnBesideAHeavyOne: light trainers complete nearly as many steps as they would alone, although
// another trainer asks for many times as much.
func TestLightTrainersGetOnBesideAHeavyOne(t *testing.T) {
	const leastOfAlone = 0.95 // fraction of the steps
	for _, load := range overloads {
		completed := load.play(0)
		for number := range load.lightTrainers {
			alone := overload{replicas: load.replicas, groups: load.groups[number : number+1]}
			if most := alone.play(0)[0]; float64(completed[number]) < leastOfAlone*float64(most) {
				t.Errorf("%s: a light trainer completes %d steps, alone %d", load.name, completed[number], most)
			}
		}
	}
}

// TestOrderOfLatestStartsStays: owners don't take turns if there is capacity for all items, if all can be in time, or
// if the owners ask for about as much.
func TestOrderOfLatestStartsStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Settings{})
		enough, late, uneven := rapid.Bool().Draw(t, "enough room"), rapid.Bool().Draw(t, "late"), rapid.Bool().Draw(t, "uneven")
		items := []int{rapid.IntRange(1, 9).Draw(t, "items"), rapid.IntRange(1, 9).Draw(t, "items")}
		if !uneven {
			items[1] = items[0]
		} else {
			items[1] = maximumDemandRatio*items[0] + 1
		}
		slots := (items[0] + items[1]) / 2
		if enough {
			slots = items[0] + items[1]
		}
		s.Replicas([]Replica{{Instance: "i", Pool: "p", Slots: slots}})
		for number, count := range items {
			s.Open(newUniformJob(fmt.Sprint(number), count, time.Duration(number+1)*time.Second), nil, nil)
		}
		now := time.Duration(0)
		if late {
			now = 3 * time.Second
		}
		s.sortWaiting(now)
		got := slices.Clone(s.waitingOrder)
		s.sortByLatestStart(s.waitingOrder)
		same := slices.Equal(got, s.waitingOrder)
		if want := enough || !late || !uneven; same != want && (want || items[0] > 1) {
			t.Fatalf("items %v, %d slots, late %v: order of latest starts kept is %v", items, slots, late, same)
		}
	})
}

// newUniformJob returns a job of a model of its own with items of equal length.
func newUniformJob(id string, items int, deadline time.Duration) Job {
	job := Job{ID: id, Model: "model-" + id, Deadline: deadline}
	for number := range items {
		job.Items = append(job.Items, Item{ID: fmt.Sprint(id, "-", number), Length: 10})
	}
	return job
}

// TestTenantsTakeTurnsByWeight: with too little capacity, tenants of different weights get items started in proportion
// to their weights.
func TestTenantsTakeTurnsByWeight(t *testing.T) {
	s := New(Settings{})
	s.Replicas([]Replica{{Instance: "i", Pool: "p", Slots: 1}})
	for number, tenant := range []string{"one", "two"} {
		job := newUniformJob(tenant, 40, time.Duration(number+1)*time.Second)
		job.Tenant = tenant
		s.Open(job, nil, nil)
	}
	s.SetWeight("two", 300)
	s.sortWaiting(3 * time.Second)
	ofTwo := 0
	for _, entry := range s.waitingOrder[:20] {
		if entry.job.Tenant == "two" {
			ofTwo++
		}
	}
	if ofTwo != 15 {
		t.Errorf("%d of the first 20 items belong to the tenant with 3/4 of the weights, want 15", ofTwo)
	}
}

// TestRunningWorkCountsAgainstOwner: an owner whose items take up the capacity has to wait for the others.
func TestRunningWorkCountsAgainstOwner(t *testing.T) {
	s := New(Settings{})
	s.Replicas([]Replica{{Instance: "i", Pool: "p", Slots: 10}})
	s.Open(newUniformJob("large", 100, time.Second), nil, nil)
	for number := range 100 {
		s.Route(Key{"large", fmt.Sprint("large-", number)}, []Share{{Pool: "p", Weight: 1}})
	}
	if started := s.Starts(0); len(started) != 10 {
		t.Fatal(started)
	}
	s.Open(newUniformJob("small", 5, 2*time.Second), nil, nil)
	s.sortWaiting(3 * time.Second)
	if turns := s.Turns(); !turns.Taken || turns.Owners != 2 || turns.Waiting != 95 || turns.Largest != "model/model-large" || turns.Most != 1000 || turns.Least != 50 {
		t.Errorf("turns %+v, want two owners, the large one with 1000 events and the small one with 50", turns)
	}
	for number, entry := range s.waitingOrder[:5] {
		if entry.job.ID != "small" {
			t.Errorf("item %d belongs to the owner that has all the slots", number)
		}
	}
}
