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

// find returns the file of the group's stored snapshot that has the size and checksum of parts. It finds only files of a
// single part, and returns nil if there is none.
func (s *storedFiles) find(group uint32, parts statepart.Parts) *snapshotFile {
	if len(parts) != 1 || parts[0].Size() == 0 {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, file := range s.files[group] {
		if file.size == uint64(parts[0].Size()) && file.checksum == parts[0].Checksum() {
			return file
		}
	}
	return nil
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
	for _, part := range snapshot {
		if s.find(group, statepart.Parts{part}) == nil {
			size += part.Size()
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

// commit records the files of snapshots that became durable, and moves their large parts out of memory. It removes the
// files that no record names any more, except where the state machine still has the state that they belong to.
func (s *storedFiles) commit(written *snapshotWrite) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for group, files := range written.byGroup {
		unnamed := s.files[group].without(files)
		s.files[group] = files
		if written.received[group] {
			s.replaced[group] = append(s.replaced[group], unnamed...)
			continue
		}
		unnamed.remove()
	}
	for _, large := range written.large {
		large.part.MoveTo(large.file, large.file.checksum)
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
