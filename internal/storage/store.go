package storage

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/statepart"
)

// Options configures Open: which folder to open and which node it must belong to.
type Options struct {
	// Folder is the path of the data folder, which is created if it does not exist. Required.
	Folder string
	// ClusterID, NodeID and NodeName are written into a new folder and must match those of an existing one. Required.
	ClusterID string
	NodeID    uint64
	NodeName  string
	// HeadroomBytes is the free disk space below which FreeSpace returns less than SpaceForAll, so that the node
	// refuses new work while it can still write its votes. Default 256 MiB.
	HeadroomBytes uint64
	// Hooks inject faults in tests. Optional.
	Hooks Hooks
}

// Hooks inject faults in tests. A nil field injects none.
type Hooks struct {
	// BeforeCommit is called inside a write, before any of it reaches the data file. Its error fails the write.
	BeforeCommit func() error
	// Sync is called after the sync of a write. Its error is handled like a failed sync.
	Sync func() error
	// FreeBytes replaces the measured free space of the folder's disk.
	FreeBytes func() (uint64, error)
}

const (
	defaultHeadroomBytes = 256 << 20
	openTimeout          = time.Second
	initialMapBytes      = 64 << 20 // avoids remapping the file while it is small
	fileGrowthBytes      = 1 << 20  // growth step of the file; bbolt's default of 16 MiB is an eighth of a small disk
	entryFillPercent     = 0.95     // of a page; entries are appended in order, so pages need little space for inserts
)

// Store is an open data folder. Its methods are safe for concurrent use; writes are serialized.
type Store struct {
	options   Options
	identity  Identity
	starts    uint64
	lock      *os.File
	database  *bbolt.DB
	commits   atomic.Uint64 // durable transactions since the folder was opened
	fileBytes atomic.Uint64 // bytes written to snapshot files since the folder was opened
	files     *storedFiles

	mutex    sync.Mutex // guards poisoned and closed, and serializes reads and writes
	poisoned error      // the first failure whose effect on the disk is unknown
	closed   bool
}

// Open locks the folder, creates it if necessary, checks that it belongs to the node of the options, upgrades an older
// format and increments the number of starts. It returns a *FolderError for a folder that is in use, lacks a file, has
// a newer format or belongs to another node or cluster, and a *DamageError for a damaged data file.
func Open(options Options) (*Store, error) {
	if options.Folder == "" || options.ClusterID == "" || options.NodeID == raft.None || options.NodeName == "" {
		return nil, trace.BadParameter("storage: folder, cluster ID, node ID and node name are required")
	}
	if options.HeadroomBytes == 0 {
		options.HeadroomBytes = defaultHeadroomBytes
	}
	if err := os.MkdirAll(options.Folder, folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	lock, err := lockFolder(options.Folder)
	if err != nil {
		return nil, err
	}
	store := &Store{options: options, lock: lock, files: newStoredFiles()}
	if err := store.open(); err != nil {
		store.Close()
		return nil, err
	}
	return store, nil
}

func (s *Store) open() error {
	identity, err := readIdentity(s.options.Folder)
	if err != nil {
		return err
	}
	if identity == nil {
		return s.create()
	}
	if err := identity.checkOptions(s.options.Folder, s.options); err != nil {
		return err
	}
	path := filepath.Join(s.options.Folder, dataFile)
	if _, err := os.Stat(path); err != nil {
		return &FolderError{File: path, Field: "file", Found: "missing", Wanted: "the data of " + identity.NodeName,
			Remedy: "replace the node as a learner under a new node ID"}
	}
	s.identity = *identity
	if err := verifyDataFile(path); err != nil {
		return err
	}
	if err := s.openDatabase(path); err != nil {
		return err
	}
	if err := s.checkDatabaseIdentity(path); err != nil {
		return err
	}
	if err := s.upgrade(); err != nil {
		return err
	}
	if err := s.removeUnreferencedSnapshots(); err != nil {
		return err
	}
	return s.countStart()
}

// create initializes a new folder. It writes the identity file last, because a folder without an identity file counts
// as new: a crash before that repeats the creation.
func (s *Store) create() error {
	path := filepath.Join(s.options.Folder, dataFile)
	if info, err := os.Stat(path); err == nil && info.Size() > 0 {
		if err := catchPanics(path, func() error { return s.checkNoConsensusState(path) }); err != nil {
			return err
		}
	}
	folder, err := randomIdentity()
	if err != nil {
		return err
	}
	s.identity = Identity{Format: Format, ClusterID: s.options.ClusterID, NodeID: s.options.NodeID,
		NodeName: s.options.NodeName, Folder: folder}
	if err := s.openDatabase(path); err != nil {
		return err
	}
	err = s.database.Update(func(tx *bbolt.Tx) error {
		for _, name := range allBuckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		if err := meta.Put(keyFormat, binary.BigEndian.AppendUint32(nil, Format)); err != nil {
			return err
		}
		return meta.Put(keyFolderIdentity, binary.BigEndian.AppendUint64(nil, folder))
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.countStart(); err != nil {
		return err
	}
	return writeIdentity(s.options.Folder, s.identity)
}

// checkNoConsensusState refuses a data file without an identity file if it holds consensus state. A crash during create
// leaves a data file without consensus state. A data file with consensus state has lost its identity file.
func (s *Store) checkNoConsensusState(path string) error {
	database, err := openReadOnly(path)
	if err != nil {
		return err
	}
	defer database.Close()
	used := false
	err = database.View(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketEntries, bucketHardStates, bucketSnapshots} {
			if bucket := tx.Bucket(name); bucket != nil {
				if key, _ := bucket.Cursor().First(); key != nil {
					used = true
				}
			}
		}
		return nil
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if used {
		return &FolderError{File: filepath.Join(s.options.Folder, identityFile), Field: "file", Found: "missing",
			Wanted: "the identity of " + path, Remedy: "restore the file from a backup or use an empty data folder under a new node ID"}
	}
	return nil
}

func (s *Store) openDatabase(path string) error {
	database, err := bbolt.Open(path, fileMode, &bbolt.Options{
		Timeout:         openTimeout,
		NoFreelistSync:  true, // saves a write per commit; the free list is rebuilt when the file is opened
		FreelistType:    bbolt.FreelistMapType,
		InitialMmapSize: initialMapBytes,
	})
	if err != nil {
		return openError(path, err)
	}
	database.AllocSize = fileGrowthBytes
	s.database = database
	return nil
}

// openError converts an error of bbolt.Open: a timeout means that another process has the file open, and any other
// error that the file is damaged.
func openError(path string, err error) error {
	if errors.Is(err, berrors.ErrTimeout) {
		return &FolderError{File: path, Field: "lock", Found: "held by another process", Wanted: "free",
			Remedy: "stop the other process or use another data folder"}
	}
	return &DamageError{Record: path, Reason: err.Error()}
}

// checkDatabaseIdentity checks that the data file has a supported format and the folder identity of the identity file.
func (s *Store) checkDatabaseIdentity(path string) error {
	return s.database.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta == nil {
			return &DamageError{Record: path, Reason: "it has no format"}
		}
		format := meta.Get(keyFormat)
		if len(format) != 4 {
			return &DamageError{Record: path, Reason: "it has no format"}
		}
		if found := binary.BigEndian.Uint32(format); found > Format {
			return &FolderError{File: path, Field: "format", Found: strconv.Itoa(int(found)),
				Wanted: "at most " + strconv.Itoa(Format), Remedy: "run a newer program"}
		}
		folder := meta.Get(keyFolderIdentity)
		if len(folder) != 8 || binary.BigEndian.Uint64(folder) != s.identity.Folder {
			return &FolderError{File: path, Field: "folder_identity", Found: "another than in " + identityFile,
				Wanted: strconv.FormatUint(s.identity.Folder, 10), Remedy: "put back the data file that belongs to the folder"}
		}
		return nil
	})
}

// countStart durably increments the number of starts, by which peers detect that the node runs on an older copy of its
// folder.
func (s *Store) countStart() error {
	err := s.database.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if record := meta.Get(keyStarts); len(record) == 8 {
			s.starts = binary.BigEndian.Uint64(record)
		}
		s.starts++
		return meta.Put(keyStarts, binary.BigEndian.AppendUint64(nil, s.starts))
	})
	return trace.Wrap(err)
}

