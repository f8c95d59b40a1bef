package control

import (
	"testing"

	"github.com/tamarindring/tamarindring/internal/consensus"
)

func TestShareOfASmallDisk(t *testing.T) {
	for _, want := range []struct {
		disk, headroom uint64
		snapshot       int
	}{
		{0, 0, 0}, // the defaults of packages storage and consensus
		{128 << 20, 16 << 20, 16 << 20},
		{1 << 40, 1 << 37, consensus.DefaultSnapshotBytes},
	} {
		config := Config{Name: "c", NodeID: 1, ClusterID: "x", DataFolder: "y", Listen: "127.0.0.1:1", DiskBytes: want.disk}
		config.Peers = []Peer{{ID: 1, Name: "c", Address: "127.0.0.1:1"}}
		if err := config.setDefaults(); err != nil {
			t.Fatal(err)
		}
		if config.HeadroomBytes != want.headroom || config.SnapshotBytes != want.snapshot {
			t.Errorf("a disk of %d bytes: headroom %d, snapshot after %d", want.disk, config.HeadroomBytes, config.SnapshotBytes)
		}
	}
}
