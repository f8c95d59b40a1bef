package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
)

// The check must pass a sound data folder, and fail for a folder with damaged bytes and for an empty one.
func TestDataCheck(t *testing.T) {
	folder := t.TempDir()
	store, err := storage.Open(storage.Options{Folder: folder, ClusterID: "c", NodeID: 1, NodeName: "n"})
	if err != nil {
		t.Fatal(err)
	}
	entries := []raft.Entry{{Index: 1, Term: 1, Data: bytes.Repeat([]byte("x"), 100)}}
	if err := store.Write([]storage.GroupWrite{{Entries: entries, HardState: &raft.HardState{Term: 1}}}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"data", "check", folder}, &stdout, &stderr); code != ExitOK {
		t.Fatalf("sound folder: got exit code %d: %s", code, stderr.String())
	}
	if !strings.Contains(stdout.String(), `"last_index": 1`) {
		t.Fatalf("got report %s, want the group's last index 1", stdout.String())
	}
	path := filepath.Join(folder, "data.db")
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, bytes.ReplaceAll(content, []byte("xxxx"), []byte("xxxy")), 0o600); err != nil {
		t.Fatal(err)
	}
	stderr.Reset()
	if code := Main([]string{"data", "check", folder}, &stdout, &stderr); code != ExitFailure {
		t.Fatalf("damaged folder: got exit code %d, want a failure", code)
	}
	if !strings.Contains(stderr.String(), "damaged") {
		t.Fatalf("got error %q, want one that reports damage", stderr.String())
	}
	if code := Main([]string{"data", "check", t.TempDir()}, &stdout, &stderr); code != ExitFailure {
		t.Fatalf("empty folder: got exit code %d, want a failure", code)
	}
}
