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
