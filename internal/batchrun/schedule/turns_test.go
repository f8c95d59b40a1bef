package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// trainer opens a step once the one before is whole and at least replayedEvery after it was opened.
type trainer struct {
	name   string
	groups int // of each step, of 8 items each
	opened time.Duration
	steps  int
}

// scarceLoad is the load of trainers that need more room than there is.
type scarceLoad struct {
	name     string
	replicas int
	lost     int // replicas that are away for some seconds
	groups   []int
	light    int // trainers, the first ones, that ask for less than their share
}

// scarceLoads is the table of loads on which orders of work are compared.
var scarceLoads = []scarceLoad{
	{name: "four equal trainers with half the room", replicas: 30, groups: []int{29, 29, 29, 29}},
	{name: "one trainer with 30 times the items of three", replicas: 12, groups: []int{4, 4, 4, 120}, light: 3},
	{name: "trainers of several sizes with half the room", replicas: 20, groups: []int{12, 18, 29, 40}},
	{name: "most replicas away for 12 seconds", replicas: 60, lost: 45, groups: []int{16, 18, 18, 12}},
}

const (
	scarceLasting = 60 * time.Second
	trainingTime  = 500 * time.Millisecond
	lostFrom      = 8 * time.Second
	lostUntil     = 20 * time.Second
)

// play replays a load and returns how many steps each trainer got whole.
func (l *scarceLoad) play(seed uint64) (whole []int) {
	r := newReplayed(seed, l.replicas, Settings{})
	trainers := make([]trainer, 0, len(l.groups))
	for number, groups := range l.groups {
		trainers = append(trainers, trainer{name: modelNamed(number), groups: groups})
	}
	for now := time.Duration(0); now < scarceLasting; now += replayedStep {
		switch {
		case l.lost > 0 && now == lostFrom:
			r.lose(l.lost, now)
		case l.lost > 0 && now == lostUntil:
			r.s.Replicas(describedReplicas(0, l.replicas))
		}
		for number := range trainers {
			r.openNext(&trainers[number], now)
		}
		r.advance(now)
		if now%replayedTick == 0 {
			r.tick(now)
		}
		r.start(now)
	}
	for _, one := range trainers {
		whole = append(whole, len(r.whole[one.name]))
	}
	return whole
}

// openNext opens a trainer's next step when it is time.
func (r *replayed) openNext(of *trainer, now time.Duration) {
	ends := r.whole[of.name]
	if len(ends) < of.steps || of.steps > 0 && (now < of.opened+replayedEvery || now < ends[of.steps-1]+trainingTime) {
		return
	}
	r.openJob(Job{ID: fmt.Sprint(of.name, "-", of.steps), Model: of.name, Desired: of.groups - of.groups/10}, of.groups, now)
	of.opened = now
	of.steps++
}

// lose takes the first replicas away with what runs there.
func (r *replayed) lose(lost int, now time.Duration) {
	r.s.Replicas(describedReplicas(lost, len(r.replicas)))
	for _, key := range r.running() {
		if run := r.runs[key]; run.at < lost {
			r.end(key, run, Broken, now)
		}
	}
}

// TestTrainersKeepUpWithEachOther: with too little room no trainer ends more than a step behind another one, but for one that asks
// for many times as much.
func TestTrainersKeepUpWithEachOther(t *testing.T) {
	for _, load := range scarceLoads {
		whole := load.play(0)
		t.Logf("%s: steps %v", load.name, whole)
		if load.light == 0 && slices.Max(whole)-slices.Min(whole) > 1 {
			t.Errorf("%s: steps %v", load.name, whole)
		}
		if slices.Min(whole) == 0 {
			t.Errorf("%s: a trainer gets nothing: %v", load.name, whole)
		}
	}
}

// TestLightTrainersGetOnBesideAHeavyOne nearly as if they were alone, though one asks for many times as much.
func TestLightTrainersGetOnBesideAHeavyOne(t *testing.T) {
	const leastOfAlone = 0.95 // of the steps
	for _, load := range scarceLoads {
		whole := load.play(0)
		for number := range load.light {
			alone := scarceLoad{replicas: load.replicas, groups: load.groups[number : number+1]}
			if most := alone.play(0)[0]; float64(whole[number]) < leastOfAlone*float64(most) {
				t.Errorf("%s: a light trainer gets %d steps, alone %d", load.name, whole[number], most)
			}
		}
	}
}

// TestOrderOfLatestStartsStays where there is room for all, or all can be in time, or owners ask for about as much.
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
			s.Open(evenJob(fmt.Sprint(number), count, time.Duration(number+1)*time.Second), nil, nil)
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
			t.Fatalf("items %v, %d slots, late %v: order of latest starts %v", items, slots, late, same)
		}
	})
}

// evenJob is a job of a trainer of its own, with items of one length.
func evenJob(id string, items int, deadline time.Duration) Job {
	job := Job{ID: id, Model: "model-" + id, Deadline: deadline}
	for number := range items {
		job.Items = append(job.Items, Item{ID: fmt.Sprint(id, "-", number), Length: 10})
	}
	return job
}

// TestTenantsTakeTurnsByWeight where their weights differ and there is too little room.
func TestTenantsTakeTurnsByWeight(t *testing.T) {
	s := New(Settings{})
	s.Replicas([]Replica{{Instance: "i", Pool: "p", Slots: 1}})
	for number, tenant := range []string{"one", "two"} {
		job := evenJob(tenant, 40, time.Duration(number+1)*time.Second)
		job.Tenant = tenant
		s.Open(job, nil, nil)
	}
	s.Weigh("two", 300)
	s.sortWaiting(3 * time.Second)
	ofTwo := 0
	for _, entry := range s.waitingOrder[:20] {
		if entry.job.Tenant == "two" {
			ofTwo++
		}
	}
	if ofTwo != 15 {
		t.Errorf("%d of the first 20 items are of the tenant with 300 of 400 of the weights", ofTwo)
	}
}

// TestWorkThatRunsCounts: an owner whose items hold the room waits for the others.
func TestWorkThatRunsCounts(t *testing.T) {
	s := New(Settings{})
	s.Replicas([]Replica{{Instance: "i", Pool: "p", Slots: 10}})
	s.Open(evenJob("large", 100, time.Second), nil, nil)
	for number := range 100 {
		s.Route(Key{"large", fmt.Sprint("large-", number)}, []Share{{Pool: "p", Weight: 1}})
	}
	if started := s.Starts(0); len(started) != 10 {
		t.Fatal(started)
	}
	s.Open(evenJob("small", 5, 2*time.Second), nil, nil)
	s.sortWaiting(3 * time.Second)
	if turns := s.Turns(); !turns.Taken || turns.Owners != 2 || turns.Waiting != 95 || turns.Largest != "model/model-large" || turns.Most != 1000 || turns.Least != 50 {
		t.Errorf("%+v", turns)
	}
	for number, entry := range s.waitingOrder[:5] {
		if entry.job.ID != "small" {
			t.Errorf("item %d is of the owner that has all the room", number)
		}
	}
}
