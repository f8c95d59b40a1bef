package storage

import (
	"sync"

	"github.com/tamarindring/tamarindring/internal/statepart"
)

// storedFiles holds the list of files of each group's durable snapshot. It has a lock of its own because a query for
// free disk space must not wait for a write.
type storedFiles struct {
	mutex sync.Mutex
	files map[uint32]snapshotFiles
	// replaced lists the files of snapshots that were replaced by one of the leader. The state machine reads from them
	// until it has the new state.
	replaced map[uint32]snapshotFiles
}

func newStoredFiles() *storedFiles {
	return &storedFiles{files: map[uint32]snapshotFiles{}, replaced: map[uint32]snapshotFiles{}}
}

// find returns the file of the group's stored snapshot that holds parts, or one with their size and checksum. It returns
// nil if there is none. It reads no files.
func (s *storedFiles) find(group uint32, parts statepart.Parts) *snapshotFile {
	if parts.Size() == 0 {
		return nil
	}
	candidates := s.ofSize(group, uint64(parts.Size()))
	for _, file := range candidates {
		if areInOrderIn(file.name, parts) {
			return file
		}
	}
	if len(candidates) == 0 || len(parts) > 1 && parts.MemoryBytes() < parts.Size() {
		return nil // parts that other files hold are in no file together
	}
	checksum, err := parts.Checksum()
	if err != nil {
		return nil
	}
	for _, file := range candidates {
		if file.checksum == checksum {
			return file
		}
	}
	return nil
}

// ofSize returns the files of the group's stored snapshot that have a size in bytes.
func (s *storedFiles) ofSize(group uint32, size uint64) snapshotFiles {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found snapshotFiles
	for _, file := range s.files[group] {
		if file.size == size {
			found = append(found, file)
		}
	}
	return found
}

// hasSeveralFiles reports whether the group's stored snapshot is in several files.
func (s *storedFiles) hasSeveralFiles(group uint32) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.files[group]) > 1
}

// unstoredBytes returns the size of those parts of a new snapshot that no file of the group's stored snapshot holds.
func (s *storedFiles) unstoredBytes(group uint32, snapshot statepart.Parts) int {
	size := 0
	for _, parts := range assignPartsToFiles(snapshot, true) {
		if s.find(group, parts) == nil {
			size += parts.Size()
		}
	}
	return size
}

// set replaces the lists of files by those that the snapshot records name.
func (s *storedFiles) set(files map[uint32]snapshotFiles) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.files = files
}

// commit records the files of snapshots that became durable, and moves parts out of memory. It removes the files that no
// record names any more, except where the state machine still has the state that they belong to.
func (s *storedFiles) commit(written *snapshotWrite) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, stored := range written.stored { // before the files that they were in are removed
		stored.part.MoveTo(stored.section)
	}
	for group, files := range written.byGroup {
		unnamed := s.files[group].without(files)
		s.files[group] = files
		if written.received[group] {
			s.replaced[group] = append(s.replaced[group], unnamed...)
			continue
		}
		unnamed.remove()
	}
}

// removeReplaced removes the files of a group's snapshots that were replaced by one of the leader.
func (s *storedFiles) removeReplaced(group uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replaced[group].remove()
	delete(s.replaced, group)
}

// without returns the files whose names are not among those of others.
func (f snapshotFiles) without(others snapshotFiles) snapshotFiles {
	named := map[string]bool{}
	for _, file := range others {
		named[file.name] = true
	}
	var rest snapshotFiles
	for _, file := range f {
		if !named[file.name] {
			rest = append(rest, file)
		}
	}
	return rest
}
