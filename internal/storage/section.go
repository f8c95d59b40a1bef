package storage

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarindring/tamarindring/internal/statepart"
)

// errOtherContent is the cause of a DamageError for a file with a wrong size or a section with a wrong checksum.
var errOtherContent = errors.New("it does not hold what was written")

// fileSection is the section of a snapshot file that holds one part of a state, or all of it.
type fileSection struct {
	file     *snapshotFile
	offset   int    // bytes from the beginning of the file
	size     int    // bytes
	checksum uint64 // xxhash of the content
}

// Content implements statepart.Source. It returns a *DamageError if the size of the file or the checksum of the section is
// wrong, or if the file is missing: after a newer snapshot without the part, or because it was lost.
func (s *fileSection) Content() ([]byte, error) {
	content, err := s.read()
	if err != nil {
		return nil, &DamageError{Record: s.file.name, Reason: err.Error(), Cause: err}
	}
	if xxhash.Sum64(content) != s.checksum {
		return nil, &DamageError{Record: s.file.name, Reason: errOtherContent.Error(), Cause: errOtherContent}
	}
	return content, nil
}

// read returns the bytes of the section, unverified, if the file has its size.
func (s *fileSection) read() (content []byte, err error) {
	file, err := os.Open(filepath.Join(s.file.folder, s.file.name))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if uint64(info.Size()) != s.file.size {
		return nil, errOtherContent
	}
	content = make([]byte, s.size)
	_, err = file.ReadAt(content, int64(s.offset))
	return content, err
}

// Section implements statepart.Source.
func (s *fileSection) Section(offset, size int, checksum uint64) statepart.Source {
	return &fileSection{file: s.file, offset: s.offset + offset, size: size, checksum: checksum}
}

// sectionsOf returns the sections of a file that hold parts, which are its content in order.
func sectionsOf(file *snapshotFile, parts statepart.Parts) []*fileSection {
	sections := make([]*fileSection, 0, len(parts))
	offset := 0
	for _, part := range parts {
		sections = append(sections, &fileSection{file: file, offset: offset, size: part.Size(), checksum: part.Checksum()})
		offset += part.Size()
	}
	return sections
}

// areInOrderIn reports whether parts are held by a file of this name, one directly after the other from its beginning.
func areInOrderIn(name string, parts statepart.Parts) bool {
	offset := 0
	for _, part := range parts {
		section, isInFile := part.Source().(*fileSection)
		if !isInFile || section.file.name != name || section.offset != offset {
			return false
		}
		offset += part.Size()
	}
	return true
}
