package state

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// FuzzApply applies arbitrary bytes as a command after a few valid ones. It must not panic, and the state must remain
// encodable and be equal after a restore.
func FuzzApply(f *testing.F) {
	for _, command := range exampleCommands() {
		data, err := proto.Marshal(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command := &wire.Command{}
		if proto.Unmarshal(data, command) != nil {
			return
		}
		machine := New()
		for position, good := range exampleCommands() {
			machine.Apply(uint64(position+1), good)
		}
		machine.Apply(machine.AppliedIndex()+1, command)
		checkRestore(t, machine)
	})
}

// checkRestore checks that a machine restored from a snapshot has the same snapshot.
func checkRestore(t *testing.T, machine *Machine) {
	data, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if again, err := restored.Snapshot(); err != nil || !bytes.Equal(data, again) {
		t.Fatalf("the snapshot after a restore differs from the original (error %v)", err)
	}
}

// FuzzRestore restores arbitrary bytes. Either they are refused and the state is unchanged, or the machine must work
// afterwards.
func FuzzRestore(f *testing.F) {
	machine := New()
	for position, command := range exampleCommands() {
		machine.Apply(uint64(position+1), command)
		data, err := machine.Snapshot()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		machine := New()
		if machine.Restore(data) != nil {
			if machine.AppliedIndex() != 0 || machine.TableVersion() != 0 {
				t.Fatal("a refused snapshot changed the state")
			}
			return
		}
		for position, command := range exampleCommands() {
			if index := machine.AppliedIndex() + 1; index > 0 {
				machine.Apply(index, command)
			}
			machine.TableUpdate(uint64(position))
		}
		if _, err := machine.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzViewApply applies arbitrary bytes as an update to a view of the example's table.
func FuzzViewApply(f *testing.F) {
	machine := New()
	for position, command := range exampleCommands() {
		machine.Apply(uint64(position+1), command)
	}
	for _, update := range []*wire.TableUpdate{
		machine.TableUpdate(0), machine.TableUpdate(1), {FromVersion: 2, ToVersion: 3, RemovedRows: []string{"chat"}},
	} {
		data, err := proto.Marshal(update)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		update := &wire.TableUpdate{}
		if proto.Unmarshal(data, update) != nil {
			return
		}
		view, err := table.NewView().Apply(machine.TableUpdate(0))
		if err != nil {
			t.Fatal(err)
		}
		next, err := view.Apply(update)
		if err == nil && next.Version() < view.Version() {
			t.Fatalf("the view's version went back from %d to %d", view.Version(), next.Version())
		}
		if err != nil && next != nil {
			t.Fatal("got both a view and an error, want a nil view")
		}
	})
}
