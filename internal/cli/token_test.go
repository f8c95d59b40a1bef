package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/auth"
)

func TestCreatedTokenIsAcceptedByItsEntry(t *testing.T) {
	path := filepath.Join(t.TempDir(), "alice.token")
	arguments := []string{"token", "create", "--name", "alice", "--role", "operator", "--out", path}
	var stdout, stderr bytes.Buffer
	if code := Main(arguments, &stdout, &stderr); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, &stderr)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != tokenFileMode {
		t.Fatalf("%v %v", info.Mode(), err)
	}
	token := strings.TrimSpace(string(content))
	if strings.Contains(stdout.String(), strings.TrimPrefix(token, "alice.")) {
		t.Fatal("the secret is in the entry")
	}
	keyring, err := auth.Parse("tokens.yaml", []byte("tokens:\n"+stdout.String()))
	if err != nil {
		t.Fatal(err)
	}
	if principal, err := keyring.Authenticate(token, time.Now()); err != nil || principal != (auth.Principal{Name: "alice", Role: auth.Operator}) {
		t.Fatalf("%+v %v", principal, err)
	}
	if code := Main(arguments, &stdout, &stderr); code != ExitUsage {
		t.Fatalf("an existing token file was written over: exit code %d", code)
	}
}
