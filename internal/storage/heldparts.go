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

// heldParts knows the files of each group's durable snapshot and, for as long as the state machine keeps them in memory, the
// large parts in them. It has a lock of its own: what asks for room must not wait for a write.
type heldParts struct {
	mutex sync.Mutex
	files map[uint32]snapshotFiles
	parts map[string]heldPart // by the name of their file
}

// heldPart is a part that is in memory only while somebody else keeps it.
type heldPart struct {
	first weak.Pointer[byte]
	size  int
}

func newHeldPart(part []byte) heldPart { return heldPart{first: weak.Make(&part[0]), size: len(part)} }

// value returns the part; nil if nobody keeps it any more.
func (p heldPart) value() []byte {
	if first := p.first.Value(); first != nil {
		return unsafe.Slice(first, p.size)
	}
	return nil
}

func newHeldParts() *heldParts {
	return &heldParts{files: map[uint32]snapshotFiles{}, parts: map[string]heldPart{}}
}

// part returns what a file holds if that is in memory.
func (h *heldParts) part(file *snapshotFile) []byte {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.parts[file.name].value()
}

// note remembers a part that was read, if it is a large one.
func (h *heldParts) note(file *snapshotFile, part []byte) {
	if len(part) < ownFileBytes {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.parts[file.name] = newHeldPart(part)
}

// fileOf returns the file of the group's snapshot that holds some parts alone; nil if none does.
func (h *heldParts) fileOf(group uint32, parts raft.Parts) *snapshotFile {
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

// inParts tells whether the group's snapshot is in several files.
func (h *heldParts) inParts(group uint32) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.files[group]) > 1
}

// sizeOfNew is the size of the parts of a group's snapshot that have no file yet.
func (h *heldParts) sizeOfNew(group uint32, snapshot raft.Parts) int {
	size := 0
	for _, part := range snapshot {
		if h.fileOf(group, raft.Parts{part}) == nil {
			size += len(part)
		}
	}
	return size
}

// set notes the files that the records name.
func (h *heldParts) set(files map[uint32]snapshotFiles) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.files = files
}

// keep notes the files of snapshots that are durable now, and removes those that no record names any more.
func (h *heldParts) keep(folder string, written *writtenFiles) {
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
				_ = os.Remove(filepath.Join(folder, file.name)) // one that stays is removed by the next Open
			}
		}
		h.files[group] = files
	}
	maps.Copy(h.parts, written.parts)
}
