package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/growth"
)

// describePools returns the names of the replicas of each pool in the order of the scheduler's lists, and checks that each
// replica knows its place.
func describePools(t interface{ Fatalf(string, ...any) }, s *Scheduler) string {
	text := ""
	for _, name := range []string{"p", "q"} {
		for position, one := range s.poolNamed(name).replicas {
			if one.index != position || one.draining || s.replicas[one.Instance] != one {
				t.Fatalf("replica %+v stands at %d of pool %s", one.Replica, position, name)
			}
			text += fmt.Sprintf("%s %s %d, ", name, one.Instance, one.Slots)
		}
	}
	return text
}

// TestChangesOfReplicasEqualTheWholeSet checks a scheduler that is told only which replicas have changed against one that
// is given the whole set each time.
func TestChangesOfReplicasEqualTheWholeSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, changing := New(Settings{}), New(Settings{})
		present := map[string]Replica{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var changed []Replica
			var removed []string
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				instance := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "instance")
				removed = append(removed, instance)
				delete(present, instance)
				if rapid.Bool().Draw(t, "present") {
					present[instance] = Replica{Instance: instance, Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"), Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
				}
			}
			for _, instance := range removed {
				if described, stays := present[instance]; stays {
					changed = append(changed, described)
				}
			}
			var all []Replica
			for _, described := range present {
				all = append(all, described)
			}
			whole.Replicas(all)
			changing.ChangeReplicas(changed, removed)
			if got, want := describePools(t, changing), describePools(t, whole); got != want || len(changing.replicas) != len(present) {
				t.Fatalf("after changes %v and removals %v: %s with %d known, want %s with %d", changed, removed, got, len(changing.replicas), want, len(present))
			}
		}
	})
}

// TestCostOfAChangedReplicaDoesNotGrowWithTheFleet guards against lists of all replicas that are built for each version of
// the table.
func TestCostOfAChangedReplicaDoesNotGrowWithTheFleet(t *testing.T) {
	growth.Check(t, "bytes to change a replica", 0, []int{1000, 2000, 4000}, func(replicas int) float64 {
		s := New(Settings{})
		var all []Replica
		for number := range replicas {
			all = append(all, Replica{Instance: fmt.Sprintf("r%05d", number), Pool: "p", Slots: 6})
		}
		s.Replicas(all)
		number := 0
		return growth.AllocatedBytes(func() {
			number++
			changed := all[number%replicas]
			changed.Slots = 1 + number%6
			s.ChangeReplicas([]Replica{changed}, []string{changed.Instance, fmt.Sprintf("r%05d", (number+replicas/2)%replicas)})
			s.ChangeReplicas(all[(number+replicas/2)%replicas:][:1], nil)
		})
	})
}

// TestReplicasWithOldVersionsAreLeftOutOnly checks the choice of replicas by their reported versions against a look at all
// of them: it must have every replica that can start the item.
func TestReplicasWithOldVersionsAreLeftOutOnly(t *testing.T) {
	narrowed := 0
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(Settings{}), time.Duration(0)
		s.Open(Job{ID: "j", Model: "m", MinVersion: 5, Items: []Item{{ID: "i", Group: "g"}}}, nil, nil)
		entry := s.jobs["j"].items["i"]
		names := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			name := rapid.SampledFrom(names).Draw(t, "replica")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				s.ChangeReplicas([]Replica{{Instance: name, Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"), Slots: 2}}, nil)
			case 1:
				s.ChangeReplicas(nil, []string{name})
			case 2, 3:
				s.SetServedVersion(name, "m", uint64(rapid.IntRange(3, 6).Draw(t, "version")), rapid.Bool().Draw(t, "loading"), now)
			case 4:
				s.ConfirmServedVersions(now)
			case 5:
				s.ForgetServedVersion(name, "m")
			case 6:
				if known := s.replicas[name]; known != nil {
					s.noteVersion(known, "m", uint64(rapid.IntRange(3, 6).Draw(t, "answered")), now)
				}
			}
			for _, pool := range s.pools {
				chosen := map[*replica]bool{}
				for _, one := range s.mayStart(entry, pool, now) {
					chosen[one] = true
				}
				for _, one := range pool.replicas {
					if s.canStart(one, entry, now) && !chosen[one] {
						t.Fatalf("replica %s can start the item and is left out: %+v", one.Instance, one.versions)
					}
				}
				if len(chosen) < len(pool.replicas) {
					narrowed++
				}
			}
		}
	})
	if narrowed == 0 {
		t.Fatal("no choice was ever narrowed")
	}
}

// TestCostOfWaitingItemsDoesNotGrowWithTheFleet guards against a look at all replicas, each time a run ends, for items that
// wait for weights which few replicas have.
func TestCostOfWaitingItemsDoesNotGrowWithTheFleet(t *testing.T) {
	growth.Check(t, "replicas considered for an item", 0, []int{1000, 2000, 4000}, func(replicas int) float64 {
		s := newLargeScheduler(replicas, 8)
		s.jobs["job"].MinVersion = 2
		for number := range 10 {
			s.SetServedVersion(fmt.Sprintf("i-%05d", number), "m", 2, false, time.Second)
		}
		s.ConfirmServedVersions(time.Second)
		return float64(len(s.mayStart(s.jobs["job"].items["item-1"], s.pools["pool"], time.Second)))
	})
}
