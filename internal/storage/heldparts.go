package storage

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"unsafe"
	"weak"

	"github.com/tamarindring/tamarindring/internal/raft"
)

// partCache holds the list of files of each group's durable snapshot, and weak references to the large parts in them
// that the state machine still has in memory. It has a lock of its own because a query for free disk space must not wait
// for a write.
type partCache struct {
	mutex sync.Mutex
	files map[uint32]snapshotFiles
	parts map[string]weakPart // by file name
}

// weakPart refers to a part of a state without keeping it in memory.
type weakPart struct {
	first weak.Pointer[byte] // to the first byte
	size  int                // bytes
}

func newWeakPart(part []byte) weakPart { return weakPart{first: weak.Make(&part[0]), size: len(part)} }

// value returns the part, or nil if it was garbage-collected.
func (p weakPart) value() []byte {
	if first := p.first.Value(); first != nil {
		return unsafe.Slice(first, p.size)
	}
	return nil
}

func newPartCache() *partCache {
	return &partCache{files: map[uint32]snapshotFiles{}, parts: map[string]weakPart{}}
}

// lookup returns the content of a file if it is in memory, otherwise nil.
func (h *partCache) lookup(file *snapshotFile) []byte {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.parts[file.name].value()
}

// add records a part that was read from a file, if it is large enough to have a file of its own.
func (h *partCache) add(file *snapshotFile, part []byte) {
	if len(part) < minOwnFileBytes {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.parts[file.name] = newWeakPart(part)
}

// findFile returns the file of the group's stored snapshot whose content equals parts, which must be a single part that
// is still in memory. It returns nil if there is none.
func (h *partCache) findFile(group uint32, parts raft.Parts) *snapshotFile {
	if len(parts) != 1 || len(parts[0]) == 0 {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, file := range h.files[group] {
		known := h.parts[file.name]
		if known.size != len(parts[0]) {
			continue
		}
		if held := known.value(); held != nil && (&held[0] == &parts[0][0] || bytes.Equal(held, parts[0])) {
			return file
		}
	}
	return nil
}

// hasSeveralFiles reports whether the group's stored snapshot is in several files.
func (h *partCache) hasSeveralFiles(group uint32) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.files[group]) > 1
}

// unstoredBytes returns the size of those parts of a new snapshot that no file of the group's stored snapshot holds.
func (h *partCache) unstoredBytes(group uint32, snapshot raft.Parts) int {
	size := 0
	for _, part := range snapshot {
		if h.findFile(group, raft.Parts{part}) == nil {
			size += len(part)
		}
	}
	return size
}

// setFiles replaces the lists of files by those that the snapshot records name.
func (h *partCache) setFiles(files map[uint32]snapshotFiles) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.files = files
}

// commit records the files of snapshots that became durable and removes the files that no record names any more.
func (h *partCache) commit(folder string, written *snapshotWrite) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for group, files := range written.byGroup {
		named := map[string]bool{}
		for _, file := range files {
			named[file.name] = true
		}
		for _, file := range h.files[group] {
			if !named[file.name] {
				delete(h.parts, file.name)
				_ = os.Remove(filepath.Join(folder, file.name)) // if this fails, the next Open removes the file
			}
		}
		h.files[group] = files
	}
	maps.Copy(h.parts, written.parts)
}
