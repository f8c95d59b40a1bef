package workload

import "testing"

// FuzzParse checks that Parse either rejects its input or returns a valid workload that SetDefaults keeps valid.
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
			t.Fatalf("Parse accepted an invalid workload: %v", err)
		}
		parsed.SetDefaults()
		if err := parsed.Validate(); err != nil {
			t.Fatalf("workload is invalid after setting the defaults again: %v", err)
		}
	})
}
