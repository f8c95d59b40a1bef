package weights

import "testing"

// TestServingReflectsLoads checks that Serving returns current loads and served versions while this process leads,
// and nil after it has lost the leadership.
func TestServingReflectsLoads(t *testing.T) {
	f := startFixture(t, 5)
	if err := RegisterVersion(t.Context(), f.control, "m0", 2, "trainer"); err != nil {
		t.Fatal(err)
	}
	f.driver.RequestVersionRead()
	eventually(t, "timed out waiting for Serving to contain a load", func() bool {
		serving := f.driver.Serving()
		return serving != nil && len(serving.Loading) > 0
	})
	eventually(t, "timed out waiting for Serving to contain all replicas at version 2", func() bool {
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
	d.serving = map[string]map[string]uint64{"m0": {"i-0": 1}}
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
