package control

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/consensus"
)

func TestDefaultsFromDiskAndMemorySize(t *testing.T) {
	for _, want := range []struct {
		disk, memory, headroom, jobs uint64
		snapshot                     int
	}{
		{0, 0, 0, batch.MaximumHeldBytes, 0}, // the defaults of packages storage, batch and consensus apply
		{128 << 20, 0, 16 << 20, 88 << 20, 4 << 20},
		{128 << 20, 150 << 20, 16 << 20, 50 << 20, 4 << 20},
		{0, 150 << 20, 0, 50 << 20, 0},
		{1 << 40, 3 << 30, 1 << 37, 1 << 30, consensus.DefaultSnapshotBytes},
	} {
		config := Config{Name: "c", NodeID: 1, ClusterID: "x", DataFolder: "y", Listen: "127.0.0.1:1", DiskBytes: want.disk, MemoryBytes: want.memory}
		config.Peers = []Peer{{ID: 1, Name: "c", Address: "127.0.0.1:1"}}
		if err := config.setDefaults(); err != nil {
			t.Fatal(err)
		}
		if config.HeadroomBytes != want.headroom || config.SnapshotBytes != want.snapshot || config.JobBytes != want.jobs {
			t.Errorf("a disk of %d bytes and a memory of %d: got headroom %d, snapshot size %d, job size %d",
				want.disk, want.memory, config.HeadroomBytes, config.SnapshotBytes, config.JobBytes)
		}
	}
}
