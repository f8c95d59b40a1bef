package executorclient

import (
	"fmt"
	"slices"
	"testing"
)

// TestRunsAreNotDrivenByTheirLeader: in each zone a process other than the leader's must drive the runs, so that none
// is lost with the leader. The leader's own executor is the last resort for its zone.
func TestRunsAreNotDrivenByTheirLeader(t *testing.T) {
	lead, b, c := Peer{Name: "lead", Zone: "a"}, Peer{Name: "b", Zone: "b"}, Peer{Name: "c", Zone: "c"}
	beside := Peer{Name: "beside", Zone: "a"}
	for _, one := range []struct {
		usable []Peer
		zone   string
		want   []string // any of these names; nil: no executor, the leader drives the run itself
	}{
		{[]Peer{lead, b, c}, "b", []string{"b"}},
		{[]Peer{lead, b, c}, "a", []string{"b", "c"}},
		{[]Peer{lead, beside, b, c}, "a", []string{"beside"}},
		{[]Peer{lead}, "a", []string{"lead"}},
		{[]Peer{lead, b}, "c", nil},
		{[]Peer{b, c}, "a", nil},
	} {
		found, is := choose(one.usable, "lead", one.zone, "r1")
		if is != (one.want != nil) || is && !slices.Contains(one.want, found.Name) {
			t.Errorf("zone %s, usable %v: chose %q, want one of %v", one.zone, one.usable, found.Name, one.want)
		}
	}
}

// TestReplicasKeepTheirExecutor: the choice must not depend on the order of the members, and must spread replicas over
// the executors.
func TestReplicasKeepTheirExecutor(t *testing.T) {
	peers := []Peer{{Name: "lead", Zone: "a"}, {Name: "b", Zone: "b"}, {Name: "c", Zone: "c"}}
	reversed := []Peer{peers[2], peers[1], peers[0]}
	replicasByExecutor := map[string]int{}
	for number := range 100 {
		instance := fmt.Sprint("r", number)
		first, _ := choose(peers, "lead", "a", instance)
		second, _ := choose(reversed, "lead", "a", instance)
		if first != second {
			t.Errorf("replica %s: chose %s, and %s with the members in another order", instance, first.Name, second.Name)
		}
		replicasByExecutor[first.Name]++
	}
	if replicasByExecutor["b"] < 30 || replicasByExecutor["c"] < 30 {
		t.Errorf("100 replicas by executor: %v, want at least 30 each at b and c", replicasByExecutor)
	}
}
