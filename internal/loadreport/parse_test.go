package loadreport

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestParse covers valid texts with and without a pace or further fields, and texts that must be rejected as a whole.
func TestParse(t *testing.T) {
	for text, want := range map[string]Report{
		"3,0,8":           {Running: 3, Slots: 8},
		" 3, 1 ,8 ":       {Running: 3, Waiting: 1, Slots: 8},
		"3,0,8,250":       {Running: 3, Slots: 8, Pace: 2.5},
		"3,0,8,0":         {Running: 3, Slots: 8},
		"3,0,8,250,extra": {Running: 3, Slots: 8, Pace: 2.5},
		"3,0,8,55,":       {Running: 3, Slots: 8, Pace: 0.55},
	} {
		if got, err := Parse(text); err != nil || got != want {
			t.Errorf("%q: report %+v, error %v, want the report of the table above and no error", text, got, err)
		}
	}
	for _, text := range []string{"", "3", "3,0", "3,0,", "3,0,8,", "3,0,8,x", "-1,0,8", "3,0,8,-5", "3;0;8", "3,0,99999999999999999999",
		"3,0,8,100" + strings.Repeat(",1", maxTextBytes)} {
		if got, err := Parse(text); !errors.Is(err, ErrUnreadable) || got != (Report{}) {
			t.Errorf("%q: report %+v, error %v, want an empty report and ErrUnreadable", text, got, err)
		}
	}
}

// TestAge covers an observation in the past, one later than now, whose age is 0, and the name of a source.
func TestAge(t *testing.T) {
	seen := Observation{Seen: time.Second, Source: FromRefusal}
	if seen.Age(3*time.Second) != 2*time.Second || seen.Age(0) != 0 || seen.Source.String() != "refusal" {
		t.Errorf("age %v after 2 s, %v before the arrival, source %v; want 2s, 0s, refusal", seen.Age(3*time.Second), seen.Age(0), seen.Source)
	}
}

// FuzzParse checks that no text yields a report with a negative or NaN field or a report beside an error, and that a
// formatted report parses to the same report.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"3,0,8", "3,0,8,250", "0,0,0,0,0", ",,", "+1,0,8", "1,2,3,4x", "9223372036854775807,1,1,1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		report, err := Parse(text)
		if err != nil {
			if report != (Report{}) {
				t.Fatalf("%q: report %+v beside an error, want an empty one", text, report)
			}
			return
		}
		if report.Running < 0 || report.Waiting < 0 || report.Slots < 0 || !(report.Pace >= 0) {
			t.Fatalf("%q: report %+v has a negative field", text, report)
		}
		reparsed, err := Parse(fmt.Sprintf("%d,%d,%d,%.0f", report.Running, report.Waiting, report.Slots, report.Pace*percent))
		exact := report.Pace < 1e9
		if exact && (err != nil || reparsed != report) {
			t.Fatalf("%q: report %+v, formatted and parsed again %+v, error %v, want the same report", text, report, reparsed, err)
		}
	})
}
