package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["giant"] = playGiant }

const (
	// replicaMemory is the memory of a replica in tokens, as in the configuration.
	replicaMemory = 52385
	// stepLimit is when the trainer gives the step up: the deadline of its requests on the sheet.
	stepLimit = 12 * time.Second
	// longestWait is how long an item may be at no replica that are below half full.
	longestWait = 5 * time.Second
)

// tokensOf returns the tokens that a request may need.
func tokensOf(request *http.Request) int {
	in, out, _ := strings.Cut(request.Header.Get("X-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(in)
	most, _ := strconv.Atoi(out)
	return prompt + most
}

// step is the batch job of one step of a trainer.
type step struct {
	items []item
	sent  time.Time
	until time.Time // when the trainer had what it waits for, or gave the step up
}

// readStep reads a step as its trainer does, until the desired number of groups is whole or its limit is over, and ends it.
func (w *world) readStep(made *step, job string, desired int) (whole int) {
	left, groupOf := map[string]int{}, map[string]string{}
	for _, one := range made.items {
		left[one.Group]++
		groupOf[one.ID] = one.Group
	}
	for next, from := 0, 0; time.Since(made.sent) < stepLimit && whole < desired; next++ {
		got, list := w.read(w.gateways[next%len(w.gateways)], job, from)
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
	made.until = time.Now()
	w.note("%d groups are whole %.1f s after the step was sent; the trainer waits for %d", whole, made.until.Sub(made.sent).Seconds(), desired)
	got := ask(3*time.Second, http.MethodDelete, "http://"+w.gateways[0].address(frontPort)+"/-/lots/"+job, batchHost, nil, nil)
	w.note("the end of the step is answered %d", got.status)
	return whole
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

// playGiant has a trainer submit one step in which less than a tenth of the groups hold items that are larger than a replica's
// memory, which replicas reject as though they were full. It checks that the step doesn't run out of time while its other
// items wait at no replica.
func playGiant(w *world) (broken []string) {
	const replicas, slots, groups, size, giants, job = 9, 16, 54, 4, 5, "aa00e09b52d6a3f8"
	const desired = (9*groups + 9) / 10
	w.addMachines(2, false)
	w.startAll()
	for number := range replicas {
		one := w.addReplica(fmt.Sprintf("i-model-%d", number), modelService, slots)
		one.eventPause = 100 * time.Millisecond
		one.refuses = func(request *http.Request) bool { return tokensOf(request) > replicaMemory }
	}
	w.putConfiguration(1)
	w.waitUntilServing()
	time.Sleep(2*contactTime + time.Second) // the core is stable, all machines are in touch, and the version was named long before
	made := &step{}
	for position := range groups * size {
		one := newItem(job, position)
		one.Group = fmt.Sprintf("g%d", position/size)
		if w.trouble && position/size < giants {
			one.Headers["X-Token-Usage"], one.Tokens = "56000,4000", 60000
		}
		made.items = append(made.items, one)
	}
	made.sent = time.Now()
	if statuses := w.submit(job, made.items, 3*time.Second); statuses[len(statuses)-1] != http.StatusAccepted {
		panic("the step was not accepted")
	}
	whole := w.readStep(made, job, desired)
	w.note("%d requests were rejected as larger than a replica's memory", w.refusals.Load())
	if whole >= desired {
		return nil
	}
	runs := w.runs.all()
	busy := halfFull(runs, replicas*slots, made.until)
	begun, finished := map[string]bool{}, map[string]bool{}
	for _, one := range runs {
		begun[one.attempt] = true
		finished[one.attempt] = finished[one.attempt] || one.whole
	}
	others, waiting, longest := 0, 0, time.Duration(0)
	for _, one := range made.items {
		if begun[one.ID] {
			others++
		}
		if finished[one.ID] || one.Tokens > replicaMemory {
			continue
		}
		if waited := waitedFor(made, one.ID, runs, busy); waited >= longestWait {
			longest, waiting = max(longest, waited), waiting+1
		}
	}
	w.note("the step ran out of time: %d of %d items had begun; %d unfinished ones that fit were at no replica for 5 s and more (up to %.1f s) while the replicas were below half full",
		others, len(made.items), waiting, longest.Seconds())
	if others > 0 && waiting > 0 {
		broken = append(broken, fmt.Sprintf("LOST: the step ran out of time while %d of its items, which no replica finished or failed, were at no replica for up to %.1f s; %d others had begun", waiting, longest.Seconds(), others))
	}
	return broken
}
