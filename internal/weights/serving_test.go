package weights

import "testing"

// TestServingFollowsTheLoads: what the replicas serve is known while this process leads, a load from its order on.
func TestServingFollowsTheLoads(t *testing.T) {
	f := start(t, 5)
	if err := Put(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.driver.Look()
	eventually(t, "a load that is known", func() bool {
		serving := f.driver.Serving()
		return serving != nil && len(serving.Loading) > 0
	})
	eventually(t, "all replicas at the version", func() bool {
		serving := f.driver.Serving()
		if serving == nil || len(serving.Versions["m0"]) != 5 || len(serving.Loading) > 0 {
			return false
		}
		for _, number := range serving.Versions["m0"] {
			if number != 2 {
				return false
			}
		}
		return true
	})
	f.leading.Store(false)
	if serving := f.driver.Serving(); serving != nil {
		t.Fatalf("a process that does not lead knows %v", serving)
	}
}

// TestNothingIsToldWhileReplicasAreAsked, also by a leader that told before that it had heard none.
func TestNothingIsToldWhileReplicasAreAsked(t *testing.T) {
	d := prepare(t, 1).driver
	d.publish()
	if serving := d.Serving(); serving == nil || serving.Knows() {
		t.Fatalf("a leader that has heard no replica tells %v", serving)
	}
	d.serving = map[string]map[string]uint64{"m0": {"i-0": 1}}
	d.publish()
	if serving := d.Serving(); serving != nil {
		t.Fatalf("%v is told before the replicas were asked", serving)
	}
	d.noteSurveyed(d.tenure)
	d.publish()
	if !d.Serving().Knows() {
		t.Fatal("nothing is told once they were asked")
	}
}
