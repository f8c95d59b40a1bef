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
// that the state machine still has in memory. It has a lock of its own because a query for free disk space must not
// wait for a write.
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
func (c *partCache) lookup(file *snapshotFile) []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parts[file.name].value()
}

// add records a part that was read from a file, if it is large enough to have a file of its own.
func (c *partCache) add(file *snapshotFile, part []byte) {
	if len(part) < minOwnFileBytes {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.parts[file.name] = newWeakPart(part)
}

// findFile returns the file of the group's stored snapshot whose content equals parts. It finds only files that hold a
// single large part which is still in memory, and returns nil if there is none.
func (c *partCache) findFile(group uint32, parts raft.Parts) *snapshotFile {
	if len(parts) != 1 || len(parts[0]) == 0 {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, file := range c.files[group] {
		known := c.parts[file.name]
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
func (c *partCache) hasSeveralFiles(group uint32) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.files[group]) > 1
}

// unstoredBytes returns the size of those parts of a new snapshot that no file of the group's stored snapshot holds.
func (c *partCache) unstoredBytes(group uint32, snapshot raft.Parts) int {
	size := 0
	for _, part := range snapshot {
		if c.findFile(group, raft.Parts{part}) == nil {
			size += len(part)
		}
	}
	return size
}

// setFiles replaces the lists of files by those that the snapshot records name.
func (c *partCache) setFiles(files map[uint32]snapshotFiles) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.files = files
}

// commit records the files of snapshots that became durable and removes the files that no record names any more.
func (c *partCache) commit(folder string, written *snapshotWrite) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for group, files := range written.byGroup {
		named := map[string]bool{}
		for _, file := range files {
			named[file.name] = true
		}
		for _, file := range c.files[group] {
			if !named[file.name] {
				delete(c.parts, file.name)
				_ = os.Remove(filepath.Join(folder, file.name)) // if this fails, the next Open removes the file
			}
		}
		c.files[group] = files
	}
	maps.Copy(c.parts, written.parts)
}
