package workload

import "testing"

// FuzzParse takes any bytes as a workload: it is refused, or valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte("sources: []\n"))
	f.Add([]byte("sources:\n  - {name: a, arrival: {per_second: .inf}}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := Parse("workload.yaml", content)
		if err != nil {
			return
		}
		if err := parsed.Validate(); err != nil {
			t.Fatalf("an invalid workload was taken: %v", err)
		}
		parsed.SetDefaults()
		if err := parsed.Validate(); err != nil {
			t.Fatalf("defaults are not stable: %v", err)
		}
	})
}
