package storage

import (
	"encoding/binary"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
)

// GroupReport is one group's part of a Report.
type GroupReport struct {
	Group         uint32 `json:"group"`
	Term          uint64 `json:"term"`
	Vote          uint64 `json:"vote"`
	Commit        uint64 `json:"commit"`
	SnapshotIndex uint64 `json:"snapshot_index"`
	SnapshotBytes int    `json:"snapshot_bytes"`
	Entries       int    `json:"entries"`
	LastIndex     uint64 `json:"last_index"`
}

// Report is what Check found.
type Report struct {
	Folder   string        `json:"folder"`
	Identity Identity      `json:"identity"`
	Starts   uint64        `json:"starts"`
	Groups   []GroupReport `json:"groups"`
	Peers    []PeerRecord  `json:"peers"`
	Bytes    int64         `json:"bytes"`
	Damage   []string      `json:"damage"` // empty: every record was read and is sound
}

// Sound tells whether no damage was found.
func (r *Report) Sound() bool { return len(r.Damage) == 0 }

// Check reads a whole data folder offline and verifies every page, record and checksum. It writes
// nothing but the lock. An error means that the folder could not be checked at all.
func Check(folder string) (*Report, error) {
	if _, err := os.Stat(filepath.Join(folder, identityFile)); err != nil {
		return nil, &FolderError{File: filepath.Join(folder, identityFile), Field: "file", Found: "missing",
			Wanted: "a data folder's identity", Remedy: "give the data folder of a node"}
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	identity, err := readIdentity(folder)
	if err != nil {
		return nil, err
	}
	report := &Report{Folder: folder, Identity: *identity}
	path := filepath.Join(folder, dataFile)
	info, err := os.Stat(path)
	if err != nil {
		report.damaged(&DamageError{Record: path, Reason: "it is missing"})
		return report, nil
	}
	report.Bytes = info.Size()
	if err := verify(path); err != nil {
		report.damaged(err)
		return report, nil
	}
	err = guarded(path, func() error {
		database, err := openReadOnly(path)
		if err != nil {
			return err
		}
		defer database.Close()
		return database.View(report.read)
	})
	if err != nil {
		report.damaged(err)
	}
	return report, nil
}

func (r *Report) damaged(err error) { r.Damage = append(r.Damage, err.Error()) }

func (r *Report) read(tx *bbolt.Tx) error {
	for err := range tx.Check() {
		r.damaged(&DamageError{Record: dataFile, Reason: err.Error()})
	}
	for _, name := range allBuckets {
		if tx.Bucket(name) == nil {
			r.damaged(&DamageError{Record: dataFile, Reason: "bucket " + string(name) + " is missing"})
		}
	}
	if !r.Sound() {
		return nil // the records cannot be walked safely
	}
	if !r.readMeta(tx) {
		return nil
	}
	for _, group := range storedGroups(tx) {
		r.readGroup(tx, group)
	}
	peers, err := loadPeers(tx)
	if err != nil {
		r.damaged(err)
	}
	r.Peers = peers
	return nil
}

// readMeta tells whether the records have the form that this program reads.
func (r *Report) readMeta(tx *bbolt.Tx) bool {
	meta := tx.Bucket(bucketMeta)
	format := meta.Get(keyFormat)
	if len(format) != 4 || binary.BigEndian.Uint32(format) != Format {
		r.damaged(&DamageError{Record: dataFile, Reason: "its format is not this program's; start the node once to upgrade it"})
		return false
	}
	if folder := meta.Get(keyFolder); len(folder) != 8 || binary.BigEndian.Uint64(folder) != r.Identity.Folder {
		r.damaged(&DamageError{Record: dataFile, Reason: "its folder identity is not that of " + identityFile})
	}
	if starts := meta.Get(keyStarts); len(starts) == 8 {
		r.Starts = binary.BigEndian.Uint64(starts)
	}
	return true
}

func (r *Report) readGroup(tx *bbolt.Tx, group uint32) {
	restored, err := loadGroup(tx, group, newHeldParts())
	if err != nil {
		r.damaged(err)
		return
	}
	r.Groups = append(r.Groups, GroupReport{
		Group:         group,
		Term:          restored.HardState.Term,
		Vote:          restored.HardState.Vote,
		Commit:        restored.HardState.Commit,
		SnapshotIndex: restored.Snapshot.Index,
		SnapshotBytes: restored.Snapshot.Data.Size(),
		Entries:       len(restored.Entries),
		LastIndex:     restored.Snapshot.Index + uint64(len(restored.Entries)),
	})
}
