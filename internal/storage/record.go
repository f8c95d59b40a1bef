package storage

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const checksumBytes = 8

// encodeRecord prepends a checksum to the payload. The checksum covers the key too, so that a record stored under a
// wrong key is detected.
func encodeRecord(key, payload []byte) []byte {
	record := make([]byte, checksumBytes, checksumBytes+len(payload))
	record = append(record, payload...)
	binary.BigEndian.PutUint64(record, checksum(key, payload))
	return record
}

// decodeRecord verifies a record's checksum and returns its payload, which is a part of record's memory.
func decodeRecord(name string, key, record []byte) ([]byte, error) {
	if len(record) < checksumBytes {
		return nil, &DamageError{Record: name, Reason: fmt.Sprintf("%d bytes are too few", len(record))}
	}
	payload := record[checksumBytes:]
	if binary.BigEndian.Uint64(record) != checksum(key, payload) {
		return nil, &DamageError{Record: name, Reason: "the checksum does not match"}
	}
	return payload, nil
}

func checksum(key, payload []byte) uint64 {
	digest := xxhash.New()
	digest.Write(key)
	digest.Write(payload)
	return digest.Sum64()
}

const entryHeaderBytes = 12 // 8 bytes of term and 4 of kind

func encodeEntry(key []byte, entry raft.Entry) []byte {
	record := make([]byte, checksumBytes+entryHeaderBytes, checksumBytes+entryHeaderBytes+len(entry.Data))
	binary.BigEndian.PutUint64(record[checksumBytes:], entry.Term)
	binary.BigEndian.PutUint32(record[checksumBytes+8:], uint32(entry.Kind))
	record = append(record, entry.Data...)
	binary.BigEndian.PutUint64(record, checksum(key, record[checksumBytes:]))
	return record
}

func decodeEntry(name string, key, record []byte) (raft.Entry, error) {
	payload, err := decodeRecord(name, key, record)
	if err != nil {
		return raft.Entry{}, err
	}
	if len(payload) < entryHeaderBytes || len(key) != entryKeyBytes {
		return raft.Entry{}, &DamageError{Record: name, Reason: "it is too short"}
	}
	entry := raft.Entry{
		Index: binary.BigEndian.Uint64(key[groupKeyBytes:]),
		Term:  binary.BigEndian.Uint64(payload),
		Kind:  raft.EntryKind(binary.BigEndian.Uint32(payload[8:])),
	}
	if len(payload) > entryHeaderBytes {
		entry.Data = append([]byte(nil), payload[entryHeaderBytes:]...)
	}
	return entry, nil
}

const hardStateBytes = 24 // term, vote and commit index

func encodeHardState(state raft.HardState) []byte {
	payload := make([]byte, hardStateBytes)
	binary.BigEndian.PutUint64(payload, state.Term)
	binary.BigEndian.PutUint64(payload[8:], state.Vote)
	binary.BigEndian.PutUint64(payload[16:], state.Commit)
	return payload
}

func decodeHardState(name string, payload []byte) (raft.HardState, error) {
	if len(payload) != hardStateBytes {
		return raft.HardState{}, &DamageError{Record: name, Reason: "it has a wrong length"}
	}
	return raft.HardState{
		Term:   binary.BigEndian.Uint64(payload),
		Vote:   binary.BigEndian.Uint64(payload[8:]),
		Commit: binary.BigEndian.Uint64(payload[16:]),
	}, nil
}

// storedSnapshot is a decoded snapshot record: the snapshot without its state, and the files that hold the state.
type storedSnapshot struct {
	raft.Snapshot
	files snapshotFiles
}

// encodeSnapshot returns the record, with its checksum, of a snapshot whose state is in files. A single file is
// referred to in the format that older builds, which do not support states in parts, write and read.
func encodeSnapshot(key []byte, snapshot *raft.Snapshot, files snapshotFiles) ([]byte, error) {
	message := &wire.RaftSnapshot{
		Index: snapshot.Index,
		Term:  snapshot.Term,
		Configuration: &wire.RaftConfiguration{
			Voters:   snapshot.Configuration.Voters,
			Learners: snapshot.Configuration.Learners,
		},
	}
	switch len(files) {
	case 0:
	case 1:
		message.Data = files[0].encode()
	default:
		message.Data = (&snapshotFile{name: multiFileReference}).encode()
		for _, file := range files {
			message.Files = append(message.Files, &wire.SnapshotFile{Name: file.name, Size: file.size, Checksum: file.checksum})
		}
	}
	record := make([]byte, checksumBytes, checksumBytes+proto.Size(message))
	record, err := proto.MarshalOptions{}.MarshalAppend(record, message)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint64(record, checksum(key, record[checksumBytes:]))
	return record, nil
}

func decodeSnapshotMessage(name string, payload []byte) (*wire.RaftSnapshot, error) {
	message := &wire.RaftSnapshot{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, &DamageError{Record: name, Reason: err.Error()}
	}
	return message, nil
}

// snapshotMetadata returns the snapshot of a record without its state.
func snapshotMetadata(message *wire.RaftSnapshot) raft.Snapshot {
	return raft.Snapshot{
		Index: message.Index,
		Term:  message.Term,
		Configuration: raft.Configuration{
			Voters:   message.Configuration.GetVoters(),
			Learners: message.Configuration.GetLearners(),
		},
	}
}

// decodeSnapshot decodes a snapshot record. folder holds the files that it refers to.
func decodeSnapshot(folder, name string, payload []byte) (storedSnapshot, error) {
	message, err := decodeSnapshotMessage(name, payload)
	if err != nil {
		return storedSnapshot{}, err
	}
	snapshot := storedSnapshot{Snapshot: snapshotMetadata(message)}
	for _, named := range message.Files {
		file := &snapshotFile{folder: folder, name: named.Name, size: named.Size, checksum: named.Checksum}
		if err := file.check(name); err != nil {
			return storedSnapshot{}, err
		}
		snapshot.files = append(snapshot.files, file)
	}
	if len(snapshot.files) > 0 || len(message.Data) == 0 {
		return snapshot, nil
	}
	file, err := decodeSnapshotFile(folder, name, message.Data)
	if err != nil {
		return storedSnapshot{}, err
	}
	snapshot.files = snapshotFiles{file}
	return snapshot, nil
}
