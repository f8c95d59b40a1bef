package state

import (
	"bytes"
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// readGolden reads a file that TestWriteGolden of platform/blackbox wrote.
func readGolden(t *testing.T, path string) *wire.RaftMessage {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	unzipped, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(unzipped)
	if err != nil {
		t.Fatal(err)
	}
	golden := &wire.RaftMessage{}
	if err := proto.Unmarshal(data, golden); err != nil {
		t.Fatal(err)
	}
	return golden
}

// TestLogsOfOlderBuildsGiveEqualStates guards against a build whose state diverges from older replicas'. It replays log
// entries that builds from before levels wrote, and restores those builds' snapshots. Both must give a snapshot equal
// to the older build's, byte for byte.
func TestLogsOfOlderBuildsGiveEqualStates(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "golden", "*.gz"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no golden files: %v", err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			golden := readGolden(t, path)
			want := golden.GetSnapshot().GetData()
			if len(golden.Entries) == 0 || len(want) == 0 {
				t.Fatal("the golden file has no entries or no snapshot")
			}
			replayed := New()
			for _, entry := range golden.Entries {
				if raft.EntryKind(entry.Kind) != raft.EntryCommand || len(entry.Data) == 0 {
					continue
				}
				command := &wire.Command{}
				if err := proto.Unmarshal(entry.Data, command); err != nil {
					t.Fatal(err)
				}
				if err := replayed.CheckReadable(command); err != nil {
					t.Fatal(err)
				}
				replayed.Apply(entry.Index, command)
			}
			restored := New()
			if err := restored.Restore(want); err != nil {
				t.Fatal(err)
			}
			for name, machine := range map[string]*Machine{"replayed": replayed, "restored": restored} {
				got, err := machine.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(got, want) {
					t.Errorf("the %s machine's snapshot differs: got %d bytes, the older build's has %d", name, len(got), len(want))
				}
			}
		})
	}
}
