package storage

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
)

// PeerRecord is the durable record that this node has of a peer.
type PeerRecord struct {
	NodeID  uint64 `json:"node_id"`
	Address string `json:"address"` // IP:port on which the peer listens
	// Folder is the random identity of the peer's data folder. A node with the same node ID and another folder identity
	// has lost its disk and is refused.
	Folder uint64 `json:"folder_identity,string"`
	// Starts is the highest number of starts that the peer has reported, and StartNonce the random number that it
	// generated at that start. A lower number of starts, or the same number with another nonce, means that the peer
	// runs on an older copy of its folder.
	Starts     uint64 `json:"starts"`
	StartNonce uint64 `json:"start_nonce,string"`
	// KnowsThisFolder is set once the peer has confirmed that it has durably recorded the identity of this node's
	// folder.
	KnowsThisFolder bool `json:"knows_this_folder"`
}

// PutPeer durably replaces the record of a peer. Its errors are those of Store.Write.
func (s *Store) PutPeer(record PeerRecord) error {
	payload, err := json.Marshal(record)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.update(func(tx *bbolt.Tx) error {
		key := nodeKey(record.NodeID)
		return tx.Bucket(bucketPeers).Put(key, encodeRecord(key, payload))
	})
}

// Peers returns the records of all peers in the order of their node IDs. It returns a *DamageError for a damaged
// record.
func (s *Store) Peers() ([]PeerRecord, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	var records []PeerRecord
	err := s.database.View(func(tx *bbolt.Tx) error {
		var err error
		records, err = loadPeers(tx)
		return err
	})
	return records, err
}

func loadPeers(tx *bbolt.Tx) ([]PeerRecord, error) {
	var records []PeerRecord
	cursor := tx.Bucket(bucketPeers).Cursor()
	for key, record := cursor.First(); key != nil; key, record = cursor.Next() {
		name := fmt.Sprintf("peer %x", key)
		payload, err := decodeRecord(name, key, record)
		if err != nil {
			return nil, err
		}
		var peer PeerRecord
		if err := json.Unmarshal(payload, &peer); err != nil {
			return nil, &DamageError{Record: name, Reason: err.Error()}
		}
		records = append(records, peer)
	}
	return records, nil
}
