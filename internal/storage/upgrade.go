package storage

import (
	"encoding/binary"

	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
)

// migrations[n] upgrades format n to n+1. All migrations run in one transaction; files that they create are synced
// before it commits.
var migrations = map[uint32]func(*Store, *bbolt.Tx) error{
	1: func(_ *Store, tx *bbolt.Tx) error { return addSnapshotChecksums(tx) },
	2: (*Store).moveSnapshotsToFiles,
}

// upgrade converts a folder of an older format to the newest one. The format in the identity file is set first, so that
// older programs refuse the folder from then on. The data file has a format field of its own, which is set in the same
// transaction as the content is converted. After a crash between the two steps the next start completes the upgrade.
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

// addSnapshotChecksums upgrades format 1, whose snapshot records had no checksums.
func addSnapshotChecksums(tx *bbolt.Tx) error {
	bucket := tx.Bucket(bucketSnapshots)
	type keyed struct{ key, payload []byte }
	var plain []keyed
	cursor := bucket.Cursor()
	for key, payload := cursor.First(); key != nil; key, payload = cursor.Next() {
		if _, err := decodeSnapshotMessage(snapshotRecordName(groupOf(key)), payload); err != nil {
			return err
		}
		plain = append(plain, keyed{key: append([]byte(nil), key...), payload: append([]byte(nil), payload...)})
	}
	for _, snapshot := range plain {
		if err := bucket.Put(snapshot.key, encodeRecord(snapshot.key, snapshot.payload)); err != nil {
			return err
		}
	}
	return nil
}
