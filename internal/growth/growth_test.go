package growth

import "testing"

// TestExcessiveGrowthIsFound checks the verdict on costs that grow as stated, faster than stated, and not at all because
// nothing was measured.
func TestExcessiveGrowthIsFound(t *testing.T) {
	sizes := []int{100, 200, 400}
	for name, test := range map[string]struct {
		exponent float64
		costs    []float64
		exceeds  bool
	}{
		"constant":                      {0, []float64{10, 10, 10}, false},
		"a deeper tree":                 {0, []float64{10, 11, 13}, false},
		"linear, stated as constant":    {0, []float64{10, 20, 40}, true},
		"linear":                        {1, []float64{10, 20, 40}, false},
		"quadratic, stated as linear":   {1, []float64{10, 40, 160}, true},
		"too much at a size in between": {0, []float64{10, 30, 10}, true},
		"nothing measured":              {1, []float64{0, 0, 0}, true},
	} {
		if reason := excess(test.exponent, sizes, test.costs); (reason != "") != test.exceeds {
			t.Errorf("%s: verdict %q, want an excess: %v", name, reason, test.exceeds)
		}
	}
}

// TestAllocatedBytesAreCounted checks that the bytes of a step are counted.
func TestAllocatedBytesAreCounted(t *testing.T) {
	var held []byte
	if bytes := AllocatedBytes(func() { held = make([]byte, 1024) }); bytes < 1024 || bytes > 1500 {
		t.Errorf("a step that allocates %d bytes counts as %.0f", len(held), bytes)
	}
}
