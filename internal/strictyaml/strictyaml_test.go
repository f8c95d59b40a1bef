package strictyaml

import (
	"strings"
	"testing"
	"time"
)

type inner struct {
	Wait time.Duration `yaml:"wait"`
	Size int           `yaml:"size"`
}

type outer struct {
	Name  string        `yaml:"name"`
	Every time.Duration `yaml:"every"`
	Parts []inner       `yaml:"parts"`
}

const valid = `name: a
every: 20ms # a comment
parts:
  - wait: "2s"
    size: 4
  - {wait: 1m, size: 5}
`

func TestDecode(t *testing.T) {
	var decoded outer
	if err := Decode("a.yaml", []byte(valid), &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded.Every != 20*time.Millisecond || decoded.Parts[0].Wait != 2*time.Second || decoded.Parts[1].Wait != time.Minute {
		t.Errorf("decoded %+v", decoded)
	}
}

// TestErrorsNameFileLineAndField breaks one line of a valid file at a time. Errors of the library and those of
// duration checks must both name the place.
func TestErrorsNameFileLineAndField(t *testing.T) {
	cases := []struct{ from, to, line, field string }{
		{"wait: 1m", "wait: soon", "a.yaml:6", "parts[1].wait"},
		{"every: 20ms", "every: 20", "a.yaml:2", "every"},
		{"size: 4", "sice: 4", "a.yaml:5", "sice"},
		{"size: 5", "size: x", "a.yaml:6", "parts[1].size"},
		{"name: a", "name: a\nname: b", "a.yaml:2", "name"},
		{"parts:", "parts: [", "a.yaml:3", ""},
	}
	for _, test := range cases {
		var decoded outer
		err := Decode("a.yaml", []byte(strings.Replace(valid, test.from, test.to, 1)), &decoded)
		if err == nil || !strings.Contains(err.Error(), test.line) || !strings.Contains(err.Error(), test.field) {
			t.Errorf("%s: error %v, want %s and %s", test.to, err, test.line, test.field)
		}
	}
}

func TestLocate(t *testing.T) {
	err := Locate("a.yaml", []byte(valid), Within("parts[0]", Fieldf("size", "%d is too many", 4)))
	if err == nil || err.Error() != "a.yaml:5: parts[0].size: 4 is too many" {
		t.Errorf("located %v", err)
	}
	missing := Locate("a.yaml", []byte(valid), Fieldf("parts[1].absent", "is needed"))
	if missing == nil || !strings.HasPrefix(missing.Error(), "a.yaml:6: parts[1].absent") {
		t.Errorf("located %v", missing)
	}
}
