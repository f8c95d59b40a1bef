package monotonic

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// timeOfDayPlaces lists the files that convert the time of day to a number, with the purpose. Decisions based on the
// time of day are described in docs/design/clocks.md.
var timeOfDayPlaces = map[string]string{
	"internal/page/api.go":              "timestamps of the history, shown to people only",
	"internal/operator/change.go":       "timestamps of the history, shown to people only",
	"internal/cli/databackup.go":        "a backup's date, shown to people only",
	"internal/cli/load.go":              "a name",
	"internal/credentials/guard.go":     "how often a refusal is logged",
	"internal/controlclient/session.go": "the number of a start if none is given; the group's member list may raise it",
	"platform/control.go":               "the number of a start",
	"platform/store_role.go":            "the number of a start",
	"platform/gateway_role.go":          "the number of a start, and a name",
	"internal/batchclient/client.go":    "when a batch job was sent, which determines the order of work",
	"internal/usage/meter.go":           "usage windows, kept free of clock steps with the boot clock",
	"internal/gateway/exchange.go":      "a claim's date",
	"internal/control/retention.go":     "the retention of claims, which counts up to the claims' dates only",
}

var timeOfDay = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)`)

// TestTimeOfDayIsReadInListedPlacesOnly guards against new decisions based on the time of day: clocks of machines are
// stepped and differ, so that such decisions are sometimes wrong. A new use needs a purpose in timeOfDayPlaces, and
// an entry in docs/design/clocks.md if a decision depends on it.
func TestTimeOfDayIsReadInListedPlacesOnly(t *testing.T) {
	const root = "../.."
	found := map[string]bool{}
	for _, folder := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			name := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
			outside := strings.HasPrefix(name, "internal/standin/") || strings.HasPrefix(name, "internal/bench/")
			if entry.IsDir() || outside || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || strings.HasSuffix(name, ".pb.go") {
				return nil
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if !timeOfDay.Match(text) {
				return nil
			}
			found[name] = true
			if timeOfDayPlaces[name] == "" {
				t.Errorf("%s converts the time of day to a number and is not in timeOfDayPlaces", name)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for name := range timeOfDayPlaces {
		if !found[name] {
			t.Errorf("%s no longer converts the time of day to a number; remove it from timeOfDayPlaces", name)
		}
	}
}
