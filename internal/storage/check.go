package storage

import (
	"encoding/binary"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
)

// GroupReport describes the stored state of one consensus group.
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

// Report is the result of Check.
type Report struct {
	Folder   string        `json:"folder"`
	Identity Identity      `json:"identity"`
	Starts   uint64        `json:"starts"`
	Groups   []GroupReport `json:"groups"`
	Peers    []PeerRecord  `json:"peers"`
	Bytes    int64         `json:"bytes"`
	Damage   []string      `json:"damage"` // empty if every record was read and is intact
}

// Sound reports whether no damage was found.
func (r *Report) Sound() bool { return len(r.Damage) == 0 }

// Check reads the whole data folder of a stopped node and verifies every page, record and checksum. It writes nothing
// except the lock file. An error means that the folder could not be checked at all; damage is listed in the report.
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
		report.addDamage(&DamageError{Record: path, Reason: "it is missing"})
		return report, nil
	}
	report.Bytes = info.Size()
	if err := verifyDataFile(path); err != nil {
		report.addDamage(err)
		return report, nil
	}
	err = catchPanics(path, func() error {
		database, err := openReadOnly(path)
		if err != nil {
			return err
		}
		defer database.Close()
		return database.View(report.checkDatabase)
	})
	if err != nil {
		report.addDamage(err)
	}
	return report, nil
}

func (r *Report) addDamage(err error) { r.Damage = append(r.Damage, err.Error()) }

// checkDatabase verifies the structure and all records of the data file, and adds what it finds to the report.
func (r *Report) checkDatabase(tx *bbolt.Tx) error {
	for err := range tx.Check() {
		r.addDamage(&DamageError{Record: dataFile, Reason: err.Error()})
	}
	for _, name := range allBuckets {
		if tx.Bucket(name) == nil {
			r.addDamage(&DamageError{Record: dataFile, Reason: "bucket " + string(name) + " is missing"})
		}
	}
	if !r.Sound() {
		return nil // reading the records of a damaged file is not safe
	}
	if !r.checkMeta(tx) {
		return nil
	}
	for _, group := range storedGroups(tx) {
		r.checkGroup(tx, group)
	}
	peers, err := loadPeers(tx)
	if err != nil {
		r.addDamage(err)
	}
	r.Peers = peers
	return nil
}

// checkMeta checks the format and folder identity of the data file. It reports whether this program can read the
// records of that format.
func (r *Report) checkMeta(tx *bbolt.Tx) bool {
	meta := tx.Bucket(bucketMeta)
	format := meta.Get(keyFormat)
	if len(format) != 4 || binary.BigEndian.Uint32(format) != Format {
		r.addDamage(&DamageError{Record: dataFile, Reason: "its format is not this program's; start the node once to upgrade it"})
		return false
	}
	if folder := meta.Get(keyFolderIdentity); len(folder) != 8 || binary.BigEndian.Uint64(folder) != r.Identity.Folder {
		r.addDamage(&DamageError{Record: dataFile, Reason: "its folder identity is not that of " + identityFile})
	}
	if starts := meta.Get(keyStarts); len(starts) == 8 {
		r.Starts = binary.BigEndian.Uint64(starts)
	}
	return true
}

func (r *Report) checkGroup(tx *bbolt.Tx, group uint32) {
	restored, err := loadGroup(tx, group)
	if err != nil {
		r.addDamage(err)
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
