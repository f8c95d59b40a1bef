package settings

import (
	"reflect"
	"strings"
	"testing"
)

func TestParseReadsScalarsAndLists(t *testing.T) {
	fields, err := Parse("a.yaml", []byte("# a node\nname: g1\nlisten: \"127.0.0.1:7000\"\nlimit: 12\nslow: true\ncontrol:\n  - 127.0.0.1:1\n  - 127.0.0.1:2\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := []Field{
		{Key: "name", Values: []string{"g1"}, Line: 2},
		{Key: "listen", Values: []string{"127.0.0.1:7000"}, Line: 3},
		{Key: "limit", Values: []string{"12"}, Line: 4},
		{Key: "slow", Values: []string{"true"}, Line: 5},
		{Key: "control", Values: []string{"127.0.0.1:1", "127.0.0.1:2"}, List: true, Line: 6},
	}
	if !reflect.DeepEqual(fields, want) {
		t.Fatalf("got %+v\nwant %+v", fields, want)
	}
}

// TestParseRefusesWithFileAndLine checks that errors name the file, and the line and key where they are known.
func TestParseRefusesWithFileAndLine(t *testing.T) {
	for content, want := range map[string]string{
		"name: a\nname: b\n":          "a.yaml",
		"name: a\nlimits:\n  x: 1\n":  "a.yaml:2: limits",
		"- name\n":                    "a.yaml:1",
		"name: a\n---\nname: b\n":     "a.yaml:3",
		"control:\n  - [1, 2]\n":      "a.yaml:2: control",
		"name: [unclosed\nother: 1\n": "a.yaml",
	} {
		if _, err := Parse("a.yaml", []byte(content)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("content %q: error %v does not contain %q", content, err, want)
		}
	}
}

func TestParseAcceptsAnEmptyFile(t *testing.T) {
	if fields, err := Parse("a.yaml", []byte("# nothing\n")); err != nil || len(fields) != 0 {
		t.Fatalf("fields %v, error %v", fields, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("name: a\ncontrol: [x, y]\n"))
	f.Add([]byte("a: |\n  b\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		fields, err := Parse("fuzz.yaml", content)
		if err == nil {
			for _, field := range fields {
				if !field.List && len(field.Values) != 1 {
					t.Fatalf("scalar %q has %d values", field.Key, len(field.Values))
				}
			}
		}
	})
}
