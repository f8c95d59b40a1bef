package weights

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// countLoading returns the number of replicas that are loading a version of m0.
func countLoading(serving *Serving) int {
	count := 0
	for _, served := range serving.Replicas("m0") {
		if served.Loading {
			count++
		}
	}
	return count
}

// TestServingReflectsLoads checks that Serving returns current loads and served versions while this process leads,
// and nil after it has lost the leadership.
func TestServingReflectsLoads(t *testing.T) {
	f := startFixture(t, 5)
	if err := RegisterVersion(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.driver.RequestVersionRead()
	eventually(t, "timed out waiting for Serving to contain a load", func() bool {
		return countLoading(f.driver.Serving()) > 0
	})
	eventually(t, "timed out waiting for Serving to contain all replicas at version 2", func() bool {
		serving := f.driver.Serving()
		if len(serving.Replicas("m0")) != 5 || countLoading(serving) > 0 {
			return false
		}
		for _, served := range serving.Replicas("m0") {
			if served.Version != 2 {
				return false
			}
		}
		return true
	})
	f.leading.Store(false)
	if serving := f.driver.Serving(); serving != nil {
		t.Fatalf("Serving() of a process that does not lead: got %v, want nil", serving)
	}
}

// TestNothingIsPublishedBeforeSurvey checks that versions are withheld until the replicas were surveyed, also if the
// leader published an empty Serving before.
func TestNothingIsPublishedBeforeSurvey(t *testing.T) {
	d := newFixture(t, 1).driver
	d.publish()
	if serving := d.Serving(); serving == nil || serving.HasVersions() {
		t.Fatalf("Serving() before any report: got %v, want an empty Serving", serving)
	}
	d.served.setVersion("m0", "i-0", 1)
	d.publish()
	if serving := d.Serving(); serving != nil {
		t.Fatalf("Serving() before the survey: got %v, want nil", serving)
	}
	d.markSurveyed(d.tenure)
	d.publish()
	if !d.Serving().HasVersions() {
		t.Fatal("Serving() contains no versions after the survey")
	}
}

// TestServingFollowedByUpdatesEqualsTheOriginal checks readers that are told only what has changed since their last look:
// each of them, and one that reads from another reader, must see the same as the original. Some look rarely, so that the
// changes since are no longer known, and the original begins anew at times, as with a new leader.
func TestServingFollowedByUpdatesEqualsTheOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := newServingState()
		var original, near, far *Serving
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 30).Draw(t, "new leader") == 0 {
				state = newServingState()
			}
			for range rapid.IntRange(1, 5).Draw(t, "changes") {
				model, replica := rapid.SampledFrom([]string{"m0", "m1"}).Draw(t, "model"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "replica")
				state.setVersion(model, replica, uint64(rapid.IntRange(0, 3).Draw(t, "version")))
				state.setLoading(model, replica, rapid.Bool().Draw(t, "loading"))
			}
			if rapid.IntRange(0, 15).Draw(t, "more changes than are known") == 0 {
				for number := range maximumServingChanges + 1 {
					state.setVersion("m0", "d", uint64(1+number%2))
				}
			}
			original = state.finish()
			if rapid.Bool().Draw(t, "near looks") {
				near = follow(t, near, original)
			}
			if near != nil && rapid.Bool().Draw(t, "far looks") {
				far = follow(t, far, near)
			}
		}
	})
}

// follow returns a reader's Serving after an update from a source, and checks that it equals the source.
func follow(t *rapid.T, reader, source *Serving) *Serving {
	next, err := reader.Apply(source.UpdateFrom(reader.Position()))
	if err != nil {
		t.Fatal(err)
	}
	for _, model := range []string{"m0", "m1"} {
		if got, want := next.Replicas(model), source.Replicas(model); !maps.Equal(got, want) {
			t.Fatalf("a reader sees %v of %s, want %v", got, model, want)
		}
	}
	return next
}
