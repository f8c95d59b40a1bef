package cli

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/control"
)

// startControl runs a cluster of one control node and returns its address.
func startControl(t *testing.T) string {
	t.Helper()
	return startControlServer(t).Address()
}

// startControlServer runs a cluster of one control node.
func startControlServer(t *testing.T) *control.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	server, err := control.New(control.Config{
		Name: "control-1", NodeID: 1, ClusterID: "test", Listener: listener,
		Peers: []control.Peer{{ID: 1, Name: "control-1", Address: address}}, DataFolder: t.TempDir(),
	})
	if err != nil {
		t.Fatal(err)
	}
	finished := make(chan error, 1)
	go func() { finished <- server.Run(context.Background()) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-finished; err != nil {
			t.Error(err)
		}
	})
	return server
}

// Changes of the table, drain, status and changes of members, each with its exit code and a part of its output.
// Invalid values and the removal of the only voter must be refused.
func TestTableDrainAndMemberCommands(t *testing.T) {
	address := startControl(t)
	folder := t.TempDir()
	t.Setenv("TAMARINDRING_CONTROL", address)
	t.Setenv("TAMARINDRING_OPERATOR", "ann")
	t.Setenv("XDG_STATE_HOME", folder)
	sheet := filepath.Join(folder, "sheet.csv")
	rows := "row,kind,pool,address,weight\ncopy,pool,,,70\nengine-1,backend,copy,127.0.0.1:9001,\nengine-2,backend,copy,127.0.0.1:9002,\n"
	if err := os.WriteFile(sheet, []byte(rows), 0o600); err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		arguments string
		code      int
		output    string // part of what is printed
	}{
		{"table apply --dry-run " + sheet, ExitOK, "engine-1 address: (not set) -> 127.0.0.1:9001"},
		{"table show", ExitOK, "version 0"},
		{"table apply --wait " + sheet, ExitOK, "accepted version 1, in force everywhere"},
		{"table show", ExitOK, "engine-1  backend  copy  127.0.0.1:9001  -"},
		{"table set copy weight 2000", ExitUsage, "outside 0 to 1000"},
		{"table set copy wait 2", ExitUsage, "no such column"},
		{"table set engine-1 pool nowhere", ExitRefused, "refused at version 1"},
		{"table set copy weight 75", ExitOK, "accepted version 2"},
		{"table set copy weight 75", ExitOK, "nothing to change"},
		{"table diff " + sheet, ExitOK, "copy weight: 75 -> 70"},
		{"table history --row copy --column weight", ExitOK, "70    75"},
		{"table revert 2", ExitOK, "copy weight: 75 -> 70"},
		{"drain engine-1", ExitOK, "engine-1 state: (not set) -> draining"},
		{"drain engine-1", ExitOK, "nothing to change"},
		{"drain nobody", ExitUsage, "neither a row of the table nor a member"},
		{"status", ExitOK, "table version 4"},
		{"member add 1", ExitOK, "control node 1 is a voter of every group"},
		{"member remove 1", ExitFailure, "no other voter is alive to take over"},
	}
	for _, step := range steps {
		var stdout, stderr bytes.Buffer
		code := Main(strings.Fields(step.arguments), &stdout, &stderr)
		printed := stdout.String() + stderr.String()
		if code != step.code || !strings.Contains(printed, step.output) {
			t.Fatalf("%s: exit code %d, want %d, and %q in:\n%s", step.arguments, code, step.code, step.output, printed)
		}
	}
}
