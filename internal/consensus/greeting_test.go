package consensus

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// blockingPutPeerStore blocks writes of the records of other nodes until release is closed.
type blockingPutPeerStore struct {
	Store
	entered, release chan struct{}
}

func (s *blockingPutPeerStore) PutPeer(record storage.PeerRecord) error {
	close(s.entered)
	<-s.release
	return s.Store.PutPeer(record)
}

// TestGreetingWriteDoesNotBlockLoop guards against a loop that waits for the write of a greeting. Every node writes a
// record when another node starts and greets it. The loop asks the address book at each tick whether the node may
// participate, and used to wait for that write: with syncs of 2 s a leader sent no heartbeat for 4 s, and the group
// went from term 1 to 4.
func TestGreetingWriteDoesNotBlockLoop(t *testing.T) {
	store, err := storage.Open(storage.Options{Folder: t.TempDir(), ClusterID: "test", NodeID: 1, NodeName: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	blocking := &blockingPutPeerStore{Store: store, entered: make(chan struct{}), release: make(chan struct{})}
	book, err := newAddressBook(&Config{NodeID: 1, ClusterID: "test", Store: blocking})
	if err != nil {
		t.Fatal(err)
	}
	greeted := make(chan error, 1)
	go func() {
		_, err := book.acceptGreeting(&wire.RaftBatch{ClusterId: "test", FromNode: 2, FromIdentity: 7, Starts: 1})
		greeted <- err
	}()
	<-blocking.entered
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		book.canParticipate()
	}()
	select {
	case <-answered:
		if book.knownFolder(2) != 0 {
			t.Error("a greeting is used before it is written")
		}
	case <-time.After(waitTimeout):
		t.Error("the loop waits for the write of a greeting")
	}
	close(blocking.release)
	if err := <-greeted; err != nil {
		t.Fatal(err)
	}
	<-answered
	if book.knownFolder(2) != 7 {
		t.Error("the greeting is not recorded after it was written")
	}
}
