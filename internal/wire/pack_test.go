package wire

import (
	"fmt"
	"testing"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// fleetUpdate returns the update of a whole table of replicas, with the cells that registrations write.
func fleetUpdate(replicas int) *TableUpdate {
	update := &TableUpdate{ToVersion: 7}
	for number := range replicas {
		update.Rows = append(update.Rows, &TableRow{Name: fmt.Sprintf("i-%08x", number*2654435761), Cells: []*TableCell{
			{Column: "address", Value: fmt.Sprintf("10.1.%d.%d:8080", number/250, number%250+1), Version: 7, Operator: "registry"},
			{Column: "kind", Value: "backend", Version: 7, Operator: "registry"},
			{Column: "pool", Value: "copy-llm", Version: 7, Operator: "registry"},
			{Column: "state", Value: "active", Version: 7, Operator: "registry"},
		}})
	}
	return update
}

// TestPackedUpdatesAreCompleteAndSmall guards against a lossy encoding, and against packing that saves less than
// three quarters.
func TestPackedUpdatesAreCompleteAndSmall(t *testing.T) {
	update := fleetUpdate(1000)
	packed, err := PackUpdate(update)
	if err != nil {
		t.Fatal(err)
	}
	if plain := proto.Size(update); len(packed)*4 > plain {
		t.Fatalf("%d bytes were packed into %d, want at most a quarter", plain, len(packed))
	}
	unpacked, err := UnpackUpdate(packed)
	if err != nil || !proto.Equal(unpacked, update) {
		t.Fatalf("the unpacked update differs from the packed one, or failed to unpack: %v", err)
	}
}

// TestInvalidPackedUpdatesAreRejected guards against accepting a truncated update or other bytes.
func TestInvalidPackedUpdatesAreRejected(t *testing.T) {
	packed, err := PackUpdate(fleetUpdate(100))
	if err != nil {
		t.Fatal(err)
	}
	for name, invalid := range map[string][]byte{"cut short": packed[:len(packed)/2], "not deflated": []byte("table"), "empty": nil} {
		if _, err := UnpackUpdate(invalid); !trace.IsBadParameter(err) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
