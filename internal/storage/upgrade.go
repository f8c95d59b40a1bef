package storage

import (
	"encoding/binary"

	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
)

// migrations[n] turns format n into n+1 within one transaction. Files that it makes are synced before.
var migrations = map[uint32]func(*Store, *bbolt.Tx) error{
	1: func(_ *Store, tx *bbolt.Tx) error { return sealSnapshots(tx) },
	2: (*Store).moveSnapshots,
}

// upgrade brings an older folder to the newest format. The identity file is raised first, so that an
// older program refuses the folder from then on; the data file carries its own format and is raised in
// the same transaction as its content, so a crash between the two is made good at the next start.
func (s *Store) upgrade() error {
	if s.identity.Format < Format {
		s.identity.Format = Format
		if err := writeIdentity(s.options.Folder, s.identity); err != nil {
			return err
		}
	}
	return trace.Wrap(s.database.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		for format := binary.BigEndian.Uint32(meta.Get(keyFormat)); format < Format; format++ {
			migrate := migrations[format]
			if migrate == nil {
				return trace.BadParameter("storage: no upgrade path from format %d", format)
			}
			if err := migrate(s, tx); err != nil {
				return err
			}
		}
		return meta.Put(keyFormat, binary.BigEndian.AppendUint32(nil, Format))
	}))
}

// sealSnapshots adds the checksums that format 1 did not have on snapshots.
func sealSnapshots(tx *bbolt.Tx) error {
	bucket := tx.Bucket(bucketSnapshots)
	type keyed struct{ key, payload []byte }
	var plain []keyed
	cursor := bucket.Cursor()
	for key, payload := cursor.First(); key != nil; key, payload = cursor.Next() {
		if _, err := decodeSnapshotMessage(snapshotName(groupOf(key)), payload); err != nil {
			return err
		}
		plain = append(plain, keyed{key: append([]byte(nil), key...), payload: append([]byte(nil), payload...)})
	}
	for _, snapshot := range plain {
		if err := bucket.Put(snapshot.key, seal(snapshot.key, snapshot.payload)); err != nil {
			return err
		}
	}
	return nil
}
