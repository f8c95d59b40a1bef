package storage

import (
	"encoding/binary"
	"fmt"
)

// The buckets of the data file. Keys begin with the group, so that the keys of one group are adjacent and a commit
// touches few pages.
var (
	bucketMeta       = []byte("meta")        // keyFormat, keyFolderIdentity, keyStarts
	bucketEntries    = []byte("entries")     // group, index -> entry
	bucketHardStates = []byte("hard_states") // group -> hard state
	bucketSnapshots  = []byte("snapshots")   // group -> newest snapshot
	bucketPeers      = []byte("peers")       // node ID -> PeerRecord
)

var allBuckets = [][]byte{bucketMeta, bucketEntries, bucketHardStates, bucketSnapshots, bucketPeers}

// Keys of bucketMeta.
var (
	keyFormat         = []byte("format")
	keyFolderIdentity = []byte("folder_identity")
	keyStarts         = []byte("starts")
)

const (
	groupKeyBytes = 4
	entryKeyBytes = groupKeyBytes + 8
)

func groupKey(group uint32) []byte {
	return binary.BigEndian.AppendUint32(make([]byte, 0, entryKeyBytes), group)
}

func entryKey(group uint32, index uint64) []byte {
	return binary.BigEndian.AppendUint64(groupKey(group), index)
}

func groupOf(key []byte) uint32 { return binary.BigEndian.Uint32(key) }

func indexOf(key []byte) uint64 { return binary.BigEndian.Uint64(key[groupKeyBytes:]) }

func nodeKey(node uint64) []byte { return binary.BigEndian.AppendUint64(nil, node) }

func hardStateRecordName(group uint32) string { return fmt.Sprintf("group %d hard state", group) }

func snapshotRecordName(group uint32) string { return fmt.Sprintf("group %d snapshot", group) }

func entryRecordName(group uint32, index uint64) string {
	return fmt.Sprintf("group %d entry %d", group, index)
}
