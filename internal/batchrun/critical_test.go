package batchrun

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// jobWithEnds returns a job whose items finished at the given seconds, by group. 0 stands for an item without a result.
func jobWithEnds(desired uint32, groups map[string][]int) *job {
	created := &job{submit: &wire.JobSubmit{Desired: desired}, items: map[string]*item{}, openedAt: time.Second}
	for group, ends := range groups {
		for number, second := range ends {
			id := group + string(rune('0'+number))
			end := time.Duration(second) * time.Second
			created.items[id] = &item{wire: &wire.JobItem{Id: id, Group: group}, open: second == 0, timing: itemTiming{
				hasRun: true, firstRunAt: 2 * time.Second, runningTime: 2 * time.Second, runs: 2, events: 9, finishedAt: end}}
		}
	}
	return created
}

// The critical item is the one that completed the last wanted group, and not the last item of the job. There is none if
// fewer groups than wanted are complete.
func TestCriticalItemCompletesTheWantedGroups(t *testing.T) {
	groups := map[string][]int{"a": {3, 9}, "b": {8, 4}, "c": {12, 5}, "d": {1, 0}}
	for desired, want := range map[uint32]string{1: "b0", 2: "a1", 3: "c0"} {
		path, found := jobWithEnds(desired, groups).criticalPath(13 * time.Second)
		if !found || path.item != want {
			t.Errorf("with %d desired groups: critical path %+v, want item %s", desired, path, want)
		}
	}
	for _, desired := range []uint32{4, 0} {
		if path, found := jobWithEnds(desired, groups).criticalPath(13 * time.Second); found {
			t.Errorf("with %d desired groups, which never were complete: critical path %+v, want none", desired, path)
		}
	}
}

// The parts of a critical path must add up to the time from the job's opening to its end.
func TestCriticalPathAddsUp(t *testing.T) {
	path, found := jobWithEnds(2, map[string][]int{"a": {3, 9}, "b": {8, 4}}).criticalPath(13 * time.Second)
	want := criticalPath{item: "a1", wait: time.Second, running: 2 * time.Second, between: 5 * time.Second, after: 4 * time.Second, runs: 2, events: 9}
	if !found || path != want {
		t.Fatalf("critical path %+v, want %+v", path, want)
	}
	if path.wait+path.running+path.between+path.after != 12*time.Second {
		t.Fatal("the parts do not add up to 12 s")
	}
}