// Identity returns the content of the folder's identity file.
func (s *Store) Identity() Identity { return s.identity }

// Starts returns how many times the folder was opened, including this time.
func (s *Store) Starts() uint64 { return s.starts }

// FreeSpace returns which work the free space of the disk allows. If the free space cannot be measured, it is assumed
// to be sufficient: a write to a full disk returns ErrNoSpace.
func (s *Store) FreeSpace() FreeSpace {
	free, err := s.measureFreeBytes()
	switch {
	case err != nil || free >= s.options.HeadroomBytes:
		return SpaceForAll
	case free >= s.options.HeadroomBytes/voteReserveDivisor:
		return SpaceForReserved
	}
	return SpaceForVotes
}

// HasSpaceFor reports whether the disk can hold a new snapshot of a group beside the present one and still has the free
// space that is reserved for votes.
func (s *Store) HasSpaceFor(group uint32, snapshot statepart.Parts) bool {
	free, err := s.measureFreeBytes()
	return err != nil || free >= uint64(s.UnstoredBytes(group, snapshot))+s.options.HeadroomBytes/voteReserveDivisor
}

// UnstoredBytes returns the size in bytes of those parts of a group's snapshot that no file of its stored snapshot
// holds.
func (s *Store) UnstoredBytes(group uint32, snapshot statepart.Parts) int {
	return s.files.unstoredBytes(group, snapshot)
}

// RemoveReplaced removes the files of a group's snapshots that a snapshot of the leader has replaced. It is called when
// nothing reads the state from before that snapshot any more.
func (s *Store) RemoveReplaced(group uint32) { s.files.removeReplaced(group) }

// FreeBytes returns the free space of the folder's disk in bytes.
func (s *Store) FreeBytes() (uint64, error) { return s.measureFreeBytes() }

func (s *Store) measureFreeBytes() (uint64, error) {
	if measure := s.options.Hooks.FreeBytes; measure != nil {
		return measure()
	}
	return freeBytes(s.options.Folder)
}

func freeBytes(folder string) (uint64, error) {
	var status unix.Statfs_t
	if err := unix.Statfs(folder, &status); err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	return status.Bavail * uint64(status.Bsize), nil
}

// Close closes the data file and releases the folder's lock, after a write in progress. Further calls return nil.
func (s *Store) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	var err error
	if s.database != nil {
		err = s.database.Close()
	}
	if closeErr := s.lock.Close(); err == nil {
		err = closeErr
	}
	return trace.Wrap(err)
}

// WrittenBytes returns how many bytes of pages and snapshot files the store has written since it was opened, including
// one meta page per write. What the file system and the disk write in addition is not counted.
func (s *Store) WrittenBytes() uint64 {
	pages := s.database.Stats().TxStats
	return s.fileBytes.Load() + uint64(pages.GetPageAlloc()) + s.commits.Load()*uint64(s.database.Info().PageSize)
}
