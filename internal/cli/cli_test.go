package cli

import (
	"bytes"
	"strings"
	"testing"
)

// An unknown flag must give ExitUsage and an error that names the flag.
func TestUnknownFlagIsAUsageError(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"version", "--no-such-flag"}, &stdout, &stderr); code != ExitUsage {
		t.Fatalf("exit code %d, want %d", code, ExitUsage)
	}
	if !strings.Contains(stderr.String(), "no-such-flag") {
		t.Fatalf("got error %q, want one that names the flag", stderr.String())
	}
}

func TestVersionPrints(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"version"}, &stdout, &stderr); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	if !strings.HasPrefix(stdout.String(), "tamarindring ") {
		t.Fatalf("got output %q, want the program's name and version", stdout.String())
	}
}

// The flag --version alone must print what the subcommand version prints.
func TestVersionFlagDiffersFromTheCommand(t *testing.T) {
	var command, flag, stderr bytes.Buffer
	if code := Main([]string{"version"}, &command, &stderr); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	if code := Main([]string{"--version"}, &flag, &stderr); code != ExitOK || flag.String() != command.String() {
		t.Fatalf("exit code %d, %q, want %q: %s", code, flag.String(), command.String(), stderr.String())
	}
}

// Shell completion must find subcommands, their children and flags.
func TestCompletionMissesACommandOrFlag(t *testing.T) {
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	for arguments, want := range map[string]string{"ta": "table", "table hi": "history", "gateway --na": "--name"} {
		var stdout, stderr bytes.Buffer
		code := Main(strings.Fields(arguments), &stdout, &stderr)
		if code != ExitOK || strings.TrimSpace(stdout.String()) != want {
			t.Errorf("%s: exit code %d, %q, want %q: %s", arguments, code, stdout.String(), want, stderr.String())
		}
	}
}
