package backup

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"testing"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// FuzzRead reads arbitrary bytes with a matching checksum as a backup. The backup must be refused, or be restored into a
// data folder without damage.
func FuzzRead(f *testing.F) {
	empty, err := state.New().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	for _, backup := range []*wire.Backup{
		{Format: Format, ClusterId: "old", Groups: []*wire.GroupBackup{{Index: 4, Data: empty}, {Group: 1, Index: 1, Data: empty}}},
		{Format: Format, Groups: []*wire.GroupBackup{{Group: 1}}},
		{Format: Format + 1},
	} {
		body, err := proto.Marshal(backup)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		path := filepath.Join(t.TempDir(), "backup")
		content := binary.BigEndian.AppendUint64(append([]byte(nil), body...), xxhash.Sum64(body))
		if err := os.WriteFile(path, content, fileMode); err != nil {
			t.Fatal(err)
		}
		backup, err := Read(path)
		if err != nil {
			return
		}
		folder := filepath.Join(t.TempDir(), "node")
		options := storage.Options{Folder: folder, ClusterID: "new", NodeID: 1, NodeName: "n"}
		if err := Restore(backup, options); err != nil {
			return
		}
		report, err := storage.Check(folder)
		if err != nil || !report.Sound() {
			t.Fatalf("the restored folder is damaged: %+v, %v", report, err)
		}
	})
}

// TestEmptyBackupIsRefused checks that a backup without groups is refused. Restoring it would create an empty cluster.
func TestEmptyBackupIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "backup")
	if err := Write(path, &wire.Backup{ClusterId: "old"}); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil {
		t.Fatal("a backup without a group was accepted")
	}
}
