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
)

// Options says which folder to open and whose it must be.
type Options struct {
	// Folder is the data folder; it is made if it does not exist. Required.
	Folder string
	// ClusterID, NodeID and NodeName are written into a new folder and must match an old one. Required.
	ClusterID string
	NodeID    uint64
	NodeName  string
	// HeadroomBytes is the free space below which HasHeadroom is false, so that the node refuses new
	// work while it can still write its votes. Default 256 MiB.
	HeadroomBytes uint64
	// Hooks inject faults in tests. Optional.
	Hooks Hooks
}

// Hooks inject faults in tests; nil fields inject none.
type Hooks struct {
	// BeforeCommit runs inside a write, before anything of it reaches the disk.
	BeforeCommit func() error
	// Sync runs after the write's sync; an error stands for a failed one.
	Sync func() error
	// FreeBytes replaces the measured free space of the folder.
	FreeBytes func() (uint64, error)
}

const (
	defaultHeadroomBytes = 256 << 20
	openTimeout          = time.Second
	initialMapBytes      = 64 << 20 // fewer remaps while the file grows
	growBytes            = 1 << 20  // by which the file grows; bbolt's own 16 MiB are an eighth of a small disk
	entryFillPercent     = 0.95     // entries are appended in order
)

// Store is an open data folder. Its methods may be called from any goroutine; writes are serialized.
type Store struct {
	options   Options
	identity  Identity
	starts    uint64
	lock      *os.File
	database  *bbolt.DB
	commits   atomic.Uint64 // writes that became durable
	fileBytes atomic.Uint64 // written to snapshots' files
	held      *heldParts

	mutex    sync.Mutex
	poisoned error
	closed   bool
}

// Open locks the folder, checks whose it is, upgrades an older format and counts the start.
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
	store := &Store{options: options, lock: lock, held: newHeldParts()}
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
	if err := identity.match(s.options.Folder, s.options); err != nil {
		return err
	}
	path := filepath.Join(s.options.Folder, dataFile)
	if _, err := os.Stat(path); err != nil {
		return &FolderError{File: path, Field: "file", Found: "missing", Wanted: "the data of " + identity.NodeName,
			Remedy: "replace the node as a learner under a new node ID"}
	}
	s.identity = *identity
	if err := verify(path); err != nil {
		return err
	}
	if err := s.openDatabase(path); err != nil {
		return err
	}
	if err := s.matchDatabase(path); err != nil {
		return err
	}
	if err := s.upgrade(); err != nil {
		return err
	}
	if err := s.removeStraySnapshots(); err != nil {
		return err
	}
	return s.countStart()
}

// create makes the data file first and the identity last: a folder without identity is a new one.
func (s *Store) create() error {
	path := filepath.Join(s.options.Folder, dataFile)
	if info, err := os.Stat(path); err == nil && info.Size() > 0 {
		if err := guarded(path, func() error { return s.refuseStrayData(path) }); err != nil {
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
		return meta.Put(keyFolder, binary.BigEndian.AppendUint64(nil, folder))
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.countStart(); err != nil {
		return err
	}
	return writeIdentity(s.options.Folder, s.identity)
}

// refuseStrayData allows a data file without identity only if it holds no consensus state: a crash
// during create leaves such a file, a lost identity file does not.
func (s *Store) refuseStrayData(path string) error {
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
		NoFreelistSync:  true, // rebuilt at open; saves a write per commit
		FreelistType:    bbolt.FreelistMapType,
		InitialMmapSize: initialMapBytes,
	})
	if err != nil {
		return openError(path, err)
	}
	database.AllocSize = growBytes
	s.database = database
	return nil
}

func openError(path string, err error) error {
	if errors.Is(err, berrors.ErrTimeout) {
		return &FolderError{File: path, Field: "lock", Found: "held by another process", Wanted: "free",
			Remedy: "stop the other process or use another data folder"}
	}
	return &DamageError{Record: path, Reason: err.Error()}
}

// matchDatabase checks that data file and identity file belong together.
func (s *Store) matchDatabase(path string) error {
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
		folder := meta.Get(keyFolder)
		if len(folder) != 8 || binary.BigEndian.Uint64(folder) != s.identity.Folder {
			return &FolderError{File: path, Field: "folder_identity", Found: "another than in " + identityFile,
				Wanted: strconv.FormatUint(s.identity.Folder, 10), Remedy: "put back the data file that belongs to the folder"}
		}
		return nil
	})
}

// countStart durably raises the number of starts, by which peers notice an older copy of the folder.
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

// Identity returns what the folder's identity file says.
func (s *Store) Identity() Identity { return s.identity }

// Starts returns how often the folder was opened, this time included.
func (s *Store) Starts() uint64 { return s.starts }

// Room tells how much of the disk is free, beside the headroom. If the free space cannot be measured, it is taken for
// sufficient: the write itself will tell.
func (s *Store) Room() Room {
	free, err := s.free()
	switch {
	case err != nil || free >= s.options.HeadroomBytes:
		return RoomForAll
	case free >= s.options.HeadroomBytes/lastRoomShare:
		return RoomForReserved
	}
	return RoomForVotes
}

// HasRoomFor tells whether a group's snapshot fits, beside the one that it has, and leaves what votes need.
func (s *Store) HasRoomFor(group uint32, snapshot raft.Parts) bool {
	free, err := s.free()
	return err != nil || free >= uint64(s.SizeOfNew(group, snapshot))+s.options.HeadroomBytes/lastRoomShare
}

// SizeOfNew is the size of those parts of a group's snapshot that are in no file of the one before.
func (s *Store) SizeOfNew(group uint32, snapshot raft.Parts) int {
	return s.held.sizeOfNew(group, snapshot)
}

// FreeBytes is the free space of the folder's disk.
func (s *Store) FreeBytes() (uint64, error) { return s.free() }

func (s *Store) free() (uint64, error) {
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

// Close releases the folder. A write in progress finishes first.
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

// WrittenBytes returns how many bytes of pages and snapshots the store has written since it was opened, one meta page for
// each write included. What the file system and the disk add is not in it.
func (s *Store) WrittenBytes() uint64 {
	pages := s.database.Stats().TxStats
	return s.fileBytes.Load() + uint64(pages.GetPageAlloc()) + s.commits.Load()*uint64(s.database.Info().PageSize)
}
