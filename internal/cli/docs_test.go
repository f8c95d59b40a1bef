package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

const docsFolder = "../../docs"

func TestSettingsPageDiffersFromTheCode(t *testing.T) {
	var want bytes.Buffer
	if err := writeReference(&want); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(docsFolder, "operations", "settings.md"))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Fatal("docs/operations/settings.md is not what the code says; run: go run ./cmd/tamarindring config reference > docs/operations/settings.md")
	}
}
