package monotonic

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// timeOfDayPlaces are the files that make a number of the time of day, and what for. What decides by it stands in docs/design/clocks.md.
var timeOfDayPlaces = map[string]string{
	"internal/page/api.go":              "the history, for people",
	"internal/operator/change.go":       "the history, for people",
	"internal/cli/databackup.go":        "a backup's date, for people",
	"internal/cli/load.go":              "a name",
	"internal/credentials/guard.go":     "how often a refusal is logged",
	"internal/controlclient/session.go": "a start's number, where none is given; the group's list may raise it",
	"platform/control.go":               "a start's number",
	"platform/store_role.go":            "a start's number",
	"platform/gateway_role.go":          "a start's number, and a name",
	"internal/batchclient/client.go":    "when a batch job was sent: the order of work",
	"internal/usage/meter.go":           "windows of usage, held steady by the boot clock",
	"internal/gateway/exchange.go":      "a claim's date",
	"internal/control/retention.go":     "the retention of claims, which counts up to the claims' dates only",
}

var timeOfDay = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)`)

// TestTimeOfDayIsReadInListedPlacesOnly: clocks of machines are stepped and differ, so that what is decided by them is decided wrongly now and
// then; a new place needs a purpose here, and an entry there if it decides.
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
				t.Errorf("%s makes a number of the time of day", name)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for name := range timeOfDayPlaces {
		if !found[name] {
			t.Errorf("%s makes none any more; take it out of the list", name)
		}
	}
}
