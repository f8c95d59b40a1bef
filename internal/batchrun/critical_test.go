package batchrun

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// pathJob has items that finished at the seconds of each group, in its order; 0: without a result.
func pathJob(desired uint32, groups map[string][]int) *job {
	made := &job{submit: &wire.JobSubmit{Desired: desired}, items: map[string]*item{}, opened: time.Second}
	for group, ends := range groups {
		for number, second := range ends {
			id := group + string(rune('0'+number))
			end := time.Duration(second) * time.Second
			made.items[id] = &item{wire: &wire.JobItem{Id: id, Group: group}, open: second == 0, path: itemPath{
				began: true, first: 2 * time.Second, running: 2 * time.Second, runs: 2, events: 9, finished: end}}
		}
	}
	return made
}

// TestCriticalItemIsTheOneThatMadeEnoughGroupsWhole: not the last item of all, and none where groups are missing.
func TestCriticalItemIsTheOneThatMadeEnoughGroupsWhole(t *testing.T) {
	groups := map[string][]int{"a": {3, 9}, "b": {8, 4}, "c": {12, 5}, "d": {1, 0}}
	for desired, want := range map[uint32]string{1: "b0", 2: "a1", 3: "c0"} {
		path, found := pathJob(desired, groups).criticalPath(13 * time.Second)
		if !found || path.item != want {
			t.Errorf("%d groups are waited for: %+v, want %s", desired, path, want)
		}
	}
	for _, desired := range []uint32{4, 0} {
		if path, found := pathJob(desired, groups).criticalPath(13 * time.Second); found {
			t.Errorf("%d groups are waited for, which never were whole: %+v", desired, path)
		}
	}
}

// TestCriticalPathAddsUp: its parts are the time from the opening to the end.
func TestCriticalPathAddsUp(t *testing.T) {
	path, found := pathJob(2, map[string][]int{"a": {3, 9}, "b": {8, 4}}).criticalPath(13 * time.Second)
	want := criticalPath{item: "a1", wait: time.Second, running: 2 * time.Second, between: 5 * time.Second, after: 4 * time.Second, runs: 2, events: 9}
	if !found || path != want {
		t.Fatalf("%+v, want %+v", path, want)
	}
	if path.wait+path.running+path.between+path.after != 12*time.Second {
		t.Fatal("the parts don't add up")
	}
}
