package storage

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
)

// PeerRecord is what this node durably knows of another one.
type PeerRecord struct {
	NodeID  uint64 `json:"node_id"`
	Address string `json:"address"` // IP:port it listens on
	// Folder is the random identity of its data folder; another one under the same node ID has lost
	// its disk and is refused.
	Folder uint64 `json:"folder_identity,string"`
	// Starts is the highest number of starts it has shown, and StartNonce the random number it drew at
	// that start: a lower number, or the same with another nonce, is an older copy of its folder.
	Starts     uint64 `json:"starts"`
	StartNonce uint64 `json:"start_nonce,string"`
	// KnowsThisFolder is set once the peer has shown that it durably knows this node's folder.
	KnowsThisFolder bool `json:"knows_this_folder"`
}

// PutPeer durably remembers a peer in place of what was known of it.
func (s *Store) PutPeer(record PeerRecord) error {
	payload, err := json.Marshal(record)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.update(func(tx *bbolt.Tx) error {
		key := nodeKey(record.NodeID)
		return tx.Bucket(bucketPeers).Put(key, seal(key, payload))
	})
}

// Peers returns all remembered peers in the order of their node IDs.
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
		payload, err := unseal(name, key, record)
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
