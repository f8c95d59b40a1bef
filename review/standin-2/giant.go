package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["giant"] = playGiant }

const (
	// replicaMemory is the memory of a replica in tokens, as in the configuration.
	replicaMemory = 52385
	// stepTime is the time between two steps of a trainer, dueTime when a step is due, and stepLimit when the checked trainer
	// gives a step up.
	stepTime  = 4 * time.Second
	dueTime   = 7500 * time.Millisecond
	stepLimit = 12 * time.Second
	// longestWait is how long an item may be at no replica that are below half full.
	longestWait = 5 * time.Second
	// playTime is how long the trainers ask for steps.
	playTime = 40 * time.Second
)

// tokensOf returns the tokens that a request may need.
func tokensOf(request *http.Request) int {
	in, out, _ := strings.Cut(request.Header.Get("X-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(in)
	most, _ := strconv.Atoi(out)
	return prompt + most
}

// step is one batch job of a trainer.
type step struct {
	job      string
	items    []item
	sent     time.Time
	until    time.Time // when its trainer had what it waits for, or gave the step up
	complete bool
}

// trainer submits a step every stepTime, ahead of the earlier ones, and ends each when 90% of its groups are whole or at its
// limit.
type trainer struct {
	w             *world
	name          string
	groups, group int // number of groups, and items of each
	giants        int // groups whose items are larger than a replica's memory
	limit         time.Duration
	mutex         sync.Mutex
	steps         []*step
	reading       sync.WaitGroup
}

// ask submits the next step and reads its results beside the later steps.
func (t *trainer) ask(number int) {
	job := fmt.Sprintf("%s%02x0000000000000", t.name, number)
	made := &step{job: job, sent: time.Now()}
	for position := range t.groups * t.group {
		one := newItem(job, position)
		one.Group = fmt.Sprintf("g%d", position/t.group)
		if position/t.group < t.giants {
			one.Headers["X-Token-Usage"], one.Tokens = "56000,4000", 60000
		}
		made.items = append(made.items, one)
	}
	t.mutex.Lock()
	t.steps = append(t.steps, made)
	t.mutex.Unlock()
	statuses := t.w.submit(job, made.items, 3*time.Second)
	if statuses[len(statuses)-1] != http.StatusAccepted {
		return
	}
	t.reading.Go(func() { t.readStep(made, number) })
}

// readStep reads a step until 90% of its groups are whole or its limit is over, and ends it.
func (t *trainer) readStep(made *step, number int) {
	left := map[string]int{}
	for _, one := range made.items {
		left[one.Group]++
	}
	groupOf := map[string]string{}
	for _, one := range made.items {
		groupOf[one.ID] = one.Group
	}
	desired, whole, from := (9*t.groups+9)/10, 0, 0
	for time.Since(made.sent) < t.limit && whole < desired {
		got, list := t.w.read(t.w.gateways[(number+from)%len(t.w.gateways)], made.job, from)
		if got.status == http.StatusOK {
			from += len(list.Results)
		}
		for _, one := range list.Results {
			if group := groupOf[one.ID]; one.State == "completed" {
				if left[group]--; left[group] == 0 {
					whole++
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	made.until, made.complete = time.Now(), whole >= desired
	t.w.note("%s: %d of %d groups are whole after %.1f s (wanted %d)", made.job, whole, t.groups, made.until.Sub(made.sent).Seconds(), desired)
	got := ask(3*time.Second, http.MethodDelete, "http://"+t.w.gateways[0].address(frontPort)+"/-/lots/"+made.job, batchHost, nil, nil)
	if got.status != http.StatusOK {
		t.w.note("the end of %s was answered %d", made.job, got.status)
	}
}

// halfFull returns the intervals in which at least half of the slots were in use, by runs.
func halfFull(runs []run, slots int, end time.Time) (busy [][2]time.Time) {
	type change struct {
		at   time.Time
		more int
	}
	var changes []change
	for _, one := range runs {
		until := one.ended
		if until.IsZero() {
			until = end
		}
		changes = append(changes, change{one.began, 1}, change{until, -1})
	}
	sortBy(changes, func(a, b change) bool { return a.at.Before(b.at) })
	running, since := 0, time.Time{}
	for _, one := range changes {
		before := running
		running += one.more
		switch {
		case before*2 < slots && running*2 >= slots:
			since = one.at
		case before*2 >= slots && running*2 < slots:
			busy = append(busy, [2]time.Time{since, one.at})
		}
	}
	return busy
}

// waitedFor returns the longest time in which an item was at no replica while the replicas were below half full.
func waitedFor(one *step, id string, runs []run, busy [][2]time.Time) (longest time.Duration) {
	taken := append([][2]time.Time(nil), busy...)
	for _, made := range runs {
		if made.attempt == id {
			until := made.ended
			if until.IsZero() {
				until = one.until
			}
			taken = append(taken, [2]time.Time{made.began, until})
		}
	}
	sortBy(taken, func(a, b [2]time.Time) bool { return a[0].Before(b[0]) })
	free := one.sent
	for _, interval := range append(taken, [2]time.Time{one.until, one.until}) {
		if interval[0].After(one.until) {
			interval[0] = one.until
		}
		longest = max(longest, interval[0].Sub(free))
		if interval[1].After(free) {
			free = interval[1]
		}
	}
	return longest
}

// playGiant has one trainer whose steps hold a tenth of groups with items that are larger than a replica's memory, which
// replicas reject as though they were full. It checks that the steps of another trainer, whose items all fit, don't run out
// of time while their items wait at no replica.
func playGiant(w *world) (broken []string) {
	w.addMachines(2, false)
	w.startAll()
	const replicas, slots = 9, 16
	for number := range replicas {
		one := w.addReplica(fmt.Sprintf("i-model-%d", number), modelService, slots)
		one.eventPause = 100 * time.Millisecond
		one.refuses = func(request *http.Request) bool { return tokensOf(request) > replicaMemory }
	}
	w.putConfiguration(1)
	w.waitUntilServing()
	time.Sleep(contactTime + 2*time.Second)
	large := &trainer{w: w, name: "aa", groups: 54, group: 4, limit: dueTime + 700*time.Millisecond}
	if w.trouble {
		large.giants = 5
	}
	sound := &trainer{w: w, name: "bb", groups: 54, group: 4, limit: stepLimit}
	for begun, number := time.Now(), 0; time.Since(begun) < playTime; number++ {
		sound.ask(number)
		time.Sleep(stepTime / 8)
		large.ask(number)
		time.Sleep(time.Until(begun.Add(time.Duration(number+1) * stepTime)))
	}
	large.reading.Wait()
	sound.reading.Wait()
	runs := w.runs.all()
	busy := halfFull(runs, replicas*slots, time.Now())
	for _, one := range append(append([]*step(nil), sound.steps...), large.steps...) {
		if one.complete || one.until.IsZero() {
			continue
		}
		begun, finished := map[string]bool{}, map[string]bool{}
		for _, made := range runs {
			begun[made.attempt] = true
			finished[made.attempt] = finished[made.attempt] || made.whole
		}
		ofStep, longest, waiting := 0, time.Duration(0), 0
		for _, each := range one.items {
			if begun[each.ID] {
				ofStep++
			}
			if finished[each.ID] || each.Tokens > replicaMemory {
				continue
			}
			if waited := waitedFor(one, each.ID, runs, busy); waited >= longestWait {
				longest, waiting = max(longest, waited), waiting+1
			}
		}
		w.note("%s ran out of time: %d of %d items had begun; %d unfinished ones were at no replica for 5 s and more (up to %.1f s) while the replicas were below half full",
			one.job, ofStep, len(one.items), waiting, longest.Seconds())
		if ofStep > 0 && waiting > 0 {
			broken = append(broken, fmt.Sprintf("LOST: step %s ran out of time while %d of its items were at no replica for up to %.1f s; %d others had begun", one.job, waiting, longest.Seconds(), ofStep))
		}
	}
	w.note("%d requests were rejected as larger than a replica's memory", w.refusals.Load())
	return broken
}
