package platform

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/logging"
)

func newServer(t *testing.T, config Config) *Server {
	t.Helper()
	config.Listen, config.Log = "127.0.0.1:0", logging.Discard()
	server, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server
}

// TestListLags guards against a list that shows changes before its lag has passed.
func TestListLags(t *testing.T) {
	server := newServer(t, Config{Lag: time.Hour})
	server.Set(Machine{Name: "b", State: StateLive})
	server.Set(Machine{Name: "a", State: StateLive})
	server.Set(Machine{Name: "a", State: StateLeaving})
	now := time.Now()
	if early := server.list(now); len(early.Machines) != 0 {
		t.Errorf("list before its lag %+v, want it empty", early)
	}
	late := server.list(now.Add(2 * time.Hour)).Machines
	if len(late) != 2 || late[0] != (Machine{Name: "a", State: StateLeaving}) || late[1].Name != "b" {
		t.Errorf("list after its lag %+v, want a leaving and b live", late)
	}
	server.Remove("b")
	if left := server.list(now.Add(2 * time.Hour)).Machines; len(left) != 1 {
		t.Errorf("list after a removal %+v, want one machine", left)
	}
}

// TestContradictions checks that both kinds of contradiction occur: an older list, and a machine in two states.
func TestContradictions(t *testing.T) {
	server := newServer(t, Config{ContradictionProbability: 1, Seed: 1})
	server.Set(Machine{Name: "a", State: StateLive})
	older, doubled := 0, 0
	for range 50 {
		switch machines := server.list(time.Now()).Machines; {
		case len(machines) == 0:
			older++
		case len(machines) == 2 && machines[0].State != machines[1].State:
			doubled++
		}
	}
	if older == 0 || doubled == 0 {
		t.Errorf("%d older lists, %d with a machine in two states, want some of each", older, doubled)
	}
}
