package cli

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/tenant"
)

// TestTenantsAtTheCommandLine: a key is printed only by the command that creates it, and only its digest is stored
// and listed. A dry run must print no key, because it is stored nowhere.
func TestTenantsAtTheCommandLine(t *testing.T) {
	t.Setenv("TAMARINDRING_CONTROL", startControl(t))
	t.Setenv("TAMARINDRING_OPERATOR", "ann")
	t.Setenv("XDG_STATE_HOME", t.TempDir())
	printedKey := regexp.MustCompile(`key \(shown this once\): (\S+)`)
	var keys []string
	run := func(arguments string, code int, output string) {
		t.Helper()
		var stdout, stderr bytes.Buffer
		got := Main(strings.Fields(arguments), &stdout, &stderr)
		printed := stdout.String() + stderr.String()
		if got != code || !strings.Contains(printed, output) {
			t.Fatalf("%s: exit code %d, want %d, and %q in:\n%s", arguments, got, code, output, printed)
		}
		if found := printedKey.FindStringSubmatch(printed); found != nil {
			keys = append(keys, found[1])
		}
		for _, key := range keys {
			if !strings.HasPrefix(arguments, "tenant add") && !strings.HasPrefix(arguments, "tenant rotate") && strings.Contains(printed, key) {
				t.Errorf("%s prints a key, want digests only", arguments)
			}
		}
	}
	digest := func(number int) string { return tenant.Digest(keys[number])[:12] }
	run("tenant add --dry-run shop", ExitOK, "tenant.shop tenant_name: (not set) -> shop")
	if len(keys) != 0 {
		t.Error("a dry run prints a key that is stored nowhere")
	}
	run("tenant add --priority 2 shop", ExitOK, "accepted version 1")
	run("tenant add shop", ExitUsage, "there is a tenant \"shop\" already")
	run("tenant list", ExitOK, "shop    2         1     "+digest(0))
	run("tenant rotate shop", ExitOK, "accepted version 2")
	run("tenant list", ExitOK, digest(0)+" "+digest(1))
	run("tenant revoke shop", ExitUsage, "name the key with --digest, or --all")
	run("tenant revoke --digest zz shop", ExitUsage, "0 keys of tenant \"shop\"")
	run("tenant revoke --digest "+digest(0)+" shop", ExitOK, "accepted version 3")
	run("tenant list", ExitOK, "shop    2         1     "+digest(1))
	run("tenant revoke --all shop", ExitOK, "accepted version 4")
	run("tenant list", ExitOK, "shop    2         0")
	run("tenant list", ExitOK, "weight  rate/s  burst  concurrency")
	run("tenant set shop", ExitUsage, "name at least one of --weight")
	run("tenant rotate nobody", ExitUsage, "there is no tenant \"nobody\"")
	run("tenant add --priority high other", ExitUsage, "priority")
	run("table history", ExitOK, "key_digests")
}
